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
	phaseCreate                // the write of the claim
	phaseInspect               // a read of the claim that caused a conflict, or of its own claim after a lost answer
	phaseClose                 // the write that closes a dead claimant's claim
	phaseGranted               // the end of the call, which may be dispatched
	phaseStore                 // the write of the result, or the removal of the claim
	phaseReread                // a read of the stored claim after a write of the result failed
	phaseBacklog               // a tick that retries the write of the result
	phaseFinished              // nothing; the claim has been forgotten
)

// claim is one call's claim, from its arrival until its result is stored.
type claim struct {
	call         Call
	key          Key
	record       Record // as this instance writes it
	revision     uint64 // of the stored claim; zero if unknown
	phase        phase
	sendBefore   time.Time
	mayExist     bool   // a write with this token may have taken effect or may still take effect
	callerLeft   bool   // the caller no longer waits for the decision
	attempts     int    // conflicts and missing claims since the arrival, the settlement or the last retry
	result       Result // to be stored; nil while the call runs
	closedRecord Record // another claimant's claim with the result Unknown, as phaseClose writes it
}

// Core decides for one instance who may dispatch. It is deterministic and not safe for concurrent use.
type Core struct {
	limits     Limits
	instance   identifier.Instance
	claims     map[Token]*claim
	tokenByKey map[Key]Token // the claim of each key that this instance has written or tries to write
	order      []Token       // of claims, by arrival; a tick moves those that it retries to the end

	lease            storeclient.LeaseID
	leaseRequestedAt time.Time
	grantPending     bool
}

// NewCore returns a Core for the given instance.
func NewCore(instance identifier.Instance, limits Limits) *Core {
	return &Core{
		limits:     limits.withDefaults(),
		instance:   instance,
		claims:     map[Token]*claim{},
		tokenByKey: map[Key]Token{},
	}
}

// Step applies e at time now and returns the resulting actions.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Arrived:
		return c.handleArrived(now, e)
	case CallerLeft:
		return c.handleCallerLeft(e)
	case Settled:
		return c.handleSettled(e)
	case LeaseGranted:
		return c.handleLeaseGranted(now, e.Lease)
	case LeaseFailed:
		return c.handleLeaseFailed()
	case Ticked:
		return c.handleTick(now)
	case Stored:
		return c.withClaim(e.Token, func(cl *claim) []Action { return c.handleStored(now, cl, e.Revision) })
	case Conflicted:
		return c.withClaim(e.Token, func(cl *claim) []Action { return c.handleConflict(cl) })
	case LeaseExpired:
		return c.withClaim(e.Token, func(cl *claim) []Action { return c.handleLeaseExpired(cl) })
	case Failed:
		return c.withClaim(e.Token, func(cl *claim) []Action { return c.handleFailure(cl, e.MayApply) })
	case Found:
		return c.withClaim(e.Token, func(cl *claim) []Action { return c.handleFound(now, cl, e.Record, e.Revision) })
	case Absent:
		return c.withClaim(e.Token, func(cl *claim) []Action { return c.handleAbsent(now, cl) })
	}
	return nil
}

// withClaim calls f with the claim of token if the claim exists.
func (c *Core) withClaim(token Token, f func(*claim) []Action) []Action {
	cl, ok := c.claims[token]
	if !ok {
		return nil
	}
	return f(cl)
}

// handleArrived starts the claim of a call, or decides the call at once if its key is not accepted
// or already claimed by this instance.
func (c *Core) handleArrived(now time.Time, e Arrived) []Action {
	dated, ok := c.accepts(now, e.Key)
	if !ok {
		return decide(e.Call, Expired{})
	}
	if token, held := c.tokenByKey[e.Key]; held {
		return decide(e.Call, c.duplicateDecision(c.claims[token], e.Digest))
	}
	deadline := e.Deadline
	if deadline.IsZero() {
		deadline = now.Add(c.limits.DefaultTimeout)
	}
	cl := &claim{
		call: e.Call,
		key:  e.Key,
		record: Record{
			Digest: e.Digest, Token: e.Token, Instance: c.instance,
			ClosesAt: later(deadline, now.Add(c.limits.MaxSendDelay)).Add(c.limits.SettleTime),
		},
		sendBefore: earlier(deadline, now.Add(c.limits.MaxSendDelay)),
	}
	c.claims[e.Token] = cl
	c.tokenByKey[e.Key] = e.Token
	c.order = append(c.order, e.Token)
	if !dated {
		return c.create(cl)
	}
	return c.createWithLease(now, cl)
}

// accepts reports whether key contains its creation time, and whether key may be claimed at now.
func (c *Core) accepts(now time.Time, key Key) (dated, ok bool) {
	made, dated := key.createdAt()
	if !dated {
		return false, !c.limits.RequireDated
	}
	age := now.Sub(made)
	return true, age <= c.limits.AcceptanceWindow && age >= -c.limits.ClockSkew
}

// duplicateDecision returns the decision on another call with the key of cl.
func (c *Core) duplicateDecision(cl *claim, digest Digest) Decision {
	if cl.record.Digest != digest {
		return Mismatch{}
	}
	switch cl.result.(type) {
	case Answered, Unknown:
		return Replay{Result: cl.result}
	case NotRun:
		return Unavailable{RetryAfter: c.limits.MaxRetryAfter}
	}
	return Open{RetryAfter: c.limits.MaxRetryAfter}
}

// create writes the claim of cl.
func (c *Core) create(cl *claim) []Action {
	cl.phase = phaseCreate
	return []Action{CreateClaim{Token: cl.record.Token, Path: cl.key.path(), Record: cl.record}}
}

// inspect reads the stored claim of the key of cl in order to decide the call.
func (c *Core) inspect(cl *claim) []Action {
	cl.phase = phaseInspect
	return []Action{ReadClaim{Token: cl.record.Token, Path: cl.key.path()}}
}

// handleCallerLeft marks the claim of a call whose caller no longer waits, so that it is not granted.
func (c *Core) handleCallerLeft(e CallerLeft) []Action {
	return c.withClaim(e.Token, func(cl *claim) []Action {
		if cl.call == e.Call && cl.phase < phaseGranted {
			cl.callerLeft = true
		}
		return nil
	})
}

// forget removes cl from the core. Other claims of its key are kept.
func (c *Core) forget(cl *claim) {
	cl.phase = phaseFinished
	delete(c.claims, cl.record.Token)
	c.release(cl)
}

// release allows other calls of this instance to claim the key of cl.
func (c *Core) release(cl *claim) {
	if c.tokenByKey[cl.key] == cl.record.Token {
		delete(c.tokenByKey, cl.key)
	}
}

// decide returns the action that delivers the decision on call.
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
