package scheduler

import (
	"slices"
	"time"
)

// Bounds of a request's time.
const (
	minServe     = 20 * time.Millisecond // that must be left for a request to be sent at all
	patientShare = 3                     // a request waits at most this part of the time it has left
)

// flight is one request from its arrival to its outcome.
type flight struct {
	Request
	ref       Ref
	attempt   int
	target    *target // nil while it waits
	tried     []trial
	arrivals  int // attempts that may have reached a target
	runs      int // attempts that may have run
	started   bool
	sentAt    time.Time
	moved     bool      // the running attempt has shown a sign of life
	movedAt   time.Time // of its last one
	abandoned bool
	giveUpAt  time.Time // while it waits
	refused   int       // status of the last refusal before running
	failed    int       // status of the endpoint's own error, which the caller can be given
}

// trial is a target that had a request.
type trial struct {
	target *target
	again  time.Time // when it may have the request again; zero for never
}

// refusedFor is how long a target that refused a request before running is not asked again.
const refusedFor = 250 * time.Millisecond

// hasTried reports whether f must not go to t now.
func (f *flight) hasTried(now time.Time, t *target) bool {
	return slices.ContainsFunc(f.tried, func(o trial) bool {
		return o.target == t && (o.again.IsZero() || now.Before(o.again))
	})
}

func (p *Scheduler) arrived(now time.Time, e Arrived) {
	f := &flight{Request: e.Request, ref: e.Ref}
	p.flights[f.ref] = f
	p.budget.earn(f.Service)
	p.traffic(f.Pool).arrive(now)
	p.place(now, f)
}

// place sends f to a target, or lets it wait for one.
func (p *Scheduler) place(now time.Time, f *flight) {
	if f.Deadline.Sub(now) < minServe {
		p.giveUp(now, f, ReasonDeadline)
		return
	}
	t, load, reason := p.choose(now, f)
	if t == nil && f.failed != 0 && !f.started {
		p.giveUp(now, f, reason) // there is an answer to pass on
		return
	}
	if t == nil {
		p.wait(now, f, reason)
		return
	}
	if f.arrivals > 0 && !p.budget.spend(f.Service) {
		p.giveUp(now, f, ReasonRetryBudget)
		return
	}
	p.send(now, f, t, load)
}

func (p *Scheduler) send(now time.Time, f *flight, t *target, load float64) {
	p.dequeue(f)
	f.attempt++
	f.target, f.sentAt, f.moved, f.movedAt, f.abandoned = t, now, false, now, false
	f.giveUpAt = time.Time{}
	f.tried = append(f.tried, trial{target: t})
	t.flights[f.ref] = f
	if !t.stalledAt.IsZero() {
		t.tried = now
	}
	p.act(Send{Ref: f.ref, Attempt: f.attempt, Target: &t.Target, Load: load})
}

// wait lets f wait for a target until its patience ends.
func (p *Scheduler) wait(now time.Time, f *flight, reason Reason) {
	if f.giveUpAt.IsZero() {
		left := f.Deadline.Sub(now)
		f.giveUpAt = now.Add(min(p.cfg.MaxTargetWait, left/patientShare))
		if reason == ReasonFull && p.isVain(now, f) {
			p.giveUp(now, f, reason)
			return
		}
		p.enqueue(f)
		p.act(Wait{Ref: f.ref, Reason: reason, Until: f.giveUpAt})
		return
	}
	if !now.Before(f.giveUpAt) || reason == ReasonFull && p.isVain(now, f) {
		p.dequeue(f)
		p.giveUp(now, f, reason)
	}
}

// placeWaiting tries the requests that wait, the first one first.
func (p *Scheduler) placeWaiting(now time.Time) {
	for _, f := range slices.Clone(p.waiting) {
		p.place(now, f)
	}
}

func (p *Scheduler) progressed(now time.Time, e Progressed) {
	f := p.running(e.Ref, e.Attempt)
	if f == nil {
		return
	}
	t := f.target
	t.sawLoad(now, e.Load)
	if e.Event {
		if f.moved {
			t.sawGap(now, now.Sub(f.movedAt))
		} else {
			t.sawFirst(now, now.Sub(f.sentAt))
			p.answered(now, f)
		}
		f.moved, f.started = true, true
	}
	f.movedAt = now
	p.trust(now, t)
}

// answered counts the first event or whole answer of f.
func (p *Scheduler) answered(now time.Time, f *flight) {
	if !f.started {
		p.pressure.count(f, now.Sub(f.ArrivedAt) > f.LatencyGoal)
	}
}

// trust notes a sign of life of t.
func (p *Scheduler) trust(now time.Time, t *target) {
	t.progressAt = now
	t.streamsStalled = false
	if t.stalledAt.IsZero() {
		return
	}
	t.stalledAt = time.Time{}
	p.act(Recovered{Target: &t.Target})
}

// running returns the request whose attempt is under way, or nil.
func (p *Scheduler) running(ref Ref, attempt int) *flight {
	f := p.flights[ref]
	if f == nil || f.target == nil || f.attempt != attempt {
		return nil
	}
	return f
}

func (p *Scheduler) ended(now time.Time, e Ended) {
	f := p.running(e.Ref, e.Attempt)
	if f == nil {
		return
	}
	t := f.target
	delete(t.flights, f.ref)
	f.target = nil
	p.traffic(f.Pool).ends.count(now)
	t.sawLoad(now, e.Load)
	switch end := e.Ending.(type) {
	case Completed:
		t.consecutive = 0
		if !f.moved {
			t.sawFirst(now, now.Sub(f.sentAt))
			p.answered(now, f)
		}
		p.trust(now, t)
		p.finish(f, Delivered{})
	case NotSent:
		p.distrust(now, t)
		p.place(now, f)
	case Refused:
		f.arrivals++
		f.refused = end.Status
		f.tried[len(f.tried)-1].again = now.Add(refusedFor)
		if end.Misdirected {
			p.distrust(now, t)
		} else {
			p.trust(now, t)
		}
		p.place(now, f)
	case Failed:
		f.arrivals++
		f.runs++
		f.failed = end.Status
		p.trust(now, t)
		p.again(now, f, ReasonEndpointFail)
	case Broken:
		f.arrivals++
		f.runs++
		t.consecutive++
		p.again(now, f, ReasonAnswerLost)
	case Abandoned:
		f.arrivals++
		if f.mayHaveBegun(t) {
			f.runs++
		}
		p.again(now, f, ReasonAnswerLost)
	case Expired:
		f.arrivals++
		f.runs++
		p.giveUp(now, f, ReasonDeadline)
	}
}

// mayHaveBegun reports whether f may have begun to run at t. A stream begins with its
// first event, so that one has not begun at a target whose other streams have stood still
// since it was sent. One that hangs alone may have begun.
func (f *flight) mayHaveBegun(t *target) bool {
	return f.moved || !f.Stream || !t.streamsStalled || t.progressAt.After(f.sentAt)
}

// distrust leaves t alone for a while after a connection to it failed.
func (p *Scheduler) distrust(now time.Time, t *target) {
	t.consecutive++
	if t.stalledAt.IsZero() {
		t.stalledAt = now
		p.act(Stalled{Target: &t.Target, Silence: 0})
	}
}

// again makes another attempt of a request that may have run, if it may run once more.
func (p *Scheduler) again(now time.Time, f *flight, reason Reason) {
	switch {
	case !f.Repeatable:
		p.giveUp(now, f, reason)
	case f.runs >= max(f.MaxAttempts, 1):
		p.giveUp(now, f, ReasonAttempts)
	default:
		p.place(now, f)
	}
}

// giveUp ends f without a whole answer, with the strongest outcome that the evidence allows.
func (p *Scheduler) giveUp(now time.Time, f *flight, reason Reason) {
	switch {
	case f.failed != 0 && !f.started:
		p.finish(f, PassedThrough{Status: f.failed})
	case f.runs > 0 || f.started:
		p.pressure.count(f, true)
		p.finish(f, Unknown{Reason: reason})
	case f.refused != 0 && f.arrivals > 0:
		p.pressure.count(f, true)
		p.finish(f, NotRun{Reason: ReasonAllRefused, RetryAfter: p.comeBack(now, f)})
	case f.arrivals > 0:
		p.finish(f, Unknown{Reason: reason})
	default:
		p.pressure.count(f, true)
		p.finish(f, NotRun{Reason: reason, RetryAfter: p.comeBack(now, f)})
	}
}

func (p *Scheduler) finish(f *flight, o Outcome) {
	p.dequeue(f)
	delete(p.flights, f.ref)
	p.act(Finish{Ref: f.ref, Outcome: o})
}

// left ends a request whose caller hung up.
func (p *Scheduler) left(ref Ref) {
	f := p.flights[ref]
	if f == nil {
		return
	}
	if f.target != nil {
		delete(f.target.flights, ref)
		p.act(Abandon{Ref: ref, Attempt: f.attempt, Reason: ReasonCallerGone})
	}
	p.finish(f, CallerGone{})
}
