package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Process returns the process that receives the requests of t.
func (t *Target) Process() identifier.Process {
	return identifier.Process{Endpoint: t.ID, Start: t.ProcessStart}
}

// Bounds on what a process states about itself.
const (
	maxClosure          = time.Minute            // longest time for which one answer closes a process
	statementTTL        = 10 * time.Minute       // after which the statement of a process that is no target is forgotten
	statementCheckPause = time.Second            // between two checks for such statements, so that a change of one target does not cost a look at all of them
	closureJitter       = 0.1                    // largest fraction of a closure that is added to it, so that the instances return at different times
	returnSpacing       = 100 * time.Millisecond // time between two groups of callers that return after a closure
	reopenDelay         = 50 * time.Millisecond  // time from the end of a closure until a request that waits for it has been placed
)

// statement is what a process has said about itself in its answers. It outlives the target and
// holds for each target of the process.
type statement struct {
	leavingSince time.Time // zero if the process has not said that it leaves
	closedUntil  time.Time // end of the last closure; zero for none
	isReopening  bool      // no request that was sent after the closure has made progress
	trial        *attempt  // the only attempt that a reopening process gets; nil for none
	statedAt     time.Time
	limit        limit
}

// admits reports whether the process may get another request.
func (st *statement) admits(now time.Time) bool {
	if st == nil {
		return true
	}
	return st.leavingSince.IsZero() && !st.isClosed(now) && (!st.isReopening || st.trial == nil)
}

// isClosed reports whether the process has asked for no requests until a time after now.
func (st *statement) isClosed(now time.Time) bool { return st != nil && now.Before(st.closedUntil) }

// isLeaving reports whether the process has said that it leaves.
func (st *statement) isLeaving() bool { return st != nil && !st.leavingSince.IsZero() }

// statementOf returns the statement of a process, which is added if there is none.
func (s *Scheduler) statementOf(now time.Time, p identifier.Process) *statement {
	st := s.statements[p]
	if st == nil {
		st = &statement{}
		s.statements[p] = st
	}
	st.statedAt = now
	if t := s.targets[p.Endpoint]; t != nil && t.Process() == p {
		t.statement = st
	}
	return st
}

// handleStatement records what a process has said about itself in an answer. A shorter closure
// does not replace a longer one.
func (s *Scheduler) handleStatement(now time.Time, e ProcessStated) {
	st := s.statementOf(now, e.Process)
	if e.Leaving && st.leavingSince.IsZero() {
		st.leavingSince = now
		s.emit(LeavingStated{Process: e.Process})
	}
	s.handleLimit(now, st, e)
	s.handleColdAnswer(now, e.Process, e.ColdFor)
	if e.ClosedFor > 0 {
		s.close(now, st, min(e.ClosedFor, maxClosure))
	}
	if e.Leaving || e.ClosedFor > 0 {
		s.recordStated(now, e.Process)
	}
}

// recordStated records that p has said that it leaves or is closed, which also holds for the target of its
// endpoint.
func (s *Scheduler) recordStated(now time.Time, p identifier.Process) {
	if last, ok := s.lastStated[p.Endpoint]; ok && last.Start > p.Start {
		return
	}
	s.lastStated[p.Endpoint] = p
	if t := s.targets[p.Endpoint]; t != nil {
		s.inheritStatement(now, t)
	}
}

// inheritStatement applies to t what a process of its endpoint that started later than the list says has
// stated about leaving and closures. Another writer may have changed the start in the endpoint's
// entry, or left it out, while the process goes on.
func (s *Scheduler) inheritStatement(now time.Time, t *target) {
	last, ok := s.lastStated[t.ID]
	if !ok || last.Start <= t.ProcessStart {
		return
	}
	from, to := s.statements[last], s.statementOf(now, t.Process())
	if to.leavingSince.IsZero() {
		to.leavingSince = from.leavingSince
	}
	if from.closedUntil.After(to.closedUntil) {
		to.closedUntil, to.isReopening, to.trial = from.closedUntil, from.isReopening, nil
	}
}

// close closes the process of st for d and up to a tenth of d more.
func (s *Scheduler) close(now time.Time, st *statement, d time.Duration) {
	if s.random != nil {
		d += time.Duration(closureJitter * s.random.Float64() * float64(d))
	}
	until := now.Add(d)
	if until.Before(st.closedUntil) {
		return
	}
	st.closedUntil, st.isReopening, st.trial = until, true, nil
}

// isTrial reports whether a is the only attempt that its reopening process gets.
func (a *attempt) isTrial() bool {
	return a.target != nil && a.target.statement != nil && a.target.statement.trial == a
}

// reopen ends the reopening of a process whose trial attempt has made progress.
func (st *statement) reopen() { st.isReopening, st.trial = false, nil }

// forgetStatements removes the statements of processes that are no targets any more.
func (s *Scheduler) forgetStatements(now time.Time) {
	if now.Sub(s.statementsCheckedAt) < statementCheckPause {
		return
	}
	s.statementsCheckedAt = now
	s.forgetStarts(now)
	for p, st := range s.statements {
		if t := s.targets[p.Endpoint]; t != nil && t.statement == st {
			st.statedAt = now
			continue
		}
		if now.Sub(st.statedAt) >= statementTTL {
			delete(s.statements, p)
			if s.lastStated[p.Endpoint] == p {
				delete(s.lastStated, p.Endpoint)
			}
			if st.limit.perSecond > 0 {
				s.emit(LimitChanged{Process: p})
			}
		}
	}
}

// reopensAt returns the earliest end of the closures of p's targets, or false if a target is
// neither closed nor leaving nor evacuated, or none is closed.
func (p *pool) reopensAt(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, t := range p.targets {
		switch {
		case t.Evacuated || t.statement.isLeaving():
		case !t.statement.isClosed(now):
			return time.Time{}, false
		case earliest.IsZero() || t.statement.closedUntil.Before(earliest):
			earliest = t.statement.closedUntil
		}
	}
	return earliest, !earliest.IsZero()
}

// slotsReopeningBy returns the slots of p's closed targets whose closures end by a time.
func (p *pool) slotsReopeningBy(at time.Time) int {
	slots := 0
	for _, t := range p.targets {
		if !t.Evacuated && !t.statement.isLeaving() && !t.statement.closedUntil.After(at) {
			slots += t.Slots
		}
	}
	return slots
}

// closedRetryAfter returns the time after which the refused caller of a request of p should retry if all
// targets of p are closed. The callers that are refused meanwhile return one after the other, as
// many in each returnSpacing as the earliest targets have slots.
func (p *pool) closedRetryAfter(now time.Time, o outlook) time.Duration {
	if !p.refusalsUntil.Equal(o.reopensAt) {
		p.refusals, p.refusalsUntil = 0, o.reopensAt
	}
	round := p.refusals / max(o.reopeningSlots, 1)
	p.refusals++
	return max(o.reopensAt.Sub(now), 0) + reopenDelay + time.Duration(round)*returnSpacing
}
