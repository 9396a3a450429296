package scheduler

import "time"

func (s *Scheduler) handleProgress(now time.Time, e Progressed) {
	a := s.findRunning(e.Ref, e.Attempt)
	if a == nil {
		return
	}
	if a.target != nil {
		s.recordTargetProgress(now, a, e)
	} else {
		a.peer.serve()
	}
	a.lastProgressAt = now
	if !e.Event {
		return
	}
	if !a.hasEvent {
		s.countAnswer(now, a.flight)
	}
	a.hasEvent, a.flight.answerStarted = true, true
	a.flight.events++
	s.abandonOthers(now, a)
}

// recordTargetProgress records what the progress of an attempt says about its target.
func (s *Scheduler) recordTargetProgress(now time.Time, a *attempt, e Progressed) {
	t := a.target
	t.recordLoad(now, e.Load)
	switch {
	case e.Event && a.hasEvent:
		t.recordGap(now, now.Sub(a.lastProgressAt))
		a.learnGap(now)
	case e.Event:
		t.recordFirstEvent(now, now.Sub(a.sentAt))
		a.learnFirstEvent(now)
	}
	if e.Event && a.isTrial() {
		t.statement.reopen()
	}
	s.recordProgress(now, t)
}

// countAnswer counts the first event or complete answer of f against its latency goal.
func (s *Scheduler) countAnswer(now time.Time, f *flight) {
	if !f.answerStarted && !f.ViaPeer {
		missedGoal := now.Sub(f.ArrivedAt) > f.LatencyGoal
		s.latency.count(f, missedGoal)
		s.demand.countGoal(f, missedGoal)
	}
}

// recordProgress records progress of a request at t.
func (s *Scheduler) recordProgress(now time.Time, t *target) {
	t.consecutiveRefusals, t.refusedUntil = 0, time.Time{}
	s.recordLife(now, t)
}

// recordLife records that t has answered, which ends a stall of t.
func (s *Scheduler) recordLife(now time.Time, t *target) {
	delete(s.endedProcesses, t.Process())
	t.recordContact(now)
	t.lastProgressAt = now
	t.streamsStalled = false
	if t.stalledAt.IsZero() {
		return
	}
	t.stalledAt = time.Time{}
	s.emit(Recovered{Target: t.Target})
}
