package scheduler

import (
	"math"
	"time"
)

// Bounds of the time for which a request is held.
const (
	holdDivisor     = 8                    // a request is held at most its latency goal divided by this
	minHold         = 5 * time.Millisecond // below which holding is not worth a tick
	maxHeld         = 16                   // requests held at once; each costs a look at all targets when an attempt ends, and few are needed at 15 requests a second
	minTickInterval = 5 * time.Millisecond // between a step and the tick that ends a hold
	seatsPerHeld    = 2                    // free places below the hard maximum for each held request, so that holding never costs one its place
)

// isHeld reports whether f waits only because all targets are past their learned limits.
func (f *flight) isHeld(now time.Time) bool { return f.isCountedHeld && now.Before(f.heldUntil) }

// mayHold reports whether f, for which all candidates are past their learned limits, waits for a moment instead of going to best,
// and begins the wait. It does once in the life of f, if f has not been sent yet, if a lower load would let it meet its
// goals, if it has time to lose and if more than enough places are free below the hard maximum.
func (s *Scheduler) mayHold(now time.Time, f *flight, best candidate, candidates []candidate) bool {
	if !f.heldUntil.IsZero() {
		return f.isHeld(now)
	}
	if f.attempts > 0 || f.ViaPeer || s.held >= maxHeld || !best.isHelpedByWaiting(now, f) {
		return false
	}
	if s.seats(candidates) < seatsPerHeld*(s.held+1) {
		return false
	}
	left := f.ArrivedAt.Add(f.LatencyGoal).Sub(now) - best.leastFirstEvent(f)
	wait := min(f.LatencyGoal/holdDivisor, left/2)
	if wait < minHold {
		return false
	}
	f.heldUntil, f.isCountedHeld = now.Add(wait), true
	s.held++
	if s.holdEndsAt.IsZero() || f.heldUntil.Before(s.holdEndsAt) {
		s.holdEndsAt = f.heldUntil
	}
	return true
}

// leastNeed returns a time that a held request needs to have left at least to be within the limit of a candidate, so that not
// each held request has to look at all of them. It returns zero if no request is held.
func (s *Scheduler) leastNeed(candidates []candidate) time.Duration {
	if s.held == 0 || len(candidates) == 0 {
		return 0
	}
	least := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		if c.slowness == 0 || !c.target.stalledAt.IsZero() {
			return 0
		}
		least = min(least, c.target.pool.capacity.model.Need(c.target.backlog, c.slowness, c.load))
	}
	return least
}

// seats returns the number of requests that the candidates may take up to the hard maximum.
func (s *Scheduler) seats(candidates []candidate) int {
	seats := 0
	for _, c := range candidates {
		seats += int((s.cfg.MaxLoad - c.load) * float64(c.target.Slots))
	}
	return seats
}

// endCrowdedHolds places the held requests of a pool, before a request that arrives, if few places are free below the hard maximum. It
// returns whether it did.
func (s *Scheduler) endCrowdedHolds(now time.Time, pl *pool, candidates []candidate) bool {
	q := s.queues[pl.name]
	if q == nil || s.seats(candidates) >= seatsPerHeld*s.held {
		return false
	}
	hasHeld := false
	for _, f := range q.flights {
		if f.isHeld(now) {
			f.heldUntil, hasHeld = now, true
		}
	}
	if hasHeld {
		s.placeWaiting(now, pl.name)
	}
	return hasHeld
}

// nextHoldEnd returns the earliest end of a hold, or the zero time if no request is held.
func (s *Scheduler) nextHoldEnd(now time.Time) time.Time {
	var next time.Time
	if s.held == 0 {
		return next
	}
	for _, q := range s.queues {
		for _, f := range q.flights {
			if f.isHeld(now) && (next.IsZero() || f.heldUntil.Before(next)) {
				next = f.heldUntil
			}
		}
	}
	return next
}

// release ends the hold of f, if it is held.
func (s *Scheduler) release(f *flight) {
	if f.isCountedHeld {
		f.isCountedHeld = false
		s.held--
	}
}

// heldBefore returns the number of held requests among the first n of f's queue.
func (s *Scheduler) heldBefore(f *flight, n int) int {
	if s.held == 0 || s.queues[f.Pool] == nil {
		return 0
	}
	count := 0
	for _, o := range s.queues[f.Pool].flights[:n] {
		if o.isCountedHeld {
			count++
		}
	}
	return count
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
