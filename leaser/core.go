package leaser

import (
	"time"

	"amaranthmill/storeclient"
)

// Core decides when to acquire, renew and release one lease. It is not safe for concurrent use.
type Core struct {
	ttl, margin, pauseThreshold, checkInterval, acquireDelay time.Duration

	phase         phase
	lease         storeclient.LeaseID
	fence         uint64
	sentAt        time.Time // when the last call was sent; zero if that was before a pause
	holdUntil     time.Time // end of the time in which the holder may act; zero if it may not act
	nextCallAt    time.Time // when the next call is due
	lastTick      time.Time
	lastWall      time.Time
	reportedUntil time.Time // the deadline of the last Hold action
	freeSince     time.Time // when a check first found the key free; zero if the last one did not
	stopping      bool
	isWithdrawn   bool // the lease is released, and no other is acquired
	callPending   bool
	isOutdated    bool      // the pending call was made before a restore of the store
	isLastHolder  bool      // the key was claimed, and no other holder has been seen since
	acquireAfter  time.Time // when another holder from before a restore must have stopped acting; zero if there was none
	ended         bool
}

type phase uint8

const (
	phaseIdle    phase = iota // no lease; another holder may own the key
	phaseFree                 // no lease; the last check found the key free
	phaseGranted              // a lease is granted; the claim of the key is not confirmed
	phaseHeld                 // the key is claimed under the lease
)

// Event is an input of a Core: Tick, Answered, Freed, Restored, CheckIntervalSet, CandidacySet or Stop.
type Event interface{ event() }

// Tick reports the current time. Wall is the wall clock, which advances while the machine is
// suspended.
type Tick struct{ Wall time.Time }

// Answered reports how the pending call ended.
type Answered struct {
	Call   Call
	Lease  storeclient.LeaseID // set by a successful CallGrant
	Fence  uint64              // revision of the key, set by a successful CallClaim
	Result Result
}

// Freed reports that the key was deleted, so that the core checks it at once.
type Freed struct{}

// Restored reports that the store was restored from an older copy, so that it may not know the lease, or may have granted
// its number to another holder. It comes before the answer that shows the restore.
type Restored struct{}

// CheckIntervalSet replaces Config.CheckInterval from the next check on.
type CheckIntervalSet struct{ Interval time.Duration }

// CandidacySet makes the core release the lease and acquire no other, or acquire it again. A new core
// is a candidate.
type CandidacySet struct{ IsCandidate bool }

// Stop makes the core release the lease and acquire no other.
type Stop struct{}

func (Tick) event()             {}
func (Answered) event()         {}
func (Freed) event()            {}
func (Restored) event()         {}
func (CheckIntervalSet) event() {}
func (CandidacySet) event()     {}
func (Stop) event()             {}

// Result is the outcome of a call to the platform.
type Result uint8

// Outcomes of a call.
const (
	ResultOK      Result = iota
	ResultRefused        // the lease expired, or another holder owns the key
	ResultUnknown        // no answer: the call may have taken effect
)

// Call is a kind of call to the platform.
type Call uint8

// Kinds of call.
const (
	CallCheck Call = iota // checks whether the key is free
	CallGrant             // grants a lease
	CallClaim             // creates the key under the lease, or confirms that an earlier claim did
	CallRenew
	CallRevoke
)

// Action is an output of a Core: MakeCall, Hold or End.
type Action interface{ action() }

// MakeCall requests a call to the platform. A core has at most one pending call.
type MakeCall struct {
	Call  Call
	Lease storeclient.LeaseID
}

// Hold states until when the holder may act. If Until is zero, the holder must not act. Fence is
// the revision of the key and serves as fencing number: it increases with each new holder in one era of the store.
type Hold struct {
	Until time.Time
	Fence uint64
}

// End reports that the lease was released after a Stop.
type End struct{}

func (End) action()      {}
func (MakeCall) action() {}
func (Hold) action()     {}

// NewCore returns a Core for cfg. It uses only the durations of cfg.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{ttl: cfg.TTL, margin: cfg.Margin, pauseThreshold: cfg.PauseThreshold, checkInterval: cfg.CheckInterval, acquireDelay: cfg.AcquireDelay}
}

// Step applies e at time now and returns the resulting actions.
func (c *Core) Step(now time.Time, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case Tick:
		out = c.handleTick(now, e.Wall)
	case Answered:
		out = c.handleAnswer(now, e)
	case Restored:
		out = c.handleRestore(now)
	case CheckIntervalSet:
		c.checkInterval = e.Interval
	case Freed:
		if c.phase == phaseIdle && !c.isWithdrawn {
			c.nextCallAt = now
			out = c.startCall(now)
		}
	case CandidacySet:
		if c.isWithdrawn == e.IsCandidate {
			c.isWithdrawn = !e.IsCandidate
			out = c.restart(now)
		}
	case Stop:
		c.stopping = true
		out = c.restart(now)
	}
	return c.prependHold(now, out)
}

// restart ends the time in which the holder may act, and makes the call that is needed now.
func (c *Core) restart(now time.Time) []Action {
	c.holdUntil = time.Time{}
	c.nextCallAt = now
	return c.startCall(now)
}

// handleRestore gives up the lease and acquires another one. An instance other than the last holder waits for the time to
// live first: the last holder may not know of the restore yet, and acts until its last renewal ends.
func (c *Core) handleRestore(now time.Time) []Action {
	if !c.isLastHolder {
		c.acquireAfter = now.Add(c.ttl)
	}
	c.phase, c.lease, c.freeSince = phaseIdle, "", time.Time{}
	c.isOutdated = c.callPending
	return c.restart(now)
}

// isReleasing reports whether the core releases the lease and acquires no other.
func (c *Core) isReleasing() bool { return c.stopping || c.isWithdrawn }

// handleTick ends the time in which the holder may act if the process was paused, and starts the call
// that is due.
func (c *Core) handleTick(now, wall time.Time) []Action {
	paused := !c.lastTick.IsZero() && (now.Sub(c.lastTick) > c.pauseThreshold || wall.Sub(c.lastWall) > c.pauseThreshold)
	c.lastTick, c.lastWall = now, wall
	if paused {
		c.holdUntil = time.Time{}
		c.sentAt = time.Time{} // an answer to a call sent before the pause does not prove that the lease is held
		c.nextCallAt = now
	}
	if now.Before(c.nextCallAt) {
		return nil
	}
	return c.startCall(now)
}

// startCall starts the call that the phase needs, unless a call is pending.
func (c *Core) startCall(now time.Time) []Action {
	if c.callPending {
		return nil
	}
	call := CallCheck
	switch {
	case c.ended:
		return nil
	case c.stopping && c.lease == "":
		c.ended = true
		return []Action{End{}}
	case c.isWithdrawn && c.lease == "":
		return nil
	case c.isReleasing():
		call = CallRevoke
	case c.phase == phaseFree:
		call = CallGrant
	case c.phase == phaseGranted:
		call = CallClaim
	case c.phase == phaseHeld:
		call = CallRenew
	}
	c.callPending = true
	c.sentAt = now
	return []Action{MakeCall{Call: call, Lease: c.lease}}
}

// handleAnswer advances the phase by the result of a call and starts or schedules the next call.
func (c *Core) handleAnswer(now time.Time, e Answered) []Action {
	c.callPending = false
	if c.isOutdated {
		c.isOutdated = false
		return c.startCall(now)
	}
	if c.isReleasing() || e.Call == CallRevoke {
		if e.Call == CallGrant && e.Result == ResultOK {
			c.lease = e.Lease
		}
		if e.Call == CallRevoke && e.Result == ResultUnknown {
			c.nextCallAt = now.Add(c.ttl / 10) // an unreachable platform may not expire the lease either, so the revocation is retried
			return nil
		}
		if e.Call == CallRevoke {
			c.phase, c.lease = phaseIdle, ""
		}
		return c.startCall(now)
	}
	switch {
	case e.Result == ResultUnknown:
		c.nextCallAt = now.Add(c.ttl / 10) // holdUntil stays: the last successful renewal still counts
		return nil
	case e.Result == ResultRefused:
		c.freeSince = time.Time{}
		c.phase, c.lease, c.holdUntil = phaseIdle, "", time.Time{}
		c.isLastHolder = c.isLastHolder && e.Call != CallCheck && e.Call != CallClaim
		if e.Call == CallRenew {
			c.nextCallAt = now
			return c.startCall(now) // the lease has expired, so that the key is probably free
		}
		c.nextCallAt = now.Add(c.checkInterval)
		return nil
	case e.Call == CallCheck && now.Before(c.acquireAfter):
		c.nextCallAt = c.acquireAfter
		return nil
	case e.Call == CallCheck && c.defersAcquisition(now):
		c.nextCallAt = c.freeSince.Add(c.acquireDelay)
		return nil
	case e.Call == CallCheck:
		c.freeSince = time.Time{}
		c.phase = phaseFree
		return c.startCall(now)
	case e.Call == CallGrant:
		c.phase, c.lease = phaseGranted, e.Lease
		return c.startCall(now)
	}
	if e.Call == CallClaim {
		c.fence = e.Fence
	}
	c.phase, c.isLastHolder = phaseHeld, true
	c.nextCallAt = c.sentAt.Add(c.ttl / 3)
	if e.Call == CallClaim || c.sentAt.IsZero() {
		c.nextCallAt = now // a claim does not extend the lease and a renewal sent before a pause does not count: renew at once
		return c.startCall(now)
	}
	c.holdUntil = c.sentAt.Add(c.ttl - c.margin)
	return nil
}

// defersAcquisition reports whether the key has to be found free once more, because it has not been free for
// Config.AcquireDelay.
func (c *Core) defersAcquisition(now time.Time) bool {
	if c.freeSince.IsZero() {
		c.freeSince = now
	}
	return now.Sub(c.freeSince) < c.acquireDelay
}

// prependHold prepends a Hold to out if the deadline changed or passed, so that the holder stops acting
// before the lease expires.
func (c *Core) prependHold(now time.Time, out []Action) []Action {
	if !now.Before(c.holdUntil) {
		c.holdUntil = time.Time{}
	}
	if c.holdUntil.Equal(c.reportedUntil) {
		return out
	}
	c.reportedUntil = c.holdUntil
	return append([]Action{Hold{Until: c.holdUntil, Fence: c.fence}}, out...)
}
