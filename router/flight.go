package router

import (
	"time"

	"amaranthmill/internal/identifier"
)

// targetPoll is how often a request that waits looks for a target.
const targetPoll = 250 * time.Millisecond

// flight is one request between its Arrived event and its Finish action.
type flight struct {
	Arrived
	attempt      int
	loaded       int                 // attempts that may have put load on an endpoint
	target       string              // of the running attempt; empty for none
	instance     identifier.Instance // that the running attempt was forwarded to; empty for none
	loss         loss                // what a crash of the running attempt's target loses
	suspected    bool                // the running attempt is the second run of a suspect
	tried        []uint32            // numbers of the targets that earlier attempts used
	triedPeers   []identifier.Instance
	mayHaveRun   bool
	unloaded     bool // the last attempt put no load on an endpoint
	delivered    int
	started      bool
	fixed        bool
	patientUntil time.Time // of a request that waits for a target; zero before
	refusal      Refused   // the last refusal of an endpoint
}

// runs reports whether an attempt of f is under way.
func (f *flight) runs() bool { return f.target != "" || f.instance != "" }

func (r *Router) arrived(now time.Time, e Arrived) {
	f := &flight{Arrived: e}
	r.requests[e.Ref] = f
	r.budget.earn()
	r.next(now, f)
}

// next starts the next attempt of f, waits or finishes it.
func (r *Router) next(now time.Time, f *flight) {
	mayNotRepeat := f.mayHaveRun && (f.Request.Kind == KindNonIdempotent || f.fixed)
	if mayNotRepeat || f.loaded >= r.cfg.MaxAttempts || !now.Before(f.Request.Deadline) {
		r.giveUp(now, f)
		return
	}
	if s := r.suspects.find(now, f.Fingerprint); s != nil {
		r.nextOfSuspect(now, f, s)
		return
	}
	t := r.choose(now, f)
	if f.delivered == 0 && (t == nil || t.own+int(t.others) >= t.Capacity) {
		if to := r.chooseRemote(f, t != nil); to != "" && r.affordable(f) {
			r.forward(f, to)
			return
		}
	}
	if t == nil && f.mayHaveRun && r.await(now, f, now.Add(targetPoll)) {
		return
	}
	if t == nil || !r.affordable(f) {
		r.giveUp(now, f)
		return
	}
	r.dispatch(now, f, t)
}

// await makes f wait until the given time, or reports false if its patience or deadline ends
// before. A request that was begun waits for a target to come back rather than end
// without its whole answer; one that was not is refused at once.
func (r *Router) await(now time.Time, f *flight, until time.Time) bool {
	if f.patientUntil.IsZero() {
		f.patientUntil = now.Add(r.cfg.MaxTargetWait)
	}
	if until.After(f.patientUntil) || !until.Before(f.Request.Deadline) {
		return false
	}
	r.act(Wait{Ref: f.Ref, Until: until})
	return true
}

// affordable reports whether the retry budget allows another attempt of f, and counts it.
func (r *Router) affordable(f *flight) bool {
	return f.attempt == 0 || f.unloaded || r.budget.spend()
}

func (r *Router) forward(f *flight, to identifier.Instance) {
	f.attempt++
	f.loaded++
	f.instance = to
	f.triedPeers = append(f.triedPeers, to)
	r.act(Forward{Ref: f.Ref, Attempt: f.attempt, Instance: to})
}

func (r *Router) dispatch(now time.Time, f *flight, t *target) {
	r.table.addOwn(now, t, 1)
	f.attempt++
	f.loaded++
	f.target = t.ID
	f.loss = loss{name: t.lossName(), fingerprint: f.Fingerprint}
	f.tried = append(f.tried, t.num)
	r.prefixes.add(f.Prefix, t.num)
	if f.Fingerprint != 0 {
		c := r.running[f.Fingerprint]
		r.running[f.Fingerprint] = copies{target: t.ID, count: c.count + 1}
	}
	r.act(Dispatch{Ref: f.Ref, Attempt: f.attempt, Target: t.Target, ResumeFrom: f.delivered})
}

// nextOfSuspect gives a suspected request its second run on the target that every
// instance chooses for it, with no other suspect there. Nothing is decided, and no caller is told
// to come back at another instance, before every instance had time to learn of the loss.
func (r *Router) nextOfSuspect(now time.Time, f *flight, s *suspect) {
	if settled := s.lastLoss.Add(r.cfg.SuspicionSettleTime); now.Before(settled) && settled.Before(f.Request.Deadline) {
		r.act(Wait{Ref: f.Ref, Until: settled})
		return
	}
	if s.isConvicted() || !r.isOwnLoss(s) {
		r.refuseSuspect(now, f, s)
		return
	}
	t, settled := r.chooseForSuspect(now, f, s)
	if !settled || s.running || (t == nil && f.mayHaveRun) || (t != nil && t.suspectRuns > 0) {
		if !r.await(now, f, now.Add(targetPoll)) {
			r.refuseSuspect(now, f, s)
		}
		return
	}
	if t == nil || !r.affordable(f) {
		r.giveUp(now, f)
		return
	}
	f.suspected, s.running = true, true
	t.suspectRuns++
	r.dispatch(now, f, t)
}

// isOwnLoss reports whether a target of the own failure domain is among the losses of s.
// A suspect is run a second time only where it was lost first.
func (r *Router) isOwnLoss(s *suspect) bool {
	for _, name := range s.lost {
		if r.table.seen[targetOfLoss(name)] {
			return true
		}
	}
	return false
}

// ended settles the running attempt of a request.
func (r *Router) ended(now time.Time, e Ended) {
	f := r.requests[e.Ref]
	if f == nil || e.Attempt != f.attempt || !f.runs() {
		return
	}
	forwarded := f.instance != ""
	t := r.release(now, f)
	f.delivered, f.started, f.fixed, f.unloaded = e.Delivered, e.Started, e.Unresumable, false
	switch end := e.Ending.(type) {
	case Completed:
		r.exonerate(now, f.Fingerprint)
		r.finish(f, Answered{})
	case NotSent:
		f.loaded--
		f.unloaded = true
		t.suspend(now)
		r.next(now, f)
	case Refused:
		f.refusal = end
		r.next(now, f)
	case Broken:
		r.broken(now, f, t, forwarded)
	case Failed:
		r.retry(now, f)
	case Mismatched:
		t.suspend(now)
		r.retry(now, f)
	case CallerGone:
		r.finish(f, callerGone)
	case Expired:
		f.mayHaveRun = true
		r.finish(f, f.expired())
	}
}

// broken settles an attempt that may have taken its target down. The request goes on
// when every instance had time to learn of that, and this one to learn what a peer knows.
func (r *Router) broken(now time.Time, f *flight, t *target, forwarded bool) {
	f.mayHaveRun = true
	if !forwarded {
		t.suspend(now)
		r.blame(now, f)
	}
	if f.Fingerprint == 0 {
		r.retry(now, f)
		return
	}
	r.act(Wait{Ref: f.Ref, Until: now.Add(r.cfg.SuspicionSettleTime)})
}

// retry makes another attempt of a request that may have run.
func (r *Router) retry(now time.Time, f *flight) {
	f.mayHaveRun = true
	r.next(now, f)
}

// release takes the running attempt off its target and returns the target, which is
// nil if it left the set or the attempt was forwarded.
func (r *Router) release(now time.Time, f *flight) *target {
	t := r.table.find(f.target)
	if t != nil {
		r.table.addOwn(now, t, -1)
	}
	if c := r.running[f.Fingerprint]; f.target != "" && f.Fingerprint != 0 {
		c.count--
		r.running[f.Fingerprint] = c
		if c.count <= 0 {
			delete(r.running, f.Fingerprint)
		}
	}
	if f.suspected {
		r.releaseSuspect(f, t)
	}
	f.target, f.instance = "", ""
	return t
}

func (r *Router) releaseSuspect(f *flight, t *target) {
	f.suspected = false
	if t != nil {
		t.suspectRuns = max(t.suspectRuns-1, 0)
	}
	if s := r.suspects.byFP[f.Fingerprint]; s != nil {
		s.running = false
	}
}

func (r *Router) finish(f *flight, o Outcome) {
	delete(r.requests, f.Ref)
	r.act(Finish{Ref: f.Ref, Outcome: o})
}
