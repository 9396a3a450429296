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
		wait := c.circuit.blockedUntil.Sub(now)
		now = c.circuit.blockedUntil
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
