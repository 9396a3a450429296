package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Bounds on the evidence that this instance has lost its links to the endpoints, rather than endpoints
// their lives: endpoints end one by one, or in groups of which the list shows the end soon.
const (
	minUnreachable  = 3                      // targets that answer nothing; fewer may all be silent for a moment
	answerWindow    = 500 * time.Millisecond // a target with requests that has answered nothing for longer proves no link
	reachableMargin = 2                      // multiple of the unreachable targets that must have answered before the links count as restored
)

// reach is what the targets together say about this instance's links to the endpoints.
type reach struct {
	cutSince    time.Time // since when the instance counts as cut off; zero if it does not
	unreachable int       // targets that are stalled and have answered nothing since
	answering   int       // other targets that have answered within answerWindow, or while the instance is cut off, since cutSince
}

// isCutOff reports whether the instance counts as cut off from most endpoints.
func (r *reach) isCutOff() bool { return !r.cutSince.IsZero() }

// recordContact records that something has come from t's endpoint.
func (t *target) recordContact(now time.Time) {
	t.contactAt, t.isUnreachable = now, false
}

// hasAnsweredSince reports whether something has come from t's endpoint since a time.
func (t *target) hasAnsweredSince(at time.Time) bool { return !t.contactAt.Before(at) }

// updateReach counts the targets that can be reached and judges from them whether the instance
// is cut off. A single target, or a few, may be silent while all others answer.
func (s *Scheduler) updateReach(now time.Time) {
	r := &s.reach
	since := now.Add(-answerWindow)
	if r.isCutOff() {
		since = r.cutSince
	}
	r.unreachable, r.answering = 0, 0
	for _, t := range s.targets {
		switch {
		case t.isUnreachable:
			r.unreachable++
		case t.hasAnsweredSince(since):
			r.answering++
		}
	}
	switch {
	case !r.isCutOff() && r.unreachable >= minUnreachable && r.unreachable > r.answering:
		r.cutSince = now
		s.emit(ReachChanged{CutOff: true, Unreachable: r.unreachable, Answering: r.answering})
	case r.isCutOff() && (r.unreachable < minUnreachable || r.answering >= reachableMargin*r.unreachable):
		s.emit(ReachChanged{Unreachable: r.unreachable, Answering: r.answering, Lasted: now.Sub(r.cutSince)})
		r.cutSince = time.Time{}
	}
}

// countTargets returns the number of targets of a pool, and how many of them are stalled.
func (s *Scheduler) countTargets(name identifier.Pool) (targets, stalled int) {
	pl := s.pools[name]
	if pl == nil {
		return 0, 0
	}
	for _, t := range pl.targets {
		if !t.stalledAt.IsZero() {
			stalled++
		}
	}
	return len(pl.targets), stalled
}
