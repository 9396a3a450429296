package claimer

import (
	"fmt"
	"time"
)

// UnsettledError says that a result could not be stored yet. It is tried anew at each tick
// until Limits.ForgetAfter has passed.
type UnsettledError struct{ Token Token }

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("claimer: the result of claim %s is not stored yet", e.Token)
}

// GivenUpError says that a result, or the removal of a claim, was not stored in time and
// is not tried any more. The claim ends as that of a dead claimant.
type GivenUpError struct{ Token Token }

func (e *GivenUpError) Error() string {
	return fmt.Sprintf("claimer: the result of claim %s is given up", e.Token)
}

// TokenError says that a token is not of an open claim of this instance.
type TokenError struct{ Token Token }

func (e *TokenError) Error() string {
	return fmt.Sprintf("claimer: no open claim %s", e.Token)
}

// settle stores the result of a granted call.
func (c *Core) settle(e Settled) []Action {
	cl, ok := c.claims[e.Token]
	if !ok || cl.phase != phaseGranted {
		return []Action{Finish{Token: e.Token, Err: &TokenError{Token: e.Token}}}
	}
	cl.attempts = 0
	cl.result = c.kept(e.Result)
	return c.store(cl)
}

// kept returns r as far as it is kept.
func (c *Core) kept(r Result) Result {
	a, ok := r.(Answered)
	if !ok || len(a.Body) <= c.limits.BodyLimit {
		return r
	}
	a.Body, a.Truncated = nil, true
	return a
}

// store writes the result of cl over the open claim. A call that did not run leaves none.
func (c *Core) store(cl *claim) []Action {
	cl.phase = phaseStore
	if _, ok := cl.result.(NotRun); ok {
		return []Action{RemoveClaim{Token: cl.record.Token, Path: cl.key.path(), Revision: cl.revision}}
	}
	return c.storeOver(cl)
}

// storeOver writes the result of cl over the claim at its revision.
func (c *Core) storeOver(cl *claim) []Action {
	cl.phase = phaseStore
	cl.record.Result = cl.result
	return []Action{SwapClaim{Token: cl.record.Token, Path: cl.key.path(), Revision: cl.revision, Record: cl.record}}
}

// review reads the claim before the result of cl is written anew.
func (c *Core) review(cl *claim) []Action {
	if cl.attempts >= c.limits.Attempts {
		return c.failed(cl, true)
	}
	cl.phase = phaseReview
	return []Action{ReadClaim{Token: cl.record.Token, Path: cl.key.path()}}
}

// reviewed writes the result of cl over the claim as it stands, if it is the claimant's
// own and says less. A closed claim is never removed.
func (c *Core) reviewed(cl *claim, r Record, revision uint64) []Action {
	if r.Token != cl.record.Token {
		return c.finish(cl)
	}
	cl.revision = revision
	switch r.Result.(type) {
	case nil:
		return c.store(cl)
	case Unknown:
		if _, ok := cl.result.(Unknown); ok {
			return c.finish(cl)
		}
		return c.storeOver(cl)
	}
	return c.finish(cl)
}

// reviewedAbsent goes on after there was no claim to write the result of cl over. A
// claim whose write may still appear is looked for again until its send limit.
func (c *Core) reviewedAbsent(now time.Time, cl *claim) []Action {
	if cl.mayExist && now.Before(cl.sendBefore) {
		cl.phase = phaseBacklog
		return nil
	}
	return c.finish(cl)
}

// finish forgets cl, whose result stands or has no claim to stand in.
func (c *Core) finish(cl *claim) []Action {
	c.forget(cl)
	return []Action{Finish{Token: cl.record.Token}}
}

// tick tries the results that wait longest to be stored, and forgets claims whose time has passed.
func (c *Core) tick(now time.Time) []Action {
	var acts []Action
	var kept, tried []Token
	for _, token := range c.order {
		cl, ok := c.claims[token]
		if !ok {
			continue
		}
		if cl.phase >= phaseGranted && now.After(cl.record.ClosesAt.Add(c.limits.ForgetAfter)) {
			c.forget(cl)
			acts = append(acts, Finish{Token: token, Err: &GivenUpError{Token: token}})
			continue
		}
		if cl.phase != phaseBacklog || len(tried) == c.limits.Backlog {
			kept = append(kept, token)
			continue
		}
		tried = append(tried, token)
		cl.attempts = 0
		acts = append(acts, c.review(cl)...)
	}
	c.order = append(kept, tried...)
	return acts
}
