package scheduler

import (
	"slices"
	"time"
)

// Bounds on the time of a request.
const (
	minServeTime   = 20 * time.Millisecond // a request with less time left until its deadline is not sent
	maxWaitDivisor = 3                     // a request waits at most its remaining time divided by this
)

// flight is a request in flight, from its arrival to its outcome.
type flight struct {
	Request
	ref             Ref
	attempt         int     // number of the running or last attempt, from 1
	target          *target // target of the running attempt; nil if none runs
	tried           []triedTarget
	sentAttempts    int       // attempts that may have reached a target
	possibleRuns    int       // attempts that may have run
	answerStarted   bool      // an event of the answer has been received
	sentAt          time.Time // start of the running attempt
	attemptHasEvent bool      // an event of the running attempt has been received
	lastProgressAt  time.Time // time of the last progress of the running attempt, or of its start
	abandoned       bool      // an Abandon action was issued for the running attempt
	giveUpAt        time.Time // end of the wait for a target; zero if the request does not wait
	refusedStatus   int       // status of the last refusal; zero if no target refused the request
	failedStatus    int       // status of the endpoint's last own error, which can be passed through; zero for none
}

// triedTarget is a target of an earlier attempt of a request.
type triedTarget struct {
	target  *target
	retryAt time.Time // when the request may be sent to the target again; zero for never
}

// refusalBackoff is the time for which a request is not sent again to a target that refused it.
const refusalBackoff = 250 * time.Millisecond

// hasTried reports whether f must not be sent to t now because of an earlier attempt there.
func (f *flight) hasTried(now time.Time, t *target) bool {
	return slices.ContainsFunc(f.tried, func(o triedTarget) bool {
		return o.target == t && (o.retryAt.IsZero() || now.Before(o.retryAt))
	})
}

func (s *Scheduler) handleArrival(now time.Time, e Arrived) {
	f := &flight{Request: e.Request, ref: e.Ref}
	s.flights[f.ref] = f
	if f.Fingerprint != 0 {
		s.copies[f.Fingerprint]++
	}
	s.budget.credit(f.Service)
	s.ratesOf(f.Pool).countArrival(now)
	s.place(now, f)
}

// place sends f to a target, lets f wait for a target, or gives f up.
func (s *Scheduler) place(now time.Time, f *flight) {
	if f.Deadline.Sub(now) < minServeTime {
		s.giveUp(now, f, ReasonDeadline)
		return
	}
	if reason := s.blockingReason(f); reason != "" {
		s.block(now, f, reason)
		return
	}
	t, load, reason := s.chooseTarget(now, f)
	if t == nil && f.failedStatus != 0 && !f.answerStarted {
		s.giveUp(now, f, reason) // the endpoint's error is passed through
		return
	}
	if t == nil {
		s.wait(now, f, reason)
		return
	}
	if f.sentAttempts > 0 && !s.budget.trySpend(f.Service) {
		s.giveUp(now, f, ReasonRetryBudget)
		return
	}
	s.send(now, f, t, load)
}

func (s *Scheduler) send(now time.Time, f *flight, t *target, load float64) {
	s.dequeue(f)
	f.attempt++
	f.target, f.sentAt, f.attemptHasEvent, f.lastProgressAt, f.abandoned = t, now, false, now, false
	f.giveUpAt = time.Time{}
	f.tried = append(f.tried, triedTarget{target: t})
	t.flights[f.ref] = f
	if !t.stalledAt.IsZero() {
		t.lastTrialAt = now
	}
	s.emit(Send{Ref: f.ref, Attempt: f.attempt, Target: &t.Target, Load: load})
}

// wait lets f wait for a target until f.giveUpAt. It gives f up at that time, or if waiting
// for full targets is futile.
func (s *Scheduler) wait(now time.Time, f *flight, reason Reason) {
	if f.giveUpAt.IsZero() {
		timeLeft := f.Deadline.Sub(now)
		f.giveUpAt = now.Add(min(s.cfg.MaxTargetWait, timeLeft/maxWaitDivisor))
		if reason == ReasonFull && s.shouldRefuse(now, f) {
			s.giveUp(now, f, reason)
			return
		}
		s.enqueue(f)
		s.emit(Wait{Ref: f.ref, Reason: reason, Until: f.giveUpAt})
		return
	}
	if !now.Before(f.giveUpAt) || reason == ReasonFull && s.shouldRefuse(now, f) {
		s.dequeue(f)
		s.giveUp(now, f, reason)
	}
}

// placeQueued tries to place the waiting requests in the order of the queue.
func (s *Scheduler) placeQueued(now time.Time) {
	for _, f := range slices.Clone(s.queue) {
		s.place(now, f)
	}
}

func (s *Scheduler) handleProgress(now time.Time, e Progressed) {
	f := s.findRunning(e.Ref, e.Attempt)
	if f == nil {
		return
	}
	t := f.target
	t.recordLoad(now, e.Load)
	if e.Event {
		if f.attemptHasEvent {
			t.recordGap(now, now.Sub(f.lastProgressAt))
		} else {
			t.recordFirstEvent(now, now.Sub(f.sentAt))
			s.countAnswer(now, f)
		}
		f.attemptHasEvent, f.answerStarted = true, true
	}
	f.lastProgressAt = now
	s.recordProgress(now, t)
}

// countAnswer counts the first event or complete answer of f against its latency goal.
func (s *Scheduler) countAnswer(now time.Time, f *flight) {
	if !f.answerStarted {
		s.latency.count(f, now.Sub(f.ArrivedAt) > f.LatencyGoal)
	}
}

// recordProgress records progress of a request at t, which ends a stall of t.
func (s *Scheduler) recordProgress(now time.Time, t *target) {
	t.lastProgressAt = now
	t.streamsStalled = false
	if t.stalledAt.IsZero() {
		return
	}
	t.stalledAt = time.Time{}
	s.emit(Recovered{Target: &t.Target})
}

// findRunning returns the request ref if its running attempt has this number, or nil.
func (s *Scheduler) findRunning(ref Ref, attempt int) *flight {
	f := s.flights[ref]
	if f == nil || f.target == nil || f.attempt != attempt {
		return nil
	}
	return f
}

func (s *Scheduler) handleEnd(now time.Time, e Ended) {
	f := s.findRunning(e.Ref, e.Attempt)
	if f == nil {
		return
	}
	t := f.target
	delete(t.flights, f.ref)
	f.target = nil
	s.ratesOf(f.Pool).endings.count(now)
	t.recordLoad(now, e.Load)
	switch end := e.Ending.(type) {
	case Completed:
		t.consecutiveFailures = 0
		if !f.attemptHasEvent {
			t.recordFirstEvent(now, now.Sub(f.sentAt))
			s.countAnswer(now, f)
		}
		s.recordProgress(now, t)
		s.finish(f, Delivered{})
	case NotSent:
		s.markFailed(now, t)
		s.place(now, f)
	case Refused:
		f.sentAttempts++
		f.refusedStatus = end.Status
		f.tried[len(f.tried)-1].retryAt = now.Add(refusalBackoff)
		if end.Misdirected {
			s.markFailed(now, t)
		} else {
			s.recordProgress(now, t)
		}
		s.place(now, f)
	case Failed:
		f.sentAttempts++
		f.possibleRuns++
		f.failedStatus = end.Status
		s.recordProgress(now, t)
		s.retry(now, f, ReasonEndpointFail)
	case Broken:
		f.sentAttempts++
		f.possibleRuns++
		t.consecutiveFailures++
		s.retry(now, f, ReasonAnswerLost)
	case Abandoned:
		f.sentAttempts++
		if f.mayHaveRun(t) {
			f.possibleRuns++
		}
		s.retry(now, f, ReasonAnswerLost)
	case Expired:
		f.sentAttempts++
		f.possibleRuns++
		s.giveUp(now, f, ReasonDeadline)
	}
}

// mayHaveRun reports whether the running attempt of f may have begun to run at t. A stream
// begins with its first event. A stream without an event has therefore not begun if the
// running streams at t have made no progress since it was sent. If t had no running stream
// when it stalled, a stream without an event may have begun.
func (f *flight) mayHaveRun(t *target) bool {
	return f.attemptHasEvent || !f.Stream || !t.streamsStalled || t.lastProgressAt.After(f.sentAt)
}

// markFailed counts a failure of t and treats t as stalled, because a connection to t failed
// or its endpoint no longer serves at its address.
func (s *Scheduler) markFailed(now time.Time, t *target) {
	t.consecutiveFailures++
	if t.stalledAt.IsZero() {
		t.stalledAt = now
		s.emit(Stalled{Target: &t.Target, Silence: 0})
	}
}

// retry places a request that may have run again if it is repeatable and has attempts left,
// and gives it up otherwise.
func (s *Scheduler) retry(now time.Time, f *flight, reason Reason) {
	switch {
	case !f.Repeatable:
		s.giveUp(now, f, reason)
	case f.possibleRuns >= max(f.MaxAttempts, 1):
		s.giveUp(now, f, ReasonAttempts)
	default:
		s.place(now, f)
	}
}

// giveUp ends f without a complete answer. The outcome is the most definite one that the
// earlier attempts allow.
func (s *Scheduler) giveUp(now time.Time, f *flight, reason Reason) {
	switch {
	case f.failedStatus != 0 && !f.answerStarted:
		s.finish(f, PassedThrough{Status: f.failedStatus})
	case f.possibleRuns > 0 || f.answerStarted:
		s.latency.count(f, true)
		s.finish(f, Unknown{Reason: reason})
	case f.sentAttempts == 0 && (reason == ReasonSuspected || reason == ReasonQuarantined):
		s.finish(f, NotRun{Reason: reason, RetryAfter: s.restrictedRetryAfter(now, f)})
	case f.refusedStatus != 0 && f.sentAttempts > 0:
		s.latency.count(f, true)
		s.finish(f, NotRun{Reason: ReasonAllRefused, RetryAfter: s.retryAfter(now, f)})
	case f.sentAttempts > 0:
		s.finish(f, Unknown{Reason: reason})
	default:
		s.latency.count(f, true)
		s.finish(f, NotRun{Reason: reason, RetryAfter: s.retryAfter(now, f)})
	}
}

func (s *Scheduler) finish(f *flight, o Outcome) {
	s.dequeue(f)
	delete(s.flights, f.ref)
	if s.copies[f.Fingerprint]--; s.copies[f.Fingerprint] <= 0 {
		delete(s.copies, f.Fingerprint)
	}
	s.emit(Finish{Ref: f.ref, Outcome: o})
}

// handleCallerLeft ends a request whose caller closed its connection.
func (s *Scheduler) handleCallerLeft(ref Ref) {
	f := s.flights[ref]
	if f == nil {
		return
	}
	if f.target != nil {
		delete(f.target.flights, ref)
		s.emit(Abandon{Ref: ref, Attempt: f.attempt, Reason: ReasonCallerGone})
	}
	s.finish(f, CallerGone{})
}
