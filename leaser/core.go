package leaser

import (
	"time"

	"amaranthmill/keeper"
)

// Core decides when to ask for, renew and give up one lease. It is not safe for concurrent use.
type Core struct {
	ttl, margin, pause, look time.Duration

	phase    phase
	lease    keeper.LeaseID
	fence    uint64
	asked    time.Time // when the call under way was sent
	until    time.Time // until when the holder may act
	next     time.Time // of the next call
	lastTick time.Time
	lastWall time.Time
	told     time.Time // the deadline last given in Hold
	stopping bool
	calling  bool
	ended    bool
}

type phase uint8

const (
	phaseIdle    phase = iota // no lease; another holder may have the key
	phaseFree                 // no lease; the key was seen to be free
	phaseGranted              // a lease, but the key not yet known to be ours
	phaseHeld                 // the key is ours
)

// Event is what a Core learns: Tick, Answered, Freed or Stop.
type Event interface{ event() }

// Tick lets time pass. Wall is the wall clock, which goes on while an instance is suspended.
type Tick struct{ Wall time.Time }

// Answered is how the call under way ended.
type Answered struct {
	Call   Call
	Lease  keeper.LeaseID // of a Grant that succeeded
	Fence  uint64         // revision of the key, of a Claim that succeeded
	Result Result
}

// Freed says that the key was seen to go, so that there is no reason to wait longer.
type Freed struct{}

// Stop asks the core to give up the lease for good.
type Stop struct{}

func (Tick) event()     {}
func (Answered) event() {}
func (Freed) event()    {}
func (Stop) event()     {}

// Result says how a call of the platform ended.
type Result uint8

// The results of a call.
const (
	ResultOK      Result = iota
	ResultRefused        // the lease lapsed, or another holder has the key
	ResultUnknown        // no answer: the call may have had its effect
)

// Call is a call of the platform.
type Call uint8

// The calls.
const (
	CallCheck Call = iota // whether the key is free
	CallGrant             // a lease
	CallClaim             // the key under the lease, or find that it is claimed so already
	CallRenew
	CallRevoke
)

// Action is what a Core wants done: Ask, Hold or End.
type Action interface{ action() }

// MakeCall makes a call of the platform. A core has one call under way at most.
type MakeCall struct {
	Call  Call
	Lease keeper.LeaseID
}

// Hold says until when the holder may act; the zero time says that it must not act. Fence
// is the revision of the key, which is higher for each later holder.
type Hold struct {
	Until time.Time
	Fence uint64
}

// End says that the lease was given back after a Stop.
type End struct{}

func (End) action()      {}
func (MakeCall) action() {}
func (Hold) action()     {}

// NewCore returns a Core for cfg; only its durations matter.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{ttl: cfg.TTL, margin: cfg.Margin, pause: cfg.PauseThreshold, look: cfg.CheckInterval}
}

// Step applies e at now and returns what it causes.
func (c *Core) Step(now time.Time, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case Tick:
		out = c.tick(now, e.Wall)
	case Answered:
		out = c.answered(now, e)
	case Freed:
		if c.phase == phaseIdle {
			c.next = now
			out = c.ask(now)
		}
	case Stop:
		c.stopping = true
		c.until = time.Time{}
		c.next = now
		out = c.ask(now)
	}
	return c.tell(now, out)
}

// tick gives up acting after a pause, and makes the call that is due.
func (c *Core) tick(now, wall time.Time) []Action {
	paused := !c.lastTick.IsZero() && (now.Sub(c.lastTick) > c.pause || wall.Sub(c.lastWall) > c.pause)
	c.lastTick, c.lastWall = now, wall
	if paused {
		c.until = time.Time{}
		c.asked = time.Time{} // an answer to a call from before the pause proves nothing
		c.next = now
	}
	if now.Before(c.next) {
		return nil
	}
	return c.ask(now)
}

// ask makes the call that the phase needs, unless one is under way.
func (c *Core) ask(now time.Time) []Action {
	if c.calling {
		return nil
	}
	call := CallCheck
	switch {
	case c.ended:
		return nil
	case c.stopping && c.lease == "":
		c.ended = true
		return []Action{End{}}
	case c.stopping:
		call = CallRevoke
	case c.phase == phaseFree:
		call = CallGrant
	case c.phase == phaseGranted:
		call = CallClaim
	case c.phase == phaseHeld:
		call = CallRenew
	}
	c.calling = true
	c.asked = now
	return []Action{MakeCall{Call: call, Lease: c.lease}}
}

// answered moves the phase on.
func (c *Core) answered(now time.Time, e Answered) []Action {
	c.calling = false
	if c.stopping {
		if e.Call == CallGrant && e.Result == ResultOK {
			c.lease = e.Lease
		}
		if e.Call == CallRevoke && e.Result == ResultUnknown {
			c.next = now.Add(c.ttl / 10) // a platform that is away may keep the lease from lapsing as well
			return nil
		}
		if e.Call == CallRevoke {
			c.lease = ""
		}
		return c.ask(now)
	}
	switch {
	case e.Result == ResultUnknown:
		c.next = now.Add(c.ttl / 10) // until runs on: the last renewal still holds
		return nil
	case e.Result == ResultRefused:
		c.phase, c.lease, c.until = phaseIdle, "", time.Time{}
		c.next = now.Add(c.look)
		return nil
	case e.Call == CallCheck:
		c.phase = phaseFree
		return c.ask(now)
	case e.Call == CallGrant:
		c.phase, c.lease = phaseGranted, e.Lease
		return c.ask(now)
	}
	if e.Call == CallClaim {
		c.fence = e.Fence
	}
	c.phase = phaseHeld
	c.next = c.asked.Add(c.ttl / 3)
	if e.Call == CallClaim || c.asked.IsZero() {
		c.next = now // the claim does not extend the lease: renew at once
		return c.ask(now)
	}
	c.until = c.asked.Add(c.ttl - c.margin)
	return nil
}

// tell puts a Hold before out if the deadline changed or passed, so that acting ends before the lease does.
func (c *Core) tell(now time.Time, out []Action) []Action {
	if !now.Before(c.until) {
		c.until = time.Time{}
	}
	if c.until.Equal(c.told) {
		return out
	}
	c.told = c.until
	return append([]Action{Hold{Until: c.until, Fence: c.fence}}, out...)
}
