package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Requests may wait inside a full target, so that a missing first event does not show a stall
// there. From a load of fullLoad the time without progress may be fullStallFactor times as long.
const (
	fullLoad        = 0.9
	fullStallFactor = 3
)

// checkStalls finds stalled and removed targets and hedges the requests there. It checks all
// targets first, so that no hedge goes to a target that stalls at the same time.
func (s *Scheduler) checkStalls(now time.Time) {
	var stalled []*target
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if t := s.targets[id]; s.checkTarget(now, t) {
			stalled = append(stalled, t)
		}
	}
	for _, t := range stalled {
		s.hedgeStalled(now, t)
	}
	s.hedgeOrphans(now)
}

// checkTarget reports whether t is stalled now.
func (s *Scheduler) checkTarget(now time.Time, t *target) bool {
	if len(t.attempts) == 0 {
		return false
	}
	silence, streaming, isStalled := s.measureStall(now, t)
	if !isStalled {
		return false
	}
	t.streamsStalled = streaming
	if t.stalledAt.IsZero() {
		t.stalledAt, t.lastTrialAt = now, now
		s.emit(Stalled{Target: t.Target, Silence: silence})
	}
	return true
}

// measureStall returns the time for which t has made no progress although it has requests,
// whether t has running streams, and whether that time exceeds the bound for a stall. If t
// has running streams, the bound follows the gaps between events; otherwise it follows the
// time to the first event.
func (s *Scheduler) measureStall(now time.Time, t *target) (silence time.Duration, streaming, isStalled bool) {
	oldest := now
	for _, a := range t.attempts {
		if a.hasEvent && a.flight.Stream {
			streaming = true
		}
		if a.sentAt.Before(oldest) {
			oldest = a.sentAt
		}
	}
	progressedAt := t.lastProgressAt
	if progressedAt.Before(oldest) {
		progressedAt = oldest
	}
	silence = now.Sub(progressedAt)
	if streaming {
		bound := max(s.cfg.MinStreamStall, time.Duration(s.cfg.StreamStallFactor)*s.pools[t.Pool].meanGap(now))
		return silence, true, silence >= bound
	}
	bound := max(s.cfg.MinFirstEventStall, time.Duration(s.cfg.FirstEventStallFactor*float64(s.pools[t.Pool].meanFirstEvent(now))))
	if t.load(now, s.pools[t.Pool].meanOtherRequests(now)) >= fullLoad {
		bound *= fullStallFactor
	}
	return silence, false, silence >= bound
}

// sortedFlights returns flights ordered by priority and, within a priority, by arrival.
func sortedFlights(flights map[Ref]*flight) []*flight {
	out := slices.Collect(maps.Values(flights))
	slices.SortFunc(out, compareFlights)
	return out
}

// sortedAttempts returns attempts ordered by the priority of their requests and, within a
// priority, by the arrival of their requests.
func sortedAttempts(attempts map[Ref]*attempt) []*attempt {
	out := slices.Collect(maps.Values(attempts))
	slices.SortFunc(out, func(a, b *attempt) int { return compareFlights(a.flight, b.flight) })
	return out
}

// compareFlights orders requests by priority and, within a priority, by arrival.
func compareFlights(a, b *flight) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ref, b.ref))
}
