package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
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
	bounds := map[identifier.Pool]stallBounds{}
	for _, t := range s.busyTargets() {
		b, ok := bounds[t.Pool]
		if !ok {
			b = s.stallBoundsOf(now, t.Pool)
			bounds[t.Pool] = b
		}
		if s.checkTarget(now, t, b) {
			stalled = append(stalled, t)
		}
	}
	for _, t := range stalled {
		s.hedgeStalled(now, t)
	}
	s.hedgeOrphans(now)
}

// busyTargets returns the targets with attempts, sorted by ID.
func (s *Scheduler) busyTargets() []*target {
	var out []*target
	for _, t := range s.targets {
		if len(t.attempts) > 0 {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// stallBounds are the times without progress after which a target of a pool is stalled.
type stallBounds struct {
	stream        time.Duration // if it has running streams
	firstEvent    time.Duration // if it has none
	otherRequests float64       // mean requests of other instances per target
}

func (s *Scheduler) stallBoundsOf(now time.Time, pool identifier.Pool) stallBounds {
	pl := s.pools[pool]
	return stallBounds{
		stream:        max(s.cfg.MinStreamStall, time.Duration(s.cfg.StreamStallFactor)*pl.meanGap(now)),
		firstEvent:    max(s.cfg.MinFirstEventStall, time.Duration(s.cfg.FirstEventStallFactor*float64(pl.meanFirstEvent(now)))),
		otherRequests: pl.meanOtherRequests(now),
	}
}

// checkTarget reports whether t is stalled now.
func (s *Scheduler) checkTarget(now time.Time, t *target, bounds stallBounds) bool {
	silence, streaming, isStalled := measureStall(now, t, bounds)
	if !isStalled {
		return false
	}
	t.streamsStalled = streaming
	if now.Sub(t.contactAt) >= bounds.stream {
		t.unreachableAt = now
	}
	if t.stalledAt.IsZero() {
		t.stalledAt, t.lastTrialAt = now, now
		t.estimator.Reset()
		s.emit(Stalled{Target: t.Target, Silence: silence})
	}
	return true
}

// measureStall returns the time for which t has made no progress although it has requests,
// whether t has running streams, and whether that time exceeds the bound for a stall. If t
// has running streams, the bound follows the gaps between events; otherwise it follows the
// time to the first event.
func measureStall(now time.Time, t *target, bounds stallBounds) (silence time.Duration, streaming, isStalled bool) {
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
		return silence, true, silence >= bounds.stream
	}
	bound := bounds.firstEvent + t.pendingRunDelay()
	if t.load(now, bounds.otherRequests) >= fullLoad {
		bound *= fullStallFactor
	}
	return silence, false, silence >= bound
}

// runningFlights returns the requests that run at a target, ordered like sortedFlights.
func (s *Scheduler) runningFlights() []*flight {
	var out []*flight
	for _, f := range s.flights {
		if len(f.running) > 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, compareFlights)
	return out
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
