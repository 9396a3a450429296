package router

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// targetPollInterval is the interval at which a waiting request checks for a usable target.
const targetPollInterval = 250 * time.Millisecond

// flight is the state of one request between its Arrived event and its Finish action.
type flight struct {
	Arrived
	attempt       int
	sentAttempts  int                 // attempts except those of which no byte was sent
	targetID      string              // target of the running attempt; empty for none
	peer          identifier.Instance // instance that the running attempt was forwarded to; empty for none
	potentialLoss loss                // recorded if the target of the running attempt crashes
	isSuspectRun  bool                // the running attempt is the second run of a suspected request
	triedTargets  []uint32            // target.num of the targets of all attempts so far
	triedPeers    []identifier.Instance
	mayHaveRun    bool
	lastNotSent   bool // no byte of the last attempt was sent
	delivered     int
	started       bool
	unresumable   bool
	waitDeadline  time.Time // end of the wait for a target; zero before the first wait
	lastRefusal   Refused   // last refusal by an endpoint or peer
}

// isRunning reports whether an attempt of f is running.
func (f *flight) isRunning() bool { return f.targetID != "" || f.peer != "" }

func (r *Router) handleArrived(now time.Time, e Arrived) {
	f := &flight{Arrived: e}
	r.requests[e.Ref] = f
	r.budget.earn()
	r.advance(now, f)
}

// advance starts the next attempt of f, makes f wait, or finishes f.
func (r *Router) advance(now time.Time, f *flight) {
	mayNotRepeat := f.mayHaveRun && (f.Request.Kind == KindNonIdempotent || f.unresumable)
	if mayNotRepeat || f.sentAttempts >= r.cfg.MaxAttempts || !now.Before(f.Request.Deadline) {
		r.giveUp(now, f)
		return
	}
	if s := r.suspects.find(now, f.Fingerprint); s != nil {
		r.advanceSuspect(now, f, s)
		return
	}
	t := r.choose(now, f)
	if f.delivered == 0 && (t == nil || t.ownInFlight+int(t.othersInFlight) >= t.Capacity) {
		if to := r.chooseRemote(f, t != nil); to != "" && r.chargeAttempt(f) {
			r.forward(f, to)
			return
		}
	}
	if t == nil && f.mayHaveRun && r.waitUntil(now, f, now.Add(targetPollInterval)) {
		return
	}
	if t == nil && f.attempt == 0 && r.isTargetExpected(now, f) && r.waitForExpected(now, f) {
		return
	}
	if t == nil || !r.chargeAttempt(f) {
		r.giveUp(now, f)
		return
	}
	r.dispatch(now, f, t)
}

// waitUntil makes f wait until the given time. It reports false if Config.MaxTargetWait or
// the deadline of f ends before that. A request that may have run waits for a target to
// recover instead of ending without its complete answer. A request that did not run waits only
// if it is suspected; see waitForExpected for the others.
func (r *Router) waitUntil(now time.Time, f *flight, until time.Time) bool {
	if f.waitDeadline.IsZero() {
		f.waitDeadline = now.Add(r.cfg.MaxTargetWait)
	}
	if until.After(f.waitDeadline) || !until.Before(f.Request.Deadline) {
		return false
	}
	r.emit(Wait{Ref: f.Ref, Until: until})
	return true
}

// Times of the wait of a request that has not run for a target that is expected to be usable soon.
const (
	expectedPollInterval = 50 * time.Millisecond
	expectedMaxWait      = time.Second
	expectedReturn       = time.Second // for which a target that is no longer ready is expected back: a report may have been late
)

// isTargetExpected reports whether a target for f is expected to be usable soon: it forms and has not been
// ready yet, it was ready a moment ago, or it gets no requests until its next report. This instance may learn
// later than others that a group is ready.
func (r *Router) isTargetExpected(now time.Time, f *flight) bool {
	pool := r.table.pools[f.Request.Pool]
	return pool != nil && slices.ContainsFunc(pool.targets, func(t *target) bool { return t.isExpected(now) && t.canServe(f) })
}

// waitForExpected makes f wait for the next check whether a target is usable. It reports false once f has
// waited for expectedMaxWait or a third of the time until its deadline.
func (r *Router) waitForExpected(now time.Time, f *flight) bool {
	if f.waitDeadline.IsZero() {
		f.waitDeadline = now.Add(min(expectedMaxWait, f.Request.Deadline.Sub(now)/3))
	}
	until := now.Add(expectedPollInterval)
	if until.After(f.waitDeadline) {
		return false
	}
	r.emit(Wait{Ref: f.Ref, Until: until})
	return true
}

// chargeAttempt reports whether the retry budget allows another attempt of f and deducts
// that attempt. The first attempt and one that follows NotSent are not charged.
func (r *Router) chargeAttempt(f *flight) bool {
	return f.attempt == 0 || f.lastNotSent || r.budget.spend()
}

func (r *Router) forward(f *flight, to identifier.Instance) {
	f.attempt++
	f.sentAttempts++
	f.peer = to
	f.triedPeers = append(f.triedPeers, to)
	r.emit(Forward{Ref: f.Ref, Attempt: f.attempt, Instance: to})
}

func (r *Router) dispatch(now time.Time, f *flight, t *target) {
	r.table.addOwnInFlight(now, t, 1)
	f.attempt++
	f.sentAttempts++
	f.targetID = t.ID
	f.potentialLoss = loss{name: t.lossName(), fingerprint: f.Fingerprint}
	f.triedTargets = append(f.triedTargets, t.num)
	r.prefixes.add(f.Prefix, t.num)
	if f.Fingerprint != 0 {
		c := r.running[f.Fingerprint]
		r.running[f.Fingerprint] = copies{target: t.ID, count: c.count + 1}
	}
	r.emit(Dispatch{Ref: f.Ref, Attempt: f.attempt, Target: t.Target, ResumeFrom: f.delivered})
}

// advanceSuspect starts the second run of a suspected request on the target that every
// instance chooses for its fingerprint, provided that no other suspect runs there. Before
// it decides anything it waits until Config.SuspicionSettleTime has passed since the last
// loss, unless the deadline comes first. Every instance then knows of the loss before a
// refused caller retries elsewhere.
func (r *Router) advanceSuspect(now time.Time, f *flight, s *suspect) {
	if settled := s.lastLoss.Add(r.cfg.SuspicionSettleTime); now.Before(settled) && settled.Before(f.Request.Deadline) {
		r.emit(Wait{Ref: f.Ref, Until: settled})
		return
	}
	if s.isConfirmed() || !r.hasLocalLoss(s) {
		r.refuseSuspect(now, f, s)
		return
	}
	t, settled := r.chooseForSuspect(now, f, s)
	if !settled || s.running || (t == nil && f.mayHaveRun) || (t != nil && t.suspectRuns > 0) {
		if !r.waitUntil(now, f, now.Add(targetPollInterval)) {
			r.refuseSuspect(now, f, s)
		}
		return
	}
	if t == nil || !r.chargeAttempt(f) {
		r.giveUp(now, f)
		return
	}
	f.isSuspectRun, s.running = true, true
	t.suspectRuns++
	r.dispatch(now, f, t)
}

// hasLocalLoss reports whether a target in the local failure domain is among the losses of s.
// The second run of a suspect takes place only in a failure domain that has such a loss.
func (r *Router) hasLocalLoss(s *suspect) bool {
	for _, name := range s.lost {
		if r.table.seenIDs[lossTargetID(name)] {
			return true
		}
	}
	return false
}

// handleEnded processes the end of the running attempt of a request.
func (r *Router) handleEnded(now time.Time, e Ended) {
	f := r.requests[e.Ref]
	if f == nil || e.Attempt != f.attempt || !f.isRunning() {
		return
	}
	forwarded := f.peer != ""
	t := r.release(now, f)
	f.delivered, f.started, f.unresumable, f.lastNotSent = e.Delivered, e.Started, e.Unresumable, false
	switch end := e.Ending.(type) {
	case Completed:
		r.clearSuspicion(now, f.Fingerprint)
		r.finish(f, Answered{})
	case NotSent:
		f.sentAttempts--
		f.lastNotSent = true
		t.suspend(now)
		r.advance(now, f)
	case Refused:
		f.lastRefusal = end
		r.advance(now, f)
	case Broken:
		r.handleBroken(now, f, t, forwarded)
	case Failed:
		r.retry(now, f)
	case Mismatched:
		t.suspend(now)
		r.retry(now, f)
	case CallerGone:
		r.finish(f, callerGone)
	case Expired:
		f.mayHaveRun = true
		r.finish(f, f.expiredOutcome())
	}
}

// handleBroken processes the end of an attempt that may have crashed its target. A request
// with a fingerprint continues after Config.SuspicionSettleTime, so that every instance
// learns of the loss and this instance receives the suspicions of its peers.
func (r *Router) handleBroken(now time.Time, f *flight, t *target, forwarded bool) {
	f.mayHaveRun = true
	if !forwarded {
		t.suspend(now)
		r.recordLoss(now, f)
	}
	if f.Fingerprint == 0 {
		r.retry(now, f)
		return
	}
	r.emit(Wait{Ref: f.Ref, Until: now.Add(r.cfg.SuspicionSettleTime)})
}

// retry advances a request whose last attempt may have run.
func (r *Router) retry(now time.Time, f *flight) {
	f.mayHaveRun = true
	r.advance(now, f)
}

// release removes the running attempt from the counts of its target and returns the
// target. The target is nil if it was removed from the set or the attempt was forwarded.
func (r *Router) release(now time.Time, f *flight) *target {
	t := r.table.find(f.targetID)
	if t != nil {
		r.table.addOwnInFlight(now, t, -1)
	}
	if c := r.running[f.Fingerprint]; f.targetID != "" && f.Fingerprint != 0 {
		c.count--
		r.running[f.Fingerprint] = c
		if c.count <= 0 {
			delete(r.running, f.Fingerprint)
		}
	}
	if f.isSuspectRun {
		r.releaseSuspect(f, t)
	}
	f.targetID, f.peer = "", ""
	return t
}

func (r *Router) releaseSuspect(f *flight, t *target) {
	f.isSuspectRun = false
	if t != nil {
		t.suspectRuns = max(t.suspectRuns-1, 0)
	}
	if s := r.suspects.byFingerprint[f.Fingerprint]; s != nil {
		s.running = false
	}
}

func (r *Router) finish(f *flight, o Outcome) {
	delete(r.requests, f.Ref)
	r.emit(Finish{Ref: f.Ref, Outcome: o})
}
