package storeclient

import "time"

// circuitOpenMax is the default bound of the time between trial calls of an open circuit.
const circuitOpenMax = 15 * time.Second

// circuit stops calls to a service that fails. It is a deterministic core: allow and
// record are given the time, and record is given the jitter in [0, 1).
type circuit struct {
	threshold int
	base      time.Duration
	longest   time.Duration

	failures int // in a row
	open     bool
	trial    bool // a trial call is on its way
	until    time.Time
	wait     time.Duration
}

// allow reports whether a call may be sent at now. An open circuit lets one call through at a time.
func (c *circuit) allow(now time.Time) bool {
	if c.blocked(now) {
		return false
	}
	c.trial = c.open
	return true
}

// blocked reports whether no call may be sent at now.
func (c *circuit) blocked(now time.Time) bool {
	return c.open && (c.trial || now.Before(c.until))
}

// record notes how a call that was allowed ended, and reports whether the circuit opened or closed by it.
func (c *circuit) record(now time.Time, ok bool, jitter float64) (changed bool) {
	if ok {
		changed = c.open
		c.failures, c.open, c.trial, c.wait = 0, false, false, 0
		return changed
	}
	c.failures++
	if c.failures < c.threshold {
		return false
	}
	changed = !c.open
	c.open, c.trial = true, false
	c.wait = min(max(2*c.wait, c.base), c.longest)
	c.until = now.Add(jittered(c.wait, jitter))
	return changed
}

// abandon notes that a call that was allowed ended without saying anything about the service.
func (c *circuit) abandon() { c.trial = false }

// jittered spreads d evenly over half to one and a half of it.
func jittered(d time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(d) * (0.5 + jitter))
}
