package storeclient

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTrialDelayGrowsToMax checks that the time between the trial calls of an open circuit doubles up to
// the longest one, which can be changed while it is open, and that an answer closes the circuit.
func TestTrialDelayGrowsToMax(t *testing.T) {
	is := is.New(t)
	c := &Client{circuit: circuit{threshold: 1, delayBase: 300 * time.Millisecond, delayMax: 300 * time.Millisecond}}
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	fail := func() time.Duration {
		is.True(c.circuit.allow(now))
		c.circuit.record(now, false, 0.5) // no jitter
		wait := c.circuit.trialAt.Add(c.circuit.wait).Sub(now)
		now = now.Add(wait)
		return wait
	}
	is.Equal(fail(), 300*time.Millisecond)
	is.Equal(fail(), 300*time.Millisecond)
	c.SetTrialDelayMax(900 * time.Millisecond)
	is.Equal(fail(), 600*time.Millisecond)
	is.Equal(fail(), 900*time.Millisecond)
	c.SetTrialDelayMax(0)
	is.Equal(fail(), 300*time.Millisecond)
	is.True(c.circuit.allow(now))
	c.circuit.record(now, true, 0.5)
	is.True(!c.circuit.isBlocked(now))
}

// TestTrialCallInSilenceBlocksNoOther checks that an open circuit allows trial calls at its intervals while
// earlier ones go into silence, and no more of them than while the store answers each with an error.
// One trial call that hung until its timeout kept the client from noticing that the path had healed.
func TestTrialCallInSilenceBlocksNoOther(t *testing.T) {
	is := is.New(t)
	const (
		interval = 300 * time.Millisecond
		timeout  = time.Second
		outage   = time.Minute
	)
	start := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	countTrials := func(timeout time.Duration) int {
		c := circuit{threshold: 1, delayBase: interval, delayMax: interval}
		c.record(start, false, 0.5) // opens
		trials := 0
		var pending []time.Time // ends of the trial calls
		for now := start; now.Before(start.Add(outage)); now = now.Add(time.Millisecond) {
			for len(pending) > 0 && !now.Before(pending[0]) {
				c.record(now, false, 0.5)
				pending = pending[1:]
			}
			if c.allow(now) {
				trials++
				pending = append(pending, now.Add(timeout))
			}
		}
		return trials
	}
	silent, answered := countTrials(timeout), countTrials(time.Millisecond)
	is.True(silent >= int(outage/interval)-1) // none blocks the next one
	is.True(silent <= int(outage/interval)+1)
	is.True(answered <= int(outage/interval)+1)
}
