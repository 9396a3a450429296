package scheduler

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Bounds on the time of a request.
const (
	minServeTime   = 20 * time.Millisecond // a request with less time left until its deadline is not sent
	maxWaitDivisor = 3                     // a request waits at most its remaining time divided by this
)

// flight is a request in flight, from its arrival to its outcome.
type flight struct {
	Request
	ref           Ref
	attempts      int        // number of attempts so far
	running       []*attempt // one attempt, or several while the request is hedged; none while it waits
	tried         []triedTarget
	sentAttempts  int // ended attempts that may have reached a target
	possibleRuns  []possibleRun
	hasAbandoned  bool      // an attempt was abandoned, so that its target may run the request later
	answerStarted bool      // an event of the answer has been received
	events        int       // of the stream, received so far
	giveUpAt      time.Time // end of the wait for a target; zero if the request does not wait
	heldUntil     time.Time // end of the time for which f waits because all targets are past their learned limits; zero if it was not held yet
	isCountedHeld bool      // f counts in Scheduler.held
	hedgeAfter    time.Time // f is not hedged before this time, because a target has refused a hedge
	refusedStatus int       // status of the last refusal; zero if no target refused the request
	failedStatus  int       // status of the endpoint's last own error, which can be passed through; zero for none
	failedAttempt int       // attempt that ended with that error
	notSent       int       // attempts at targets that could not be reached
	triedPeers    []*peer   // through which f is not sent again
	peerRefusals  int
	peerRefusal   PeerRefused // the last one
}

// triedTarget is a target of an earlier attempt of a request.
type triedTarget struct {
	target  *target
	attempt int       // number of the attempt
	retryAt time.Time // when the request may be sent to the target again; zero for never
}

// refusalBackoff is the time for which a request is not sent again to a target that refused it.
const refusalBackoff = 250 * time.Millisecond

// hasTried reports whether f must not be sent to t now because of an earlier attempt there.
func (f *flight) hasTried(now time.Time, t *target) bool {
	if f.runsAtProcessOf(t) || slices.Contains(f.Avoid, t.ID) {
		return true
	}
	return slices.ContainsFunc(f.tried, func(o triedTarget) bool {
		return o.target == t && (o.retryAt.IsZero() || now.Before(o.retryAt))
	})
}

// runsAtProcessOf reports whether f runs at the process of t, possibly as an earlier target that
// was removed.
func (f *flight) runsAtProcessOf(t *target) bool {
	return slices.ContainsFunc(f.running, func(a *attempt) bool {
		return a.target != nil && a.target.ID == t.ID && a.target.ProcessStart == t.ProcessStart && a.target.Address == t.Address
	})
}

func (s *Scheduler) handleArrival(now time.Time, e Arrived) {
	f := &flight{Request: e.Request, ref: e.Ref}
	s.limitDeadline(f)
	s.flights[f.ref] = f
	if f.Fingerprint != 0 {
		s.copies[f.Fingerprint]++
	}
	if !f.ViaPeer {
		s.budget.credit(now, f.Service)
	}
	s.ratesOf(f.Pool).countArrival(now)
	s.demand.countArrival(now, f)
	s.place(now, f)
}

// limitDeadline sets the deadline of f to the end of an instance that stops, if it is later. A waiting request keeps its place by
// the new deadline.
func (s *Scheduler) limitDeadline(f *flight) {
	if s.stopAt.IsZero() || !s.stopAt.Before(f.Deadline) {
		return
	}
	_, isQueued := s.queues[f.Pool].find(f)
	if isQueued {
		s.dequeue(f)
	}
	f.Deadline = s.stopAt
	if isQueued {
		s.enqueue(f)
	}
}

// place sends f to a target or through a peer, lets f wait for a target, or gives f up.
func (s *Scheduler) place(now time.Time, f *flight) {
	if f.Deadline.Sub(now) < minServeTime {
		s.giveUp(now, f, ReasonDeadline)
		return
	}
	if s.isEvacuated(f.Pool) {
		s.giveUp(now, f, ReasonEvacuated)
		return
	}
	if reason := s.blockingReason(f); reason != "" {
		s.block(now, f, reason)
		return
	}
	d, reason := s.chooseDestination(now, f)
	s.countColdSkips(now, s.pools[f.Pool])
	if d.isNone() && f.failedStatus != 0 && !f.answerStarted {
		s.giveUp(now, f, reason) // the endpoint's error is passed through
		return
	}
	if d.isNone() {
		s.wait(now, f, reason)
		return
	}
	if f.sentAttempts > 0 && !s.budget.trySpend(f.Service) {
		s.wait(now, f, ReasonRetryBudget)
		return
	}
	s.start(now, f, d, "")
}

// wait lets f wait for a target, or for a retry that the budget allows, until f.giveUpAt, unless
// waiting is futile. A request that may have run does not wait for a retry.
func (s *Scheduler) wait(now time.Time, f *flight, reason Reason) {
	if !f.giveUpAt.IsZero() {
		return // it waits already, and the next tick checks it
	}
	if reason == ReasonNoTarget && (f.ViaPeer || s.reach.isCutOff() && s.pools[f.Pool] != nil) {
		s.giveUp(now, f, s.unservedReason(f)) // the instance that accepted f asks another one, or there is none
		return
	}
	f.giveUpAt = now.Add(min(s.cfg.MaxTargetWait, f.Deadline.Sub(now)/maxWaitDivisor))
	if reason == ReasonRetryBudget && !s.mayAwaitRetry(now, f) {
		s.giveUp(now, f, reason)
		return
	}
	if o := s.outlookOf(now, f.Pool); o.reason == reason && o.isFutile(now, f, s.position(f)) {
		s.giveUp(now, f, reason)
		return
	}
	s.enqueue(f)
	targets, stalled := s.countTargets(f.Pool)
	s.emit(Wait{Ref: f.ref, Reason: reason, Until: f.giveUpAt, Targets: targets, Stalled: stalled})
}

// mayAwaitRetry reports whether f may wait for a retry: it has certainly not run, and the requests
// that arrive are expected to allow a retry for it, after those for the requests that wait already, before
// f.giveUpAt.
func (s *Scheduler) mayAwaitRetry(now time.Time, f *flight) bool {
	if !f.hasNotRun() {
		return false
	}
	ahead := 0
	if q := s.queues[f.Pool]; q != nil {
		for _, o := range q.flights {
			if o.sentAttempts > 0 {
				ahead++
			}
		}
	}
	wait, ok := s.budget.expectedWait(now, f.Service, ahead+1)
	return ok && !now.Add(wait).After(f.giveUpAt)
}

// hasNotRun reports whether f has certainly not run, because each target that received it answered
// that it refused the request.
func (f *flight) hasNotRun() bool {
	return len(f.possibleRuns) == 0 && !f.hasAbandoned && !f.answerStarted
}

// maxRuns returns the number of targets that may run f.
func (f *flight) maxRuns() int { return max(f.MaxAttempts, 1) }

// giveUp ends f without a complete answer. The outcome is the most definite one that the
// earlier attempts allow.
func (s *Scheduler) giveUp(now time.Time, f *flight, reason Reason) {
	switch {
	case f.failedStatus != 0 && !f.answerStarted:
		s.finish(f, PassedThrough{Status: f.failedStatus, Attempt: f.failedAttempt})
	case len(f.possibleRuns) > 0 || f.hasAbandoned || f.answerStarted:
		s.countMiss(f)
		s.finish(f, Unknown{Reason: reason})
	case f.sentAttempts == 0 && f.peerRefusal.RetryAfter > 0 && f.peerRefusal.Reason == reason:
		s.countMiss(f)
		s.finish(f, NotRun{Reason: reason, RetryAfter: f.peerRefusal.RetryAfter})
	case f.sentAttempts == 0 && (reason == ReasonSuspected || reason == ReasonQuarantined):
		s.finish(f, s.restrictedOutcome(now, f, reason))
	case f.refusedStatus != 0 && f.sentAttempts > 0:
		s.countMiss(f)
		if reason != ReasonEvacuated {
			reason = ReasonAllRefused
		}
		s.finish(f, NotRun{Reason: reason, RetryAfter: s.retryAfter(now, f)})
	case f.sentAttempts > 0:
		s.finish(f, Unknown{Reason: reason})
	default:
		s.countMiss(f)
		s.finish(f, NotRun{Reason: reason, RetryAfter: s.retryAfter(now, f)})
	}
}

// countMiss counts f, which ends without an answer, as one that missed its latency goal.
func (s *Scheduler) countMiss(f *flight) {
	if !f.ViaPeer {
		s.latency.count(f, true)
		s.demand.countGoal(f, true)
	}
}

// noTargetReason returns the reason why no target of a pool is available: none is listed, or this instance reaches none.
func (s *Scheduler) noTargetReason(name identifier.Pool) Reason {
	if s.pools[name] != nil && s.reach.isCutOff() {
		return ReasonCutOff
	}
	return ReasonNoTarget
}

// finish ends f. Its running attempts are abandoned.
func (s *Scheduler) finish(f *flight, o Outcome) {
	s.dequeue(f)
	s.demand.countAnswer(f, o)
	s.release(f)
	for len(f.running) > 0 {
		s.cancel(f.running[0], ReasonEnded)
	}
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
	for len(f.running) > 0 {
		s.cancel(f.running[0], ReasonCallerGone)
	}
	s.finish(f, CallerGone{})
}
