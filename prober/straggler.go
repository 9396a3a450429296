package prober

import (
	"slices"
	"time"
)

// stragglerState tracks whether an endpoint is a straggler.
type stragglerState struct {
	meanLatency time.Duration // moving average of the latency of probes
	streak      int           // consecutive updates that support a change of flagged
	flagged     bool
	sampled     bool // a probe succeeded since the last update
}

// addSample adds the latency of a successful probe.
func (s *stragglerState) addSample(d time.Duration) {
	if s.meanLatency == 0 {
		s.meanLatency = d
	}
	s.meanLatency += (d - s.meanLatency) / smoothingFactor
	s.sampled = true
}

const (
	smoothingFactor  = 4                     // divisor of the moving average: each probe contributes a quarter
	flagRatio        = 4                     // multiple of the median above which an endpoint is slow
	clearRatio       = 2                     // multiple of the median below which a straggler is no longer slow
	flagStreak       = 6                     // consecutive slow updates after which an endpoint is flagged
	clearStreak      = 20                    // consecutive updates that are not slow after which the flag is cleared
	endpointsPerFlag = 5                     // at most one in this many endpoints is flagged, but always at least one
	minSlowLatency   = 50 * time.Millisecond // a lower average latency is never slow
)

// updateStragglers flags and clears stragglers. Hysteresis keeps an endpoint from alternating between
// the two states. The limit keeps slowness that affects most endpoints from removing most of the fleet.
func (c *Core) updateStragglers() {
	eps := slices.DeleteFunc(slices.Clone(c.sortedEndpoints()), func(e *endpoint) bool { return !e.listed || e.straggler.meanLatency == 0 })
	if len(eps) < 3 {
		return
	}
	means := make([]time.Duration, len(eps))
	flagged := 0
	for i, e := range eps {
		means[i] = e.straggler.meanLatency
		if e.straggler.flagged {
			flagged++
		}
	}
	slices.Sort(means)
	median := means[len(means)/2]
	limit := max(1, len(eps)/endpointsPerFlag)
	for _, e := range eps {
		before := e.straggler.flagged
		e.straggler.update(median, flagged < limit)
		if e.straggler.flagged && !before {
			flagged++
		}
	}
}

// update compares the average latency with the median and changes the flag after enough consecutive
// updates support the change. If mayFlag is false, the limit of flagged endpoints is reached and the
// endpoint is not flagged.
func (s *stragglerState) update(median time.Duration, mayFlag bool) {
	if !s.sampled {
		return
	}
	s.sampled = false
	changeSupported := s.meanLatency > flagRatio*median && s.meanLatency > minSlowLatency
	required := flagStreak
	if s.flagged {
		changeSupported = s.meanLatency < clearRatio*median || s.meanLatency < minSlowLatency
		required = clearStreak
	}
	if !changeSupported {
		s.streak = 0
		return
	}
	s.streak++
	if s.streak >= required && (s.flagged || mayFlag) {
		s.flagged, s.streak = !s.flagged, 0
	}
}
