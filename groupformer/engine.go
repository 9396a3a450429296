package groupformer

import (
	"slices"
	"time"

	"amaranthmill/endpointlister"
)

// engine is an endpoint of a service with models, with what the former knows of it.
type engine struct {
	endpointlister.Endpoint
	listed     bool
	unlisted   time.Time               // since when it is not listed
	listing    endpointlister.Endpoint // as it was listed last
	assumed    time.Time               // until when the state that an accepted order leads to goes before the list; zero for none
	accepted   uint64                  // orders that it has accepted, as far as is known
	pending    *Order
	pendingAt  time.Time
	drainsAt   time.Time // when it was first seen to drain; zero if it does not
	uncertain  bool      // an order had no answer, or the state does not fit: it is asked before the next order
	asking     bool
	askedAt    time.Time
	suspected  bool      // something hints that it is gone: it is asked until it answers or counts as dead
	failures   int       // asks in a row without an answer
	heardAt    time.Time // of its last report
	movedAt    time.Time // when the list last gave it another place
	refusedAt  time.Time // of the first ask that was refused while it may be leaving
	dead       bool
	planned    bool      // a group has it
	tied       bool      // it must leave its group before it joins another
	staging    string    // the model that was ordered to its host
	stagingEnd time.Time // when the order counts as failed
	idleSince  time.Time // since when no group needs it; zero while one does
	lastModel  string    // of its last group in this run
}

// Times and counts of asking.
const (
	closeTimeout = 350 * time.Millisecond   // after which a head that was told to close is asked
	askAgain     = 50 * time.Millisecond    // between two asks of a suspected engine
	askDead      = 2 * time.Second          // between two asks of an engine that counts as dead and is listed
	askFar       = 700 * time.Millisecond   // between two asks of an engine that nobody near it can ask
	farSilence   = 20 * time.Second         // after which such an engine counts as dead, if it is not listed
	finishLimit  = 10500 * time.Millisecond // for which a head that leaves serves what it has after it stopped to listen
	calmTime     = 6 * time.Second          // after the store's return, in which engines may have left unseen
	deadFailures = 2                        // asks in a row after which an engine counts as dead
)

// isUsable reports whether a new group may have e.
func (e *engine) isUsable() bool {
	return e.listed && !e.Draining && !e.dead && !e.suspected && !e.uncertain && e.pending == nil && !e.tied
}

// isGone reports whether e can't be a member of a serving group any more.
func (e *engine) isGone() bool { return e.dead || e.Draining }

// model returns the model of e's group, or "" if it is not known.
func (e *engine) model() string {
	if len(e.Models) > 0 {
		return e.Models[0]
	}
	return e.lastModel
}

// isLoaded reports whether the model was that of e's last group, so that e joins another one of it at once.
func (e *engine) isLoaded(model string) bool {
	return e.lastModel == model || slices.Contains(e.Models, model)
}

// isStaged reports whether e's host has the model at hand.
func (e *engine) isStaged(model string) bool { return slices.Contains(e.Staged, model) }

// isEmpty reports whether e can join no group without a load.
func (e *engine) isEmpty() bool {
	return e.staging == "" && e.model() == "" && len(e.Staged) == 0
}

// assumeFor is how long the list may lag behind an accepted order.
const assumeFor = 500 * time.Millisecond

// list takes in the endpoint as it is listed.
func (e *engine) list(now time.Time, l endpointlister.Endpoint) {
	if e.ProcessStart != l.ProcessStart {
		*e = engine{Endpoint: l, listing: l, listed: true, idleSince: now, planned: e.planned}
		return
	}
	if !e.listed {
		e.suspected, e.dead, e.failures = false, false, 0
	}
	e.listed, e.listing = true, l
	switch {
	case !l.Draining:
		e.drainsAt = time.Time{}
	case e.drainsAt.IsZero():
		e.drainsAt = now
	}
	before := e.Membership
	if !now.Before(e.assumed) || e.agrees(l.Membership) {
		e.assumed = time.Time{}
		e.Endpoint = l
	} else {
		assumed := e.Membership
		e.Endpoint = l
		e.Membership = assumed
	}
	if !e.Membership.IsSameGroup(before) {
		e.movedAt = now
	}
	e.settleStaging(now)
}

// confirms reports whether the engine itself has said where it is since the list gave it
// another place, which an entry that comes late may do wrongly. If not, it is asked.
func (e *engine) confirms() bool {
	if e.heardAt.After(e.movedAt) {
		return true
	}
	e.uncertain = true
	return false
}

// agrees reports whether a listed membership follows from the assumed one.
func (e *engine) agrees(m endpointlister.Membership) bool {
	if !e.Membership.IsSameGroup(m) {
		return false
	}
	return e.Membership.State != endpointlister.MemberClosing || m.State != endpointlister.MemberOpen
}

// assume takes the membership that an accepted order leads to, until the list shows it.
func (e *engine) assume(now time.Time, m endpointlister.Membership) {
	e.Membership, e.assumed = m, now.Add(assumeFor)
}

// settleAssumed asks an engine whose list entry never came to agree with an accepted order.
func (e *engine) settleAssumed(now time.Time) {
	if e.assumed.IsZero() || now.Before(e.assumed) {
		return
	}
	e.assumed = time.Time{}
	if !e.agrees(e.listing.Membership) {
		e.uncertain = true
	}
}

// report takes in the engine's own report, which is of the process start that is listed.
func (e *engine) report(now time.Time, r Reported) {
	l := r.Endpoint
	e.asking, e.failures, e.heardAt, e.refusedAt = false, 0, now, time.Time{}
	e.suspected, e.dead, e.uncertain = false, false, false
	e.assumed = time.Time{}
	e.accepted = r.AcceptedOrders
	e.Models, e.Staged, e.Membership = l.Models, l.Staged, l.Membership
	e.settleStaging(now)
	if r.Busy && e.staging == "" && l.Membership.State != endpointlister.MemberJoining {
		e.staging, e.stagingEnd = stagingUnknown, now.Add(unknownLimit)
	}
}

// stagingUnknown stands for a model that an earlier holder of the lease ordered to a host.
const (
	stagingUnknown = "(unknown)"
	unknownLimit   = 5 * time.Second // after which such an engine is asked again when it is needed
)

func (e *engine) settleStaging(now time.Time) {
	if e.staging != "" && (slices.Contains(e.Staged, e.staging) || now.After(e.stagingEnd)) {
		e.staging = ""
	}
}
