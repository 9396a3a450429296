package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// queue holds the requests of one pool that wait for a target, in the order in which they are
// placed: by priority, then by deadline, then by arrival. The requests of one pool never take the
// targets of another, so that a target which becomes free concerns one queue only.
type queue struct{ flights []*flight }

// compareQueued orders waiting requests.
func compareQueued(a, b *flight) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Deadline.Compare(b.Deadline), cmp.Compare(a.ref, b.ref))
}

// find returns the index of f, or the index at which f would be inserted and false.
func (q *queue) find(f *flight) (int, bool) {
	if q == nil {
		return 0, false
	}
	return slices.BinarySearchFunc(q.flights, f, compareQueued)
}

func (s *Scheduler) enqueue(f *flight) {
	q := s.queues[f.Pool]
	if q == nil {
		q = &queue{}
		s.queues[f.Pool] = q
	}
	if i, ok := q.find(f); !ok {
		q.flights = slices.Insert(q.flights, i, f)
	}
}

func (s *Scheduler) dequeue(f *flight) {
	q := s.queues[f.Pool]
	i, ok := q.find(f)
	if !ok {
		return
	}
	if q.flights = slices.Delete(q.flights, i, i+1); len(q.flights) == 0 {
		delete(s.queues, f.Pool)
	}
}

// position returns the position of f among the waiting requests of its pool, from 1. Held requests don't count: without the learned
// limits they would not wait.
func (s *Scheduler) position(f *flight) int {
	i, _ := s.queues[f.Pool].find(f)
	return i + 1 - s.heldBefore(f, i)
}

// placeAllWaiting places the waiting requests of all pools as far as targets are available.
func (s *Scheduler) placeAllWaiting(now time.Time) {
	for _, pool := range slices.Sorted(maps.Keys(s.queues)) {
		s.placeWaiting(now, pool)
	}
}

// placeWaiting places the waiting requests of a pool as far as targets are available. It looks at
// the targets once, and then only at those that may take another request: if all are full, it costs
// the same for any number of waiting requests.
func (s *Scheduler) placeWaiting(now time.Time, name identifier.Pool) {
	q, pl := s.queues[name], s.pools[name]
	if q == nil || pl == nil {
		return
	}
	free := s.freeTargets(now, pl)
	need := s.leastNeed(free)
	for i := 0; i < len(q.flights) && len(free) > 0; {
		if f := q.flights[i]; f.isHeld(now) && f.ArrivedAt.Add(f.LatencyGoal).Sub(now) < need || !s.placeAt(now, f, pl, &free) {
			i++
		}
	}
	s.placeThroughPeers(now, q, pl)
}

// placeAt places or gives up the waiting request f and returns true, or returns false if f goes on
// waiting. It updates free.
func (s *Scheduler) placeAt(now time.Time, f *flight, pl *pool, free *[]candidate) bool {
	if f.Deadline.Sub(now) < minServeTime || s.blockingReason(f) != "" {
		return false // until the next tick
	}
	best, ok := s.chooseCandidate(now, f, *free)
	if !ok {
		return false
	}
	if f.sentAttempts > 0 && !s.budget.trySpend(f.Service) {
		if f.hasNotRun() {
			return false // the requests that arrive allow further retries
		}
		s.giveUp(now, f, ReasonRetryBudget)
		return true
	}
	s.start(now, f, destination{target: best.target, load: best.load}, "")
	*free = slices.DeleteFunc(*free, func(c candidate) bool { return c.target == best.target })
	if c, ok := s.candidate(now, best.target, pl.means(now)); ok {
		*free = append(*free, c)
	}
	return true
}

// checkWaiting gives up the waiting requests that have waited for their time, or that are not expected
// to be placed in time.
func (s *Scheduler) checkWaiting(now time.Time) {
	for _, pool := range slices.Sorted(maps.Keys(s.queues)) {
		outlook := s.outlookOf(now, pool)
		position := 0
		for _, f := range slices.Clone(s.queues[pool].flights) {
			if s.checkWait(now, f, position+1, outlook) && !f.isHeld(now) {
				position++
			}
		}
	}
}

// checkWait gives f up if it should not wait any longer at its position, and returns whether f waits.
func (s *Scheduler) checkWait(now time.Time, f *flight, position int, o outlook) bool {
	blocked := s.blockingReason(f)
	switch {
	case f.Deadline.Sub(now) < minServeTime:
		s.giveUp(now, f, ReasonDeadline)
	case blocked == ReasonQuarantined:
		s.giveUp(now, f, blocked)
	case blocked != "" && !now.Before(f.giveUpAt):
		s.giveUp(now, f, blocked)
	case blocked != "", f.isHeld(now):
		return true
	case !now.Before(f.giveUpAt) || !f.isCountedHeld && o.isFutile(now, f, position):
		s.giveUp(now, f, o.reason)
	default:
		return true
	}
	return false
}
