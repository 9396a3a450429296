package scheduler

import "time"

// handleEnd handles the end of an attempt. What waits for its place is placed afterwards.
func (s *Scheduler) handleEnd(now time.Time, e Ended) {
	a := s.findRunning(e.Ref, e.Attempt)
	if a == nil {
		return
	}
	f := a.flight
	isTrial := a.isTrial()
	s.drop(a)
	s.ratesOf(f.Pool).endings.count(now)
	defer s.placeWaiting(now, f.Pool)
	if a.peer != nil {
		s.handlePeerEnd(now, a, e.Ending)
		return
	}
	a.target.recordLoad(now, e.Load)
	s.handleTargetEnd(now, a, e.Ending, isTrial)
}

// handleTargetEnd handles the end of an attempt at a target. isTrial is whether the attempt was the trial request of a
// process that has asked for no requests for a time.
func (s *Scheduler) handleTargetEnd(now time.Time, a *attempt, e Ending, isTrial bool) {
	f, t := a.flight, a.target
	a.learnEnd(now, e)
	switch end := e.(type) {
	case Completed:
		t.consecutiveFailures = 0
		if !a.hasEvent {
			t.recordFirstEvent(now, now.Sub(a.sentAt))
			a.learnFirstEvent(now)
			s.countAnswer(now, f)
		}
		s.recordProgress(now, t)
		if isTrial {
			t.statement.reopen()
		}
		s.finish(f, Delivered{Attempt: a.number})
	case NotSent:
		s.markFailed(now, t)
		t.unreachableAt = now
		f.notSent++
		s.goOn(now, f)
	case Refused:
		s.handleRefusal(now, a, end)
	case Failed:
		s.recordProgress(now, t)
		s.handleEndpointError(now, a, end)
	case Broken:
		t.consecutiveFailures++
		if !a.hasEvent {
			t.unreachableAt = now
		}
		f.countPossibleRun(a)
		s.retry(now, f, ReasonAnswerLost)
	case Abandoned: // the scheduler drops an attempt when it abandons it
	case Expired:
		f.countPossibleRun(a)
		s.giveUp(now, f, ReasonDeadline)
	}
}

// handleRefusal goes on with another target, and records what the refusal says about that of a.
func (s *Scheduler) handleRefusal(now time.Time, a *attempt, e Refused) {
	f, t := a.flight, a.target
	t.recordContact(now)
	f.sentAttempts++
	f.refusedStatus = e.Status
	f.allowAgain(a, now.Add(refusalBackoff))
	switch {
	case e.Misdirected:
		s.markFailed(now, t)
	case t.statement != nil && t.statement.isReopening:
		s.close(now, t.statement, refusalBackoff)
	default:
		s.recordLife(now, t)
		t.recordRefusal(now)
	}
	s.goOn(now, f)
}

// handleEndpointError goes on after an endpoint has answered a with its own error.
func (s *Scheduler) handleEndpointError(now time.Time, a *attempt, e Failed) {
	f := a.flight
	f.countPossibleRun(a)
	f.failedStatus, f.failedAttempt = e.Status, a.number
	s.retry(now, f, ReasonEndpointFail)
}

// allowAgain allows further attempts at the target of a, which refused f, from a time on. If
// another attempt of f runs, f is hedged again only from that time on.
func (f *flight) allowAgain(a *attempt, at time.Time) {
	for i := range f.tried {
		if f.tried[i].attempt == a.number {
			f.tried[i].retryAt = at
		}
	}
	if len(f.running) > 0 {
		f.hedgeAfter = at
	}
}

// markFailed counts a failure of t and treats t as stalled, because a connection to t failed
// or its endpoint no longer serves at its address.
func (s *Scheduler) markFailed(now time.Time, t *target) {
	t.consecutiveFailures++
	if t.stalledAt.IsZero() {
		t.stalledAt = now
		t.estimator.Reset()
		s.emit(Stalled{Target: t.Target, Silence: 0})
	}
}

// goOn places f again after an attempt ended, unless another attempt of f runs.
func (s *Scheduler) goOn(now time.Time, f *flight) {
	if len(f.running) == 0 {
		s.place(now, f)
	}
}

// retry places a request that may have run again if it is repeatable and has attempts left,
// and gives it up otherwise. A request of which another attempt runs goes on with that attempt.
func (s *Scheduler) retry(now time.Time, f *flight, reason Reason) {
	switch {
	case len(f.running) > 0:
	case !f.Repeatable:
		s.giveUp(now, f, reason)
	case s.countRuns(now, f) >= f.maxRuns():
		s.giveUp(now, f, ReasonAttempts)
	default:
		s.place(now, f)
	}
}
