package groupformer

import (
	"slices"
	"time"

	"amaranthmill/endpointlister"
)

// engine is an endpoint of a service with models, with what the former knows of it.
type engine struct {
	endpointlister.Endpoint
	listed              bool
	unlistedAt          time.Time               // since when it is not listed
	lastListing         endpointlister.Endpoint // as it was listed last
	assumedUntil        time.Time               // until when the state that an accepted order leads to goes before the list; zero for none
	acceptedOrders      uint64                  // orders that it has accepted, as far as is known
	pending             *Order
	pendingSince        time.Time
	drainingSince       time.Time // when it was first seen to drain; zero if it does not
	uncertain           bool      // an order had no answer, or the state does not fit: it is asked before the next order
	querying            bool
	queriedAt           time.Time
	suspected           bool      // something hints that it is gone: it is asked until it answers or counts as dead
	failedQueries       int       // asks in a row without an answer
	reportedAt          time.Time // of its last report
	membershipChangedAt time.Time // when the list last gave it another place
	refusedSince        time.Time // of the first ask that was refused while it may be leaving
	dead                bool
	assigned            bool      // a group has it
	mustLeave           bool      // it must leave its group before it joins another
	stagingModel        string    // the model that was ordered to its host
	stagingDeadline     time.Time // when the order counts as failed
	idleSince           time.Time // since when no group needs it; zero while one does
	lastModel           string    // of its last group in this run
}

// Times and counts of asking.
const (
	closeTimeout             = 350 * time.Millisecond   // after which a head that was told to close is asked
	queryInterval            = 50 * time.Millisecond    // between two asks of a suspected engine
	deadQueryInterval        = 2 * time.Second          // between two asks of an engine that counts as dead and is listed
	unreachableQueryInterval = 700 * time.Millisecond   // between two asks of an engine that nobody near it can ask
	unlistedDeadAfter        = 20 * time.Second         // after which such an engine counts as dead, if it is not listed
	drainFinishLimit         = 10500 * time.Millisecond // for which a head that leaves serves what it has after it stopped to listen
	storeSettleTime          = 6 * time.Second          // after the store's return, in which engines may have left unseen
	deadAfterFailures        = 2                        // asks in a row after which an engine counts as dead
)

// isUsable reports whether a new group may have e.
func (e *engine) isUsable() bool {
	return e.listed && !e.Draining && !e.dead && !e.suspected && !e.uncertain && e.pending == nil && !e.mustLeave
}

// isDeadOrDraining reports whether e can't be a member of a serving group any more.
func (e *engine) isDeadOrDraining() bool { return e.dead || e.Draining }

// model returns the model of e's group, or "" if it is not known.
func (e *engine) model() string {
	if len(e.Models) > 0 {
		return e.Models[0]
	}
	return e.lastModel
}

// hasLoaded reports whether the model was that of e's last group, so that e joins another one of it at once.
func (e *engine) hasLoaded(model string) bool {
	return e.lastModel == model || slices.Contains(e.Models, model)
}

// hasStaged reports whether e's host has the model at hand.
func (e *engine) hasStaged(model string) bool { return slices.Contains(e.Staged, model) }

// hasNoWeights reports whether e can join no group without a load.
func (e *engine) hasNoWeights() bool {
	return e.stagingModel == "" && e.model() == "" && len(e.Staged) == 0
}

// assumedTTL is how long the list may lag behind an accepted order.
const assumedTTL = 500 * time.Millisecond

// applyListing takes in the endpoint as it is listed.
func (e *engine) applyListing(now time.Time, l endpointlister.Endpoint) {
	if e.ProcessStart != l.ProcessStart {
		*e = engine{Endpoint: l, lastListing: l, listed: true, idleSince: now, assigned: e.assigned}
		return
	}
	if !e.listed {
		e.suspected, e.dead, e.failedQueries = false, false, 0
	}
	e.listed, e.lastListing = true, l
	switch {
	case !l.Draining:
		e.drainingSince = time.Time{}
	case e.drainingSince.IsZero():
		e.drainingSince = now
	}
	before := e.Membership
	if !now.Before(e.assumedUntil) || e.agreesWith(l.Membership) {
		e.assumedUntil = time.Time{}
		e.Endpoint = l
	} else {
		assumed := e.Membership
		e.Endpoint = l
		e.Membership = assumed
	}
	if !e.Membership.IsSameGroup(before) {
		e.membershipChangedAt = now
	}
	e.clearStaging(now)
}

// confirmsMembership reports whether the engine itself has said where it is since the list gave it
// another place, which an entry that comes late may do wrongly. If not, it is asked.
func (e *engine) confirmsMembership() bool {
	if e.reportedAt.After(e.membershipChangedAt) {
		return true
	}
	e.uncertain = true
	return false
}

// agreesWith reports whether a listed membership follows from the assumed one.
func (e *engine) agreesWith(m endpointlister.Membership) bool {
	if !e.Membership.IsSameGroup(m) {
		return false
	}
	return e.Membership.State != endpointlister.MemberClosing || m.State != endpointlister.MemberOpen
}

// assumeMembership takes the membership that an accepted order leads to, until the list shows it.
func (e *engine) assumeMembership(now time.Time, m endpointlister.Membership) {
	e.Membership, e.assumedUntil = m, now.Add(assumedTTL)
}

// expireAssumed asks an engine whose list entry never came to agree with an accepted order.
func (e *engine) expireAssumed(now time.Time) {
	if e.assumedUntil.IsZero() || now.Before(e.assumedUntil) {
		return
	}
	e.assumedUntil = time.Time{}
	if !e.agreesWith(e.lastListing.Membership) {
		e.uncertain = true
	}
}

// applyReport takes in the engine's own applyReport, which is of the process start that is listed.
func (e *engine) applyReport(now time.Time, r Reported) {
	l := r.Endpoint
	e.querying, e.failedQueries, e.reportedAt, e.refusedSince = false, 0, now, time.Time{}
	e.suspected, e.dead, e.uncertain = false, false, false
	e.assumedUntil = time.Time{}
	e.acceptedOrders = r.AcceptedOrders
	e.Models, e.Staged, e.Membership = l.Models, l.Staged, l.Membership
	e.clearStaging(now)
	if r.Busy && e.stagingModel == "" && l.Membership.State != endpointlister.MemberJoining {
		e.stagingModel, e.stagingDeadline = stagingUnknown, now.Add(unknownStagingLimit)
	}
}

// stagingUnknown stands for a model that an earlier holder of the lease ordered to a host.
const (
	stagingUnknown      = "(unknown)"
	unknownStagingLimit = 5 * time.Second // after which such an engine is asked again when it is needed
)

func (e *engine) clearStaging(now time.Time) {
	if e.stagingModel != "" && (slices.Contains(e.Staged, e.stagingModel) || now.After(e.stagingDeadline)) {
		e.stagingModel = ""
	}
}
