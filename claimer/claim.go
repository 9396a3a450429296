package claimer

import "time"

// handleStored handles a write for cl that took effect.
func (c *Core) handleStored(now time.Time, cl *claim, revision uint64) []Action {
	switch cl.phase {
	case phaseCreate:
		cl.revision = revision
		return c.grant(now, cl)
	case phaseClose:
		c.forget(cl)
		return decide(cl.call, Replay{Result: Unknown{}})
	case phaseStore:
		c.forget(cl)
		return []Action{Finish{Token: cl.record.Token}}
	}
	return nil
}

// grant allows the call of cl to be dispatched. If the caller has left or the call may no longer be
// sent, grant rejects the call and removes the claim.
func (c *Core) grant(now time.Time, cl *claim) []Action {
	if cl.callerLeft || !now.Before(cl.sendBefore) {
		cl.result = NotRun{}
		return append(decide(cl.call, Unavailable{RetryAfter: c.limits.MaxRetryAfter}), c.storeResult(cl)...)
	}
	cl.phase = phaseGranted
	return decide(cl.call, Granted{Token: cl.record.Token, SendBefore: cl.sendBefore})
}

// rejectCall rejects the call of cl, which was not dispatched. If its claim may exist, a later tick
// removes the claim. Until then, other calls of this instance may try to claim the key, as calls of
// other instances may.
func (c *Core) rejectCall(cl *claim) []Action {
	acts := decide(cl.call, Unavailable{RetryAfter: c.limits.MaxRetryAfter})
	if !cl.mayExist {
		c.forget(cl)
		return acts
	}
	c.release(cl)
	cl.result = NotRun{}
	cl.phase = phaseBacklog
	return acts
}

// handleConflict handles a write for cl that found another revision.
func (c *Core) handleConflict(cl *claim) []Action {
	cl.attempts++
	if cl.phase == phaseStore {
		return c.reread(cl)
	}
	if cl.attempts >= c.limits.MaxAttempts {
		return c.rejectCall(cl)
	}
	return c.inspect(cl)
}

// handleFailure handles a failed action for cl.
func (c *Core) handleFailure(cl *claim, mayApply bool) []Action {
	switch cl.phase {
	case phaseCreate:
		if !mayApply {
			return c.rejectCall(cl)
		}
		cl.mayExist = true
		return c.inspect(cl)
	case phaseInspect, phaseClose:
		return c.rejectCall(cl)
	case phaseStore, phaseReread:
		cl.phase = phaseBacklog
		return []Action{Finish{Token: cl.record.Token, Err: &UnsettledError{Token: cl.record.Token}}}
	}
	return nil
}

// handleFound handles the stored claim that a read for cl returned.
func (c *Core) handleFound(now time.Time, cl *claim, r Record, revision uint64) []Action {
	switch cl.phase {
	case phaseInspect:
		return c.decideByRecord(now, cl, r, revision)
	case phaseReread:
		return c.handleReread(cl, r, revision)
	}
	return nil
}

// decideByRecord decides the call of cl by the stored claim r, or closes r if its claimant is
// presumed dead.
func (c *Core) decideByRecord(now time.Time, cl *claim, r Record, revision uint64) []Action {
	if r.Token == cl.record.Token {
		return c.decideByOwnRecord(now, cl, r, revision)
	}
	c.release(cl)
	closesAt := r.ClosesAt.Add(c.limits.ClockSkew)
	switch {
	case r.Digest != cl.record.Digest:
		return c.decideAndForget(cl, Mismatch{})
	case r.Result != nil:
		return c.decideAndForget(cl, Replay{Result: r.Result})
	case now.Before(closesAt):
		return c.decideAndForget(cl, Open{RetryAfter: min(closesAt.Sub(now), c.limits.MaxRetryAfter)})
	}
	cl.phase = phaseClose
	cl.closedRecord = r
	cl.closedRecord.Result = Unknown{}
	return []Action{SwapClaim{Token: cl.record.Token, Path: cl.key.path(), Revision: revision, Record: cl.closedRecord}}
}

// decideByOwnRecord decides the call of cl after a read returned its own claim. If the claim was
// closed in the meantime, it is not removed; a later tick replaces its result with NotRun.
func (c *Core) decideByOwnRecord(now time.Time, cl *claim, r Record, revision uint64) []Action {
	cl.mayExist = true
	cl.revision = revision
	if r.Result == nil {
		return c.grant(now, cl)
	}
	return c.rejectCall(cl)
}

// decideAndForget decides the call of cl by another claimant's claim, and forgets cl.
func (c *Core) decideAndForget(cl *claim, d Decision) []Action {
	c.forget(cl)
	return decide(cl.call, d)
}

// handleAbsent handles a read for cl that found no claim.
func (c *Core) handleAbsent(now time.Time, cl *claim) []Action {
	switch cl.phase {
	case phaseInspect:
		cl.attempts++
		if cl.attempts >= c.limits.MaxAttempts {
			return c.rejectCall(cl)
		}
		return c.create(cl)
	case phaseReread:
		return c.handleRereadAbsent(now, cl)
	}
	return nil
}
