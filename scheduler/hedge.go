package scheduler

import "time"

// hedgeStalled hedges the requests at t, whose attempts make no progress.
func (s *Scheduler) hedgeStalled(now time.Time, t *target) {
	for _, a := range sortedAttempts(t.attempts) {
		s.hedge(now, a, ReasonStalled)
	}
}

// hedgeOrphans hedges the requests at removed targets and through peers that make no progress.
func (s *Scheduler) hedgeOrphans(now time.Time) {
	for _, f := range s.runningFlights() {
		a := f.running[len(f.running)-1]
		if a.peer != nil {
			if s.isPeerAttemptOverdue(now, a) {
				s.hedge(now, a, ReasonStalled)
			}
			continue
		}
		if s.targets[a.target.ID] != a.target && now.Sub(a.lastProgressAt) >= s.cfg.MinFirstEventStall {
			s.hedge(now, a, ReasonReplaced)
		}
	}
}

// hedge starts another attempt of a's request at another target, if one is available now. The
// attempt a goes on: whichever makes progress first answers the request, so that neither a lack
// of targets or retries nor a refusal by the other target ends the answer.
func (s *Scheduler) hedge(now time.Time, a *attempt, reason Reason) {
	f := a.flight
	if !s.mayHedge(now, a) {
		return
	}
	d, _ := s.chooseDestination(now, f)
	if d.isNone() || !s.budget.trySpend(f.Service) {
		return
	}
	if s.countRuns(now, f)+s.countRunning(now, f) >= f.maxRuns() {
		s.abandon(now, a, reason)
	}
	s.start(now, f, d, reason)
}

// mayHedge reports whether the request of a may run at a further target too. Only its newest
// attempt is hedged, so that a third one starts if the second makes no progress either. A suspected
// request is not hedged, because it may crash both targets. Attempts that go on may run. If they
// reach the maximum, a hedge that can't have begun is replaced, while the earlier attempts go on.
func (s *Scheduler) mayHedge(now time.Time, a *attempt) bool {
	f := a.flight
	if !f.Repeatable || a != f.running[len(f.running)-1] || f.Deadline.Sub(now) < minServeTime || now.Before(f.hedgeAfter) {
		return false
	}
	if s.isRestricted(f) {
		return false
	}
	runs := s.countRuns(now, f) + s.countRunning(now, f)
	if len(f.running) > 1 && !a.mayHaveRun(now) {
		runs--
	}
	return runs < f.maxRuns()
}

// abandonOthers ends the other attempts of a's request, because a has made progress.
func (s *Scheduler) abandonOthers(now time.Time, a *attempt) {
	for len(a.flight.running) > 1 {
		other := a.flight.running[0]
		if other == a {
			other = a.flight.running[1]
		}
		reason := a.hedges
		if other.number > a.number {
			reason = ReasonRecovered
		}
		s.abandon(now, other, reason)
	}
}
