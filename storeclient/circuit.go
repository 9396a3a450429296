package storeclient

import "time"

// defaultTrialDelayMax is the default of the longest mean time between trial calls of an open circuit.
const defaultTrialDelayMax = 15 * time.Second

// circuit is a circuit breaker that stops calls to a failing store. It is deterministic: the caller
// passes the time and, to record, a jitter in [0, 1).
type circuit struct {
	threshold int
	delayBase time.Duration
	delayMax  time.Duration

	failures int // consecutive failures
	open     bool
	delay    time.Duration // mean time between trial calls
	wait     time.Duration // delay with jitter
	trialAt  time.Time     // when the last trial call was allowed, or the circuit opened
}

// allow reports whether a call may be sent at now. An open circuit allows a trial call at a time, also
// if the last one has not ended: it may have gone into silence, and the next one may be answered.
func (c *circuit) allow(now time.Time) bool {
	if c.isBlocked(now) {
		return false
	}
	if c.open {
		c.trialAt = now
	}
	return true
}

// isBlocked reports whether no call may be sent at now.
func (c *circuit) isBlocked(now time.Time) bool { return c.open && now.Before(c.trialAt.Add(c.wait)) }

// record records the outcome of an allowed call, and reports whether the circuit opened or closed as a result.
func (c *circuit) record(now time.Time, ok bool, jitter float64) (changed bool) {
	if ok {
		changed = c.open
		c.failures, c.open, c.delay = 0, false, 0
		return changed
	}
	c.failures++
	if c.failures < c.threshold {
		return false
	}
	changed = !c.open
	if changed {
		c.open, c.trialAt = true, now
	}
	c.delay = min(max(2*c.delay, c.delayBase), c.delayMax)
	c.wait = addJitter(c.delay, jitter)
	return changed
}

// addJitter returns d scaled by a factor from 0.5 to 1.5, which jitter in [0, 1) selects evenly.
func addJitter(d time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(d) * (0.5 + jitter))
}
