package claimer

import (
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// phase says what a claim of this instance waits for.
type phase uint8

const (
	phaseLease    phase = iota // a lease for the new claim
	phaseCreate                // the claim's write
	phaseInspect               // the claim that stands in the way, or its own after a lost answer
	phaseClose                 // the write that closes a dead claimant's claim
	phaseGranted               // the dispatch of the call
	phaseStore                 // the write of the result
	phaseReview                // the claim as it stands, after a write of the result failed
	phaseBacklog               // the next tick, to try the write of the result anew
	phaseFinished              // nothing; it is to be forgotten
)

// claim is one call's claim, from its arrival until its result is stored.
type claim struct {
	call       Call
	key        Key
	record     Record // as this instance wants or last saw it
	revision   uint64 // of the stored claim; zero if not known
	phase      phase
	sendBefore time.Time
	mayExist   bool // a write with this token may stand or appear
	left       bool // the caller has gone
	attempts   int
	result     Result // to be stored; nil while the call runs
	other      Record // the claim that stands in the way
}

// Core decides for one instance who may dispatch. It is deterministic and not safe for concurrent use.
type Core struct {
	limits   Limits
	instance identifier.Instance
	claims   map[Token]*claim
	holders  map[Key]Token // the claim of each key that this instance made or tries to make
	order    []Token       // of claims, by arrival

	lease     storeclient.LeaseID
	leaseFrom time.Time
	granting  bool
}

// NewCore returns a Core of the given instance.
func NewCore(instance identifier.Instance, limits Limits) *Core {
	return &Core{
		limits:   limits.withDefaults(),
		instance: instance,
		claims:   map[Token]*claim{},
		holders:  map[Key]Token{},
	}
}

// Step applies e at now and returns the actions that it causes.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Arrived:
		return c.arrive(now, e)
	case Left:
		return c.leave(e)
	case Settled:
		return c.settle(e)
	case LeaseGranted:
		return c.leaseGranted(now, e.Lease)
	case LeaseFailed:
		return c.leaseFailed()
	case Ticked:
		return c.tick(now)
	case Stored:
		return c.onClaim(e.Token, func(cl *claim) []Action { return c.stored(now, cl, e.Revision) })
	case Refused:
		return c.onClaim(e.Token, func(cl *claim) []Action { return c.refused(cl) })
	case LeaseLapsed:
		return c.onClaim(e.Token, func(cl *claim) []Action { return c.leaseLapsed(cl) })
	case Failed:
		return c.onClaim(e.Token, func(cl *claim) []Action { return c.failed(cl, e.MayApply) })
	case Found:
		return c.onClaim(e.Token, func(cl *claim) []Action { return c.found(now, cl, e.Record, e.Revision) })
	case Absent:
		return c.onClaim(e.Token, func(cl *claim) []Action { return c.absent(now, cl) })
	}
	return nil
}

// onClaim applies f to the claim of token, if there is one.
func (c *Core) onClaim(token Token, f func(*claim) []Action) []Action {
	cl, ok := c.claims[token]
	if !ok {
		return nil
	}
	return f(cl)
}

// arrive begins the claim of a call, or answers it from what this instance knows.
func (c *Core) arrive(now time.Time, e Arrived) []Action {
	dated, ok := c.accepts(now, e.Key)
	if !ok {
		return decide(e.Call, Expired{})
	}
	if token, held := c.holders[e.Key]; held {
		return decide(e.Call, c.ownDecision(c.claims[token], e.Digest))
	}
	deadline := e.Deadline
	if deadline.IsZero() {
		deadline = now.Add(c.limits.MaxOpen)
	}
	cl := &claim{
		call: e.Call,
		key:  e.Key,
		record: Record{
			Digest: e.Digest, Token: e.Token, Instance: c.instance,
			ClosesAt: later(deadline, now.Add(c.limits.SendFor)).Add(c.limits.SettleFor),
		},
		sendBefore: earlier(deadline, now.Add(c.limits.SendFor)),
	}
	c.claims[e.Token] = cl
	c.holders[e.Key] = e.Token
	c.order = append(c.order, e.Token)
	if !dated {
		return c.create(cl)
	}
	return c.createLeased(now, cl)
}

// accepts reports whether key may be claimed at now, and whether it says when it was made.
func (c *Core) accepts(now time.Time, key Key) (dated, ok bool) {
	made, dated := key.time()
	if !dated {
		return false, !c.limits.RequireDated
	}
	age := now.Sub(made)
	return true, age <= c.limits.Window && age >= -c.limits.ClockSkew
}

// ownDecision answers another call with the key of cl.
func (c *Core) ownDecision(cl *claim, digest Digest) Decision {
	if cl.record.Digest != digest {
		return Mismatch{}
	}
	switch cl.result.(type) {
	case Answered, Unknown:
		return Replay{Result: cl.result}
	case NotRun:
		return Unavailable{RetryAfter: c.limits.RetryAfter}
	}
	return Open{RetryAfter: c.limits.RetryAfter}
}

// create writes the claim of cl.
func (c *Core) create(cl *claim) []Action {
	cl.phase = phaseCreate
	return []Action{CreateClaim{Token: cl.record.Token, Path: cl.key.path(), Record: cl.record}}
}

// inspect reads the claim that stands under the key of cl.
func (c *Core) inspect(cl *claim) []Action {
	cl.phase = phaseInspect
	return []Action{ReadClaim{Token: cl.record.Token, Path: cl.key.path()}}
}

// leave gives up a call whose caller no longer waits.
func (c *Core) leave(e Left) []Action {
	return c.onClaim(e.Token, func(cl *claim) []Action {
		if cl.call == e.Call && cl.phase < phaseGranted {
			cl.left = true
		}
		return nil
	})
}

// forget removes cl. Another claim of its key is not touched.
func (c *Core) forget(cl *claim) {
	cl.phase = phaseFinished
	delete(c.claims, cl.record.Token)
	c.release(cl)
}

// release lets other calls of this instance ask for the key of cl.
func (c *Core) release(cl *claim) {
	if c.holders[cl.key] == cl.record.Token {
		delete(c.holders, cl.key)
	}
}

// decide is the action that gives call its decision.
func decide(call Call, d Decision) []Action {
	return []Action{Decide{Call: call, Decision: d}}
}

// earlier returns the earlier of a and b.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of a and b.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
