package scheduler

import (
	"slices"
	"time"
)

// attempt is a running attempt of a request.
type attempt struct {
	flight         *flight
	number         int     // from 1
	target         *target // nil for an attempt through a peer
	peer           *peer   // nil for an attempt at a target
	sentAt         time.Time
	hasEvent       bool      // an event of the attempt has been received
	lastProgressAt time.Time // time of the last progress of the attempt, or of its start
	hedges         Reason    // why the attempt was started beside another attempt; empty if it was not
	load           float64   // of the target when the attempt was sent
	tokensAhead    int       // prompt tokens that the target had to read before its first event, as far as this instance knows
	isPending      bool      // it counts in the backlog of its target
}

// mayHaveRun reports whether a may have begun to run at its target. A stream begins with its
// first event. A stream without an event has therefore not begun if the running streams at
// the target have made no progress since it was sent. If the target had no running stream when
// it stalled, a stream without an event may have begun. No request begins before its prompt is prefilled.
func (a *attempt) mayHaveRun(now time.Time) bool {
	if a.peer == nil && !a.hasEvent && now.Sub(a.sentAt)+abandonDelay < a.flight.MinRunDelay {
		return false
	}
	return a.peer != nil || a.hasEvent || !a.flight.Stream || !a.target.streamsStalled || a.target.lastProgressAt.After(a.sentAt)
}

// destination is where an attempt goes: to a target, or through a peer. The zero value is none.
type destination struct {
	target *target
	load   float64 // of the target, as a fraction of its slots
	peer   *peer
}

func (d destination) isNone() bool { return d.target == nil && d.peer == nil }

// start starts an attempt of f. If hedges is not empty, it is the reason why the attempt is started
// although another attempt of f runs.
func (s *Scheduler) start(now time.Time, f *flight, d destination, hedges Reason) {
	s.dequeue(f)
	f.attempts++
	f.giveUpAt = time.Time{}
	s.release(f)
	a := &attempt{flight: f, number: f.attempts, target: d.target, peer: d.peer, sentAt: now, lastProgressAt: now, hedges: hedges}
	f.running = append(f.running, a)
	if d.peer != nil {
		d.peer.running++
		s.emit(Send{Ref: f.ref, Attempt: a.number, Peer: d.peer.Name, Hedges: hedges})
		return
	}
	t := d.target
	f.tried = append(f.tried, triedTarget{target: t, attempt: a.number})
	t.attempts[f.ref] = a
	a.enterBacklog(d.load)
	if !t.stalledAt.IsZero() {
		t.lastTrialAt = now
	}
	if t.statement != nil && t.statement.isReopening {
		t.statement.trial = a
	}
	if t.statement != nil && t.statement.limit.isActive(now) {
		t.statement.limit.take(now)
	}
	s.emit(Send{Ref: f.ref, Attempt: a.number, Target: t.Target, Load: d.load, Hedges: hedges})
}

// drop removes a from the running attempts of its request and of its target or peer.
func (s *Scheduler) drop(a *attempt) {
	if a.peer != nil {
		a.peer.running--
	} else {
		delete(a.target.attempts, a.flight.ref)
		a.leaveBacklog()
		if st := a.target.statement; st != nil && st.trial == a {
			st.trial = nil
		}
	}
	a.flight.running = slices.DeleteFunc(a.flight.running, func(o *attempt) bool { return o == a })
}

// abandon ends a, whose request goes on with another attempt.
func (s *Scheduler) abandon(now time.Time, a *attempt, reason Reason) {
	f := a.flight
	f.sentAttempts++
	f.hasAbandoned = true
	if a.mayHaveRun(now) {
		f.recordRun(a)
	}
	s.cancel(a, reason)
}

// cancel ends a, whose request goes on with another attempt or has ended.
func (s *Scheduler) cancel(a *attempt, reason Reason) {
	s.drop(a)
	s.emit(Abandon{Ref: a.flight.ref, Attempt: a.number, Reason: reason})
}

// findRunning returns the attempt of the request ref with this number if it runs, or nil.
func (s *Scheduler) findRunning(ref Ref, number int) *attempt {
	f := s.flights[ref]
	if f == nil {
		return nil
	}
	i := slices.IndexFunc(f.running, func(a *attempt) bool { return a.number == number })
	if i < 0 {
		return nil
	}
	return f.running[i]
}
