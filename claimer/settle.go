package claimer

import (
	"fmt"
	"time"
)

// UnsettledError reports that a result could not be stored yet. Ticks retry the write until
// Limits.AbandonAfter has passed since the claim's closing time.
type UnsettledError struct{ Token Token }

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("claimer: the result of claim %s is not stored yet", e.Token)
}

// GivenUpError reports that a result, or the removal of a claim, was not stored in time and is not
// retried any more. The claim ends like that of a dead claimant.
type GivenUpError struct{ Token Token }

func (e *GivenUpError) Error() string {
	return fmt.Sprintf("claimer: gave up storing the result of claim %s", e.Token)
}

// TokenError reports that a token does not belong to an open claim of this instance.
type TokenError struct{ Token Token }

func (e *TokenError) Error() string {
	return fmt.Sprintf("claimer: no open claim %s", e.Token)
}

// handleSettled stores the result of a granted call.
func (c *Core) handleSettled(e Settled) []Action {
	cl, ok := c.claims[e.Token]
	if !ok || cl.phase != phaseGranted {
		return []Action{Finish{Token: e.Token, Err: &TokenError{Token: e.Token}}}
	}
	cl.attempts = 0
	cl.result = c.limitBody(e.Result)
	return c.storeResult(cl)
}

// limitBody returns r, without its body if the body exceeds Limits.MaxBodySize.
func (c *Core) limitBody(r Result) Result {
	a, ok := r.(Answered)
	if !ok || len(a.Body) <= c.limits.MaxBodySize {
		return r
	}
	a.Body, a.Truncated = nil, true
	return a
}

// storeResult writes the result of cl over the open claim, or removes the claim if the call did not run.
func (c *Core) storeResult(cl *claim) []Action {
	cl.phase = phaseStore
	if _, ok := cl.result.(NotRun); ok {
		return []Action{RemoveClaim{Token: cl.record.Token, Path: cl.key.path(), Revision: cl.revision}}
	}
	return c.overwriteClaim(cl)
}

// overwriteClaim writes the result of cl over the claim if the claim is still at its last known revision.
func (c *Core) overwriteClaim(cl *claim) []Action {
	cl.phase = phaseStore
	cl.record.Result = cl.result
	return []Action{SwapClaim{Token: cl.record.Token, Path: cl.key.path(), Revision: cl.revision, Record: cl.record}}
}

// reread reads the stored claim before the result of cl is written again.
func (c *Core) reread(cl *claim) []Action {
	if cl.attempts >= c.limits.MaxAttempts {
		return c.handleFailure(cl, true)
	}
	cl.phase = phaseReread
	return []Action{ReadClaim{Token: cl.record.Token, Path: cl.key.path()}}
}

// handleReread writes the result of cl over the stored claim r if r is the claimant's own claim and
// is open, or holds Unknown while the result is known. A closed claim is never removed.
func (c *Core) handleReread(cl *claim, r Record, revision uint64) []Action {
	if r.Token != cl.record.Token {
		return c.finish(cl)
	}
	cl.revision = revision
	switch r.Result.(type) {
	case nil:
		return c.storeResult(cl)
	case Unknown:
		if _, ok := cl.result.(Unknown); ok {
			return c.finish(cl)
		}
		return c.overwriteClaim(cl)
	}
	return c.finish(cl)
}

// handleRereadAbsent handles a missing claim when the result of cl is to be written. If the write of
// the claim may still take effect, the claim is read again at each tick until its send limit.
func (c *Core) handleRereadAbsent(now time.Time, cl *claim) []Action {
	if cl.mayExist && now.Before(cl.sendBefore) {
		cl.phase = phaseBacklog
		return nil
	}
	return c.finish(cl)
}

// finish forgets cl, whose result is stored or has no claim to be stored in.
func (c *Core) finish(cl *claim) []Action {
	c.forget(cl)
	return []Action{Finish{Token: cl.record.Token}}
}

// handleTick retries the results that have waited longest to be stored, and forgets claims for which
// Limits.AbandonAfter has passed.
func (c *Core) handleTick(now time.Time) []Action {
	var acts []Action
	var remaining, retried []Token
	for _, token := range c.order {
		cl, ok := c.claims[token]
		if !ok {
			continue
		}
		if cl.phase >= phaseGranted && now.After(cl.record.ClosesAt.Add(c.limits.AbandonAfter)) {
			c.forget(cl)
			acts = append(acts, Finish{Token: token, Err: &GivenUpError{Token: token}})
			continue
		}
		if cl.phase != phaseBacklog || len(retried) == c.limits.RetriesPerTick {
			remaining = append(remaining, token)
			continue
		}
		retried = append(retried, token)
		cl.attempts = 0
		acts = append(acts, c.reread(cl)...)
	}
	c.order = append(remaining, retried...)
	return acts
}
