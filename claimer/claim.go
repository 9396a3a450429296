package claimer

import "time"

// stored goes on after a write for cl took effect.
func (c *Core) stored(now time.Time, cl *claim, revision uint64) []Action {
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

// grant lets the call of cl be dispatched, unless its time for that has passed.
func (c *Core) grant(now time.Time, cl *claim) []Action {
	if cl.left || !now.Before(cl.sendBefore) {
		cl.result = NotRun{}
		return append(decide(cl.call, Unavailable{RetryAfter: c.limits.RetryAfter}), c.store(cl)...)
	}
	cl.phase = phaseGranted
	return decide(cl.call, Granted{Token: cl.record.Token, SendBefore: cl.sendBefore})
}

// giveUp refuses the call of cl, which was not dispatched. A claim that may stand is removed
// later; meanwhile another call of this instance may ask for the key, as at any other instance.
func (c *Core) giveUp(cl *claim) []Action {
	acts := decide(cl.call, Unavailable{RetryAfter: c.limits.RetryAfter})
	if !cl.mayExist {
		c.forget(cl)
		return acts
	}
	c.release(cl)
	cl.result = NotRun{}
	cl.phase = phaseBacklog
	return acts
}

// refused goes on after a write for cl met another revision.
func (c *Core) refused(cl *claim) []Action {
	cl.attempts++
	if cl.phase == phaseStore {
		return c.review(cl)
	}
	if cl.attempts >= c.limits.Attempts {
		return c.giveUp(cl)
	}
	return c.inspect(cl)
}

// failed goes on after an action for cl failed.
func (c *Core) failed(cl *claim, mayApply bool) []Action {
	switch cl.phase {
	case phaseCreate:
		if !mayApply {
			return c.giveUp(cl)
		}
		cl.mayExist = true
		return c.inspect(cl)
	case phaseInspect, phaseClose:
		return c.giveUp(cl)
	case phaseStore, phaseReview:
		cl.phase = phaseBacklog
		return []Action{Finish{Token: cl.record.Token, Err: &UnsettledError{Token: cl.record.Token}}}
	}
	return nil
}

// found goes on with the claim that stands under the key of cl.
func (c *Core) found(now time.Time, cl *claim, r Record, revision uint64) []Action {
	switch cl.phase {
	case phaseInspect:
		return c.inspected(now, cl, r, revision)
	case phaseReview:
		return c.reviewed(cl, r, revision)
	}
	return nil
}

// inspected decides the call of cl by the claim that stands.
func (c *Core) inspected(now time.Time, cl *claim, r Record, revision uint64) []Action {
	if r.Token == cl.record.Token {
		return c.inspectedOwn(now, cl, r, revision)
	}
	c.release(cl)
	closesAt := r.ClosesAt.Add(c.limits.ClockSkew)
	switch {
	case r.Digest != cl.record.Digest:
		return c.decideOther(cl, Mismatch{})
	case r.Result != nil:
		return c.decideOther(cl, Replay{Result: r.Result})
	case now.Before(closesAt):
		return c.decideOther(cl, Open{RetryAfter: min(closesAt.Sub(now), c.limits.RetryAfter)})
	}
	cl.phase = phaseClose
	cl.other = r
	cl.other.Result = Unknown{}
	return []Action{SwapClaim{Token: cl.record.Token, Path: cl.key.path(), Revision: revision, Record: cl.other}}
}

// inspectedOwn decides the call of cl after its own claim was found standing. One that
// was closed meanwhile is not removed: it is made to say that the call did not run.
func (c *Core) inspectedOwn(now time.Time, cl *claim, r Record, revision uint64) []Action {
	cl.mayExist = true
	cl.revision = revision
	if r.Result == nil {
		return c.grant(now, cl)
	}
	return c.giveUp(cl)
}

// decideOther gives the call of cl a decision that another claim leads to.
func (c *Core) decideOther(cl *claim, d Decision) []Action {
	c.forget(cl)
	return decide(cl.call, d)
}

// absent goes on after there was no claim under the key of cl.
func (c *Core) absent(now time.Time, cl *claim) []Action {
	switch cl.phase {
	case phaseInspect:
		cl.attempts++
		if cl.attempts >= c.limits.Attempts {
			return c.giveUp(cl)
		}
		return c.create(cl)
	case phaseReview:
		return c.reviewedAbsent(now, cl)
	}
	return nil
}
