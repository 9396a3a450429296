package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// candidate is a target that may take another request.
type candidate struct {
	target *target
	load   float64 // as a fraction of its slots
	score  float64 // the load and what else speaks against the target; the lowest is the best

	slowness float64 // of the target, see estimator.Estimator; zero if its limit is not learned
}

// freeTargets returns the targets of a pool that may take a request which no target runs. The slice
// is valid until the next call.
func (s *Scheduler) freeTargets(now time.Time, pl *pool) []candidate {
	m := pl.means(now)
	s.free = s.free[:0]
	for _, t := range pl.targets {
		if c, ok := s.candidate(now, t, m); ok {
			s.free = append(s.free, c)
		}
	}
	return s.free
}

// candidate returns t as a candidate for a request which no target runs, or false if t may take none.
func (s *Scheduler) candidate(now time.Time, t *target, m means) (candidate, bool) {
	if !s.mayTake(now, t) {
		return candidate{}, false
	}
	load := t.load(now, m.otherRequests)
	if load >= s.cfg.MaxLoad {
		return candidate{}, false
	}
	slowness := t.slowness(now)
	return candidate{target: t, load: load, score: load + s.penalty(now, t, m.gap, slowness, nil), slowness: slowness}, true
}

// chooseCandidate returns the best of the candidates for f, or false if f has tried all of them or is held. Those past their
// learned limits come after all others. A copy of a request shares the target of the first copy while that has enough free slots.
func (s *Scheduler) chooseCandidate(now time.Time, f *flight, candidates []candidate) (candidate, bool) {
	var best candidate
	found, isBestWithin := false, false
	shared := s.targetOfCopy(f)
	for _, c := range candidates {
		if f.hasTried(now, c.target) || len(f.running) > 0 && !c.target.stalledAt.IsZero() {
			continue // a hedge is no trial request, because the first attempt may be at a silent target already
		}
		if c.target == shared && c.load < maxCopyLoad {
			return c, true
		}
		if found && isBestWithin && c.score > best.score {
			continue
		}
		isWithin := c.isWithinLimit(now, f)
		if !found || isWithin && !isBestWithin || isWithin == isBestWithin && (c.score < best.score || c.score == best.score && s.winsTie(f, c.target, best.target)) {
			best, found, isBestWithin = c, true, isWithin
		}
	}
	if found && !isBestWithin && s.mayHold(now, f, best, candidates) {
		return candidate{}, false
	}
	return best, found
}

// chooseTarget returns the best target for f and its load, or the reason why no target is available.
func (s *Scheduler) chooseTarget(now time.Time, f *flight) (*target, float64, Reason) {
	pl := s.pools[f.Pool]
	if pl == nil {
		return nil, 0, ReasonNoTarget
	}
	free := s.freeTargets(now, pl)
	if s.held > 0 && f.attempts == 0 && s.endCrowdedHolds(now, pl, free) {
		free = s.freeTargets(now, pl)
	}
	if c, ok := s.chooseCandidate(now, f, free); ok {
		return c.target, c.load, ""
	}
	if f.isHeld(now) {
		return nil, 0, ReasonPastLimits
	}
	return nil, 0, s.waitReason(now, f, pl)
}

// chooseDestination returns where the next attempt of f goes, or the reason why no target is available.
func (s *Scheduler) chooseDestination(now time.Time, f *flight) (destination, Reason) {
	t, load, reason := s.chooseTarget(now, f)
	if (t == nil || f.notSent >= maxNotSent) && s.mayGoThroughPeer(now, f, reason) {
		if p := s.choosePeer(now, f); p != nil {
			return destination{peer: p}, ""
		}
	}
	return destination{target: t, load: load}, reason
}

// waitReason returns the reason why no target of a pool is available for f.
func (s *Scheduler) waitReason(now time.Time, f *flight, pl *pool) Reason {
	if pl.isEvacuated() {
		return ReasonEvacuated
	}
	m := pl.means(now)
	for _, t := range pl.targets {
		if !f.hasTried(now, t) && s.isFull(now, t, m) {
			return ReasonFull
		}
	}
	if _, isLimited := s.limitOutlook(now, pl); isLimited {
		return ReasonLimited
	}
	if _, isClosed := pl.reopensAt(now); isClosed {
		return ReasonClosed
	}
	return ReasonNoTarget
}

// isFull reports whether t takes no request because of those that it runs: it has refused one, or
// the estimate of its load says so.
func (s *Scheduler) isFull(now time.Time, t *target, m means) bool {
	if t.Evacuated {
		return false
	}
	if now.Before(t.refusedUntil) {
		return t.statement.admits(now) && !s.limitedUntil(now, t).After(now)
	}
	return s.mayTake(now, t) && t.load(now, m.otherRequests) >= s.cfg.MaxLoad
}

// winsTie reports whether t is preferred to best if both have the same score. The order of
// the targets differs between requests, so that equal targets share the requests.
func (s *Scheduler) winsTie(f *flight, t, best *target) bool {
	return tieHash(f.ref, t.ID) < tieHash(f.ref, best.ID)
}

func tieHash(ref Ref, id identifier.Endpoint) uint64 {
	h := uint64(ref) * 0x9e3779b97f4a7c15
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return h
}

// penalty returns the value that is added to the load of t to get its score. Like the load,
// it is a fraction of t's slots. Its parts are recorded in parts unless that is nil.
func (s *Scheduler) penalty(now time.Time, t *target, poolMeanGap time.Duration, slowness float64, parts *penalties) float64 {
	score := prefillPenalty * float64(t.backlog) / 1000
	parts.record(penaltyPrefill, score)
	if t.FailureDomain != s.cfg.FailureDomain {
		score += parts.record(penaltyRemoteDomain, remoteDomainPenalty)
	}
	if t.SpansFabricDomains {
		score += parts.record(penaltyFabricSpan, fabricSpanPenalty)
	}
	if t.MemberMissing {
		score += parts.record(penaltyMissingMember, missingMemberPenalty)
	}
	if t.isCold(now) {
		score += parts.record(penaltyCold, coldPenalty)
	}
	if now.Sub(t.addedAt) < time.Second {
		score += parts.record(penaltyNewTarget, newTargetPenalty)
	}
	slow := 0.0
	if poolMeanGap > 0 && now.Sub(t.gapMeasuredAt) < latencySampleTTL {
		if ratio := float64(t.meanGap) / float64(poolMeanGap); ratio > slowThreshold {
			slow = slowPenalty * (ratio - 1)
		}
	}
	if slowness > 0 {
		slow = max(slow, slowPenalty*(slowness-1))
		score += parts.record(penaltyFailureRate, failurePenalty*t.estimator.FailureRate(now))
	}
	score += parts.record(penaltySlow, slow)
	return score + parts.record(penaltyFailuresInARow, 0.25*float64(min(t.consecutiveFailures, 8)))
}

// mayTake reports whether t may take a request which no target runs.
func (s *Scheduler) mayTake(now time.Time, t *target) bool { return s.obstacleOf(now, t) == "" }

// obstacleOf returns what keeps t from taking a request which no target runs, or "": it is evacuated, its process has said
// that it leaves or asked for no requests, its limit allows none, it has not answered since this instance was cut off, or
// it is stalled and no trial request is due.
func (s *Scheduler) obstacleOf(now time.Time, t *target) Obstacle {
	switch {
	case t.Evacuated:
		return ObstacleEvacuated
	case t.statement.isLeaving():
		return ObstacleLeaving
	case t.statement.isClosed(now):
		return ObstacleClosed
	case !t.statement.admits(now):
		return ObstacleReopening
	case now.Before(t.refusedUntil):
		return ObstacleRefused
	case s.limitedUntil(now, t).After(now):
		return ObstacleLimited
	case s.reach.isCutOff() && (t.isUnreachable() || !t.hasAnsweredSince(s.reach.cutSince)):
		return ObstacleUnreachable
	case t.stalledAt.IsZero(), t.contactAt.After(t.stalledAt) && t.contactAt.After(t.lastTrialAt):
		return "" // not stalled, or its endpoint has answered a probe
	case len(t.attempts) == 0 && now.Sub(t.lastTrialAt) >= s.cfg.TrialInterval && now.Sub(t.stalledAt) >= s.cfg.TrialInterval:
		return ""
	}
	return ObstacleStalled
}
