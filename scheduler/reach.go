package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Bounds on the evidence that this instance has lost its links to the endpoints, rather than endpoints
// their lives: endpoints end one by one, or in groups of which the list shows the end soon.
const (
	minUnreachable  = 3                      // targets that answer nothing; fewer may all be silent for a moment
	maxSilence      = 2 * time.Second        // longer than a sound endpoint falls silent
	answerWindow    = 500 * time.Millisecond // a target with requests that has answered nothing for longer proves no link
	failureWindow   = 2 * time.Second        // an older failure says nothing about the links now, unless the instance is cut off
	reachableMargin = 2                      // multiple of the unreachable targets that must have answered before the links count as restored
)

// reach is what the targets together say about this instance's links to the endpoints.
type reach struct {
	cutSince    time.Time // since when the instance counts as cut off; zero if it does not
	unreachable int       // targets that have answered nothing since an attempt failed, within failureWindow unless the instance is cut off
	answering   int       // other targets that have answered within answerWindow, or while the instance is cut off, since cutSince
	isConfirmed bool      // while the instance is cut off: a peer has got an answer of an endpoint that it does not reach
	probes      int       // that have not ended
	nextProbeAt time.Time
}

// isCutOff reports whether the instance counts as cut off from most endpoints.
func (r *reach) isCutOff() bool { return !r.cutSince.IsZero() }

// recordContact records that something has come from t's endpoint.
func (t *target) recordContact(now time.Time) {
	t.contactAt, t.unreachableAt = now, time.Time{}
}

// isUnreachable reports whether nothing has come from t's endpoint since an attempt there failed.
func (t *target) isUnreachable() bool { return !t.unreachableAt.IsZero() }

// hasAnsweredSince reports whether something has come from t's endpoint since a time.
func (t *target) hasAnsweredSince(at time.Time) bool { return !t.contactAt.Before(at) }

// updateReach counts the targets that can be reached and judges from them whether the instance
// is cut off. Evacuated targets get neither requests nor probes and prove nothing. A single target, or a few, may be silent while all others answer.
func (s *Scheduler) updateReach(now time.Time) {
	r := &s.reach
	since, failedSince := now.Add(-answerWindow), now.Add(-failureWindow)
	if r.isCutOff() {
		since, failedSince = r.cutSince, time.Time{}
	}
	r.unreachable, r.answering = 0, 0
	for _, t := range s.targets {
		switch {
		case t.Evacuated:
		case t.unreachableAt.After(failedSince):
			r.unreachable++
		case t.hasAnsweredSince(since):
			r.answering++
		}
	}
	switch {
	case !r.isCutOff() && r.unreachable >= minUnreachable && r.unreachable > r.answering:
		r.cutSince, r.isConfirmed = now, false
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

// handlePeerAnswer records that a peer has got an answer of a process for this instance. If it is one that
// this instance does not reach, its own links are at fault, and not the endpoints.
func (s *Scheduler) handlePeerAnswer(e PeerAnswered) {
	r, t := &s.reach, s.targets[e.Process.Endpoint]
	if r.isCutOff() && !r.isConfirmed && t != nil && t.Process() == e.Process && t.isUnreachable() {
		r.isConfirmed = true
		s.emit(ReachChanged{CutOff: true, Confirmed: true, Unreachable: r.unreachable, Answering: r.answering})
	}
}

// cutOffRetryAfter returns the time after which a caller should return who is refused because no instance
// reaches an endpoint: as long as the cut has lasted, because nothing else is known of its end.
func (s *Scheduler) cutOffRetryAfter(now time.Time) time.Duration {
	return min(max(now.Sub(s.reach.cutSince), minRetryAfter), maxRetryAfter).Round(10 * time.Millisecond)
}

// ReachStatus is what an instance reaches, for the operator.
type ReachStatus struct {
	CutSince    time.Time // since when the instance counts as cut off; zero if it does not
	Targets     int
	Unreachable []identifier.Endpoint // targets that answered nothing last, sorted
	Peers       []PeerStatus          // sorted by name
}

// PeerStatus is what an instance knows of a peer.
type PeerStatus struct {
	Instance
	Running     int       // requests that it serves for this instance
	PausedUntil time.Time // until when it gets no more; zero if it gets some
}

// Reach returns what this instance reaches.
func (s *Scheduler) Reach() ReachStatus {
	out := ReachStatus{CutSince: s.reach.cutSince, Targets: len(s.targets)}
	for _, t := range s.targets {
		if t.isUnreachable() {
			out.Unreachable = append(out.Unreachable, t.ID)
		}
	}
	slices.Sort(out.Unreachable)
	for _, p := range s.peers {
		out.Peers = append(out.Peers, PeerStatus{Instance: p.Instance, Running: p.running, PausedUntil: p.pausedUntil})
	}
	slices.SortFunc(out.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
