package prober

import (
	"slices"
	"time"
)

// slowness follows whether an endpoint is a straggler.
type slowness struct {
	mean    time.Duration // moving average of the probe's latency
	streak  int           // judgements in a row that speak for a change of flagged
	flagged bool
	fed     bool // a probe succeeded since the last judgement
}

// observe takes the latency of a successful probe.
func (s *slowness) observe(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
	}
	s.mean += (d - s.mean) / smoothing
	s.fed = true
}

const (
	smoothing   = 4                     // probes over which the average latency moves
	slowRatio   = 4                     // times the median that make a straggler
	fineRatio   = 2                     // times the median below which it is none again
	slowStreak  = 6                     // judgements in a row that set an endpoint aside
	fineStreak  = 20                    // judgements in a row that take it back
	slowShare   = 5                     // at most one in so many endpoints is set aside
	slowMinimum = 50 * time.Millisecond // an average latency below it is never slow
)

// judge sets stragglers aside. Hysteresis keeps an endpoint from going to and fro; the cap
// keeps slowness that is everywhere from emptying the fleet.
func (c *Core) judge() {
	eps := slices.DeleteFunc(slices.Clone(c.sorted()), func(e *endpoint) bool { return !e.listed || e.slow.mean == 0 })
	if len(eps) < 3 {
		return
	}
	means := make([]time.Duration, len(eps))
	flagged := 0
	for i, e := range eps {
		means[i] = e.slow.mean
		if e.slow.flagged {
			flagged++
		}
	}
	slices.Sort(means)
	median := means[len(means)/2]
	limit := max(1, len(eps)/slowShare)
	for _, e := range eps {
		before := e.slow.flagged
		e.slow.judge(median, flagged < limit)
		if e.slow.flagged && !before {
			flagged++
		}
	}
}

// judge moves s on by one judgement; room says whether another may be set aside.
func (s *slowness) judge(median time.Duration, room bool) {
	if !s.fed {
		return
	}
	s.fed = false
	speaks := s.mean > slowRatio*median && s.mean > slowMinimum
	need := slowStreak
	if s.flagged {
		speaks = s.mean < fineRatio*median || s.mean < slowMinimum
		need = fineStreak
	}
	if !speaks {
		s.streak = 0
		return
	}
	s.streak++
	if s.streak >= need && (s.flagged || room) {
		s.flagged, s.streak = !s.flagged, 0
	}
}
