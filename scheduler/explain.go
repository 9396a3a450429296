package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Obstacle is what keeps a target from taking a request.
type Obstacle string

// The obstacles.
const (
	ObstacleEvacuated   Obstacle = "evacuated"
	ObstacleLeaving     Obstacle = "leaving"     // its process has said that it leaves
	ObstacleClosed      Obstacle = "closed"      // its process has asked for no requests for a time
	ObstacleReopening   Obstacle = "reopening"   // the only request that its process gets after a closure runs
	ObstacleRefused     Obstacle = "refused"     // it has refused a request a moment ago
	ObstacleLimited     Obstacle = "limited"     // this instance's share of its limit is used up, or this instance has none
	ObstacleUnreachable Obstacle = "unreachable" // it has not answered since this instance lost its links
	ObstacleStalled     Obstacle = "stalled"     // no trial request is due
	ObstacleFull        Obstacle = "full"        // its load has reached Config.MaxLoad
	ObstacleAvoided     Obstacle = "avoided"     // an earlier attempt failed there
)

// Penalty is a part of the penalty that is added to a target's load, as a fraction of its slots.
type Penalty struct {
	Name  string
	Value float64
}

// Candidate is a target of a pool with what counts for and against it for a request.
type Candidate struct {
	Target       *Target
	Obstacle     Obstacle      // empty if it may take the request
	Until        time.Time     // expected end of the obstacle; zero if it is not known
	Load         float64       // as estimated, as a fraction of the slots
	LoadAge      time.Duration // of the last load report; negative if there is none
	LearnedLimit float64       // load up to which the request would meet its goals; zero if none is learned
	PastLimit    bool          // the request would probably miss its goals, so that targets within their limits come first
	Penalties    []Penalty     // those that are not zero
	Score        float64       // the load and the penalties; the lowest is the best
	ColdUntil    time.Time     // zero if it is warm
	RateLimit    float64       // requests per second that its process takes from all instances together; zero if it has no limit
	StalledSince time.Time     // zero if it is not stalled
}

// Decision is what a request gets when it arrives: it is sent if Target or Peer is set, it waits if Position is positive,
// and it is refused otherwise.
type Decision struct {
	Target     *Target
	Peer       identifier.Instance
	Reason     Reason        // why it waits or is refused
	Position   int           // among the waiting requests of its pool, held ones too, from 1
	ExpectedAt time.Time     // when it is expected to be sent if it waits; zero if that is not known
	GivenUpAt  time.Time     // when it is given up if it waits
	RetryAfter time.Duration // after which its caller should retry if it is refused
}

// IsSent reports whether the request is sent.
func (d Decision) IsSent() bool { return d.Target != nil || d.Peer != "" }

// Waits reports whether the request waits.
func (d Decision) Waits() bool { return d.Position > 0 }

// Explanation is where a request would go, and why.
type Explanation struct {
	Candidates []Candidate // those that may take the request first, in the order of preference
	Decision   Decision
}

// Explain returns what q would get if it arrived now as ref. It plays the arrival on a copy of the state and changes nothing
// of s. ref decides between targets with the same score.
func (s *Scheduler) Explain(now time.Time, ref Ref, q Request) Explanation {
	out := Explanation{Candidates: s.copyFor(&q).explainCandidates(now, ref, q)}
	c := s.copyFor(&q)
	for _, a := range c.Step(now, Arrived{Ref: ref, Request: q}) {
		switch a := a.(type) { // an arrival can also cause actions for waiting requests
		case Send:
			if a.Ref == ref {
				out.Decision = Decision{Target: a.Target, Peer: a.Peer}
			}
		case Wait:
			if a.Ref == ref {
				out.Decision = c.explainWait(now, ref, a)
			}
		case Finish:
			if o, ok := a.Outcome.(NotRun); ok && a.Ref == ref {
				out.Decision = Decision{Reason: o.Reason, RetryAfter: o.RetryAfter}
			}
		}
	}
	return out
}

// explainWait returns the decision that the request ref waits.
func (s *Scheduler) explainWait(now time.Time, ref Ref, w Wait) Decision {
	f := s.flights[ref]
	i, _ := s.queues[f.Pool].find(f)
	d := Decision{Reason: w.Reason, Position: i + 1, GivenUpAt: w.Until}
	if o := s.outlookOf(now, f.Pool); f.isHeld(now) {
		d.ExpectedAt = f.heldUntil
	} else if o.reason == w.Reason {
		d.ExpectedAt = o.expectedAt(now, s.position(f))
	}
	return d
}

// expectedAt returns when the request at a position of the queue, from 1, is expected to be placed, or the zero time if that
// is not known.
func (o outlook) expectedAt(now time.Time, position int) time.Time {
	switch o.reason {
	case ReasonClosed:
		return o.reopensAt.Add(reopenDelay)
	case ReasonLimited:
		return o.limit.expectedAt(position)
	case ReasonFull:
		if wait := o.expectedWait(position); wait > 0 {
			return now.Add(wait)
		}
	}
	return time.Time{}
}

// explainCandidates returns the targets of q's pool in the order in which chooseCandidate prefers them. s is a copy, because
// limits and means are brought up to date.
func (s *Scheduler) explainCandidates(now time.Time, ref Ref, q Request) []Candidate {
	pl := s.pools[q.Pool]
	if pl == nil {
		return nil
	}
	f := &flight{Request: q, ref: ref}
	if s.held > 0 {
		s.endCrowdedHolds(now, pl, s.freeTargets(now, pl)) // as the arrival does
	}
	m := pl.means(now)
	var out []Candidate
	for _, t := range pl.targets {
		out = append(out, s.explainCandidate(now, f, t, m))
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(a.Obstacle != "", b.Obstacle != ""), compareBool(a.PastLimit, b.PastLimit), cmp.Compare(a.Score, b.Score),
			cmp.Compare(tieHash(ref, a.Target.ID), tieHash(ref, b.Target.ID)),
		)
	})
	return out
}

// explainCandidate returns what counts for and against t for f.
func (s *Scheduler) explainCandidate(now time.Time, f *flight, t *target, m means) Candidate {
	slowness := t.slowness(now)
	var p penalties
	penalty := s.penalty(now, t, m.gap, slowness, &p)
	c := candidate{target: t, load: t.load(now, m.otherRequests), slowness: slowness}
	out := Candidate{
		Target: t.Target, Obstacle: s.obstacleOf(now, t), Load: c.load, LoadAge: -1, PastLimit: !c.isWithinLimit(now, f),
		Penalties: p.named(), Score: c.load + penalty, StalledSince: t.stalledAt,
	}
	switch {
	case out.Obstacle != "":
		out.Until = s.obstacleEnd(now, t, out.Obstacle)
	case c.load >= s.cfg.MaxLoad:
		out.Obstacle = ObstacleFull
	case f.hasTried(now, t):
		out.Obstacle = ObstacleAvoided
	}
	if !t.otherRequestsAt.IsZero() {
		out.LoadAge = now.Sub(t.otherRequestsAt)
	}
	if slowness > 0 && f.isEstimated(t) {
		out.LearnedLimit = t.pool.capacity.model.Limit(f.goalsAt(now, t), slowness, s.cfg.MaxLoad)
	}
	if t.isCold(now) {
		out.ColdUntil = t.statement.limit.cold.until()
	}
	if t.statement != nil && t.statement.limit.isActive(now) {
		out.RateLimit = s.termsOf(now, &t.statement.limit).perSecond
	}
	return out
}

// obstacleEnd returns the expected end of an obstacle at t, or the zero time if it is not known.
func (s *Scheduler) obstacleEnd(now time.Time, t *target, o Obstacle) time.Time {
	switch o {
	case ObstacleClosed:
		return t.statement.closedUntil
	case ObstacleRefused:
		return t.refusedUntil
	case ObstacleLimited:
		return s.limitedUntil(now, t)
	}
	return time.Time{}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
