package groupformer

import (
	"slices"
	"time"

	"amaranthmill/endpointlister"
)

// engine is an endpoint of a service with models, and what the Former knows about its state.
type engine struct {
	endpointlister.Endpoint
	listed              bool
	unlistedAt          time.Time               // when it left the list
	lastListing         endpointlister.Endpoint // the endpoint as last listed
	assumedUntil        time.Time               // until then, the membership that follows from an accepted order overrides the listed one; zero for none
	acceptedOrders      uint64                  // orders that it has accepted, as far as known
	pending             *Order                  // the order that has no outcome yet
	pendingSince        time.Time               // when the last order was sent
	drainingSince       time.Time               // when it was first known to be draining; zero if it is not draining
	leaving             bool                    // the process itself has said that it leaves, so that it drains whatever the list shows
	uncertain           bool                    // an order had no answer, or the known state is contradictory: it is queried before the next order
	querying            bool                    // a query for its report is in progress
	queriedAt           time.Time
	suspected           bool      // it may have exited: it is queried until it answers or counts as dead
	failedQueries       int       // consecutive queries without an answer
	silentSince         time.Time // when the first of these was sent
	reportedAt          time.Time // when its last report arrived
	membershipChangedAt time.Time // when the list last changed its membership
	refusedSince        time.Time // when it first refused a connection while it may be completing requests before it exits
	dead                bool
	assigned            bool      // a group includes it; valid after Former.updateAssigned
	mustLeave           bool      // it must leave its group before it joins another
	stagingModel        string    // the model whose weights its host was ordered to load; empty for none
	stagingDeadline     time.Time // when that load counts as failed
	idleSince           time.Time // since when no group needs it; zero while a group needs it
	lastModel           string    // model of its last group in this process
}

// Intervals and limits of queries for reports.
const (
	closeTimeout             = 350 * time.Millisecond   // after which a head that was ordered to close is queried
	queryInterval            = 50 * time.Millisecond    // between two queries of a suspected engine
	deadQueryInterval        = 2 * time.Second          // between two queries of an engine that counts as dead but is listed
	unreachableQueryInterval = 700 * time.Millisecond   // between two queries of an engine that repeatedly did not answer but may live
	unlistedDeadAfter        = 20 * time.Second         // time off the list after which such an engine counts as dead
	drainFinishLimit         = 10500 * time.Millisecond // how long a leaving head completes its requests after it stopped listening
	storeSettleTime          = 6 * time.Second          // after the store has recovered, in which engines may have left unobserved
	deadAfterFailures        = 2                        // consecutive failed queries before which no engine counts as dead
	silenceLimit             = 2 * time.Second          // a live engine may answer nothing for a shorter time
)

// isUsable reports whether a new group may include e.
func (e *engine) isUsable() bool {
	return e.listed && !e.Draining && !e.dead && !e.suspected && !e.uncertain && e.pending == nil && !e.mustLeave
}

// isDeadOrDraining reports whether e can no longer be a member of a serving group.
func (e *engine) isDeadOrDraining() bool { return e.dead || e.Draining }

// model returns the model that e has loaded or else the model of its last group, or "" if both
// are unknown.
func (e *engine) model() string {
	if len(e.Models) > 0 {
		return e.Models[0]
	}
	return e.lastModel
}

// hasLoaded reports whether e has the model loaded, or ran it in its last group, so that e can
// join another group of the model at once.
func (e *engine) hasLoaded(model string) bool {
	return e.lastModel == model || slices.Contains(e.Models, model)
}

// hasStaged reports whether the weights of the model are staged on e's host.
func (e *engine) hasStaged(model string) bool { return slices.Contains(e.Staged, model) }

// hasNoWeights reports whether e has neither weights nor a load in progress, so that it can
// join no group without a load.
func (e *engine) hasNoWeights() bool {
	return e.stagingModel == "" && e.model() == "" && len(e.Staged) == 0
}

// assumedTTL is how long the list may lag behind an accepted order.
const assumedTTL = 500 * time.Millisecond

// applyListing applies the listed endpoint. A new process start resets the rest of the state.
func (e *engine) applyListing(now time.Time, l endpointlister.Endpoint) {
	if e.ProcessStart != l.ProcessStart {
		*e = engine{Endpoint: l, lastListing: l, listed: true, idleSince: now, assigned: e.assigned}
		return
	}
	if !e.listed {
		e.suspected, e.dead, e.failedQueries = false, false, 0
	}
	l.Draining = l.Draining || e.leaving
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

// leave marks e as draining for the rest of its process.
func (e *engine) leave(now time.Time) {
	e.leaving, e.Draining = true, true
	if e.drainingSince.IsZero() {
		e.drainingSince = now
	}
}

// confirmsMembership reports whether e itself has reported since the list last changed its
// membership. The list alone is not sufficient, because a delayed entry may show an old
// membership. If e has not reported, it is marked uncertain, so that it is queried.
func (e *engine) confirmsMembership() bool {
	if e.reportedAt.After(e.membershipChangedAt) {
		return true
	}
	e.uncertain = true
	return false
}

// agreesWith reports whether the listed membership m is consistent with e's assumed
// membership. A listed open state contradicts an assumed closing state.
func (e *engine) agreesWith(m endpointlister.Membership) bool {
	if !e.Membership.IsSameGroup(m) {
		return false
	}
	return e.Membership.State != endpointlister.MemberClosing || m.State != endpointlister.MemberOpen
}

// assumeMembership sets the membership that follows from an accepted order, until the list
// shows it or assumedTTL has passed.
func (e *engine) assumeMembership(now time.Time, m endpointlister.Membership) {
	e.Membership, e.assumedUntil = m, now.Add(assumedTTL)
}

// expireAssumed ends an assumed membership after assumedTTL. The listed one holds again: it may be
// newer, if the answer to the order arrived late. If it does not agree, e is marked uncertain.
func (e *engine) expireAssumed(now time.Time) {
	if e.assumedUntil.IsZero() || now.Before(e.assumedUntil) {
		return
	}
	e.assumedUntil = time.Time{}
	if !e.agreesWith(e.lastListing.Membership) {
		e.uncertain = true
	}
	if e.listed {
		e.applyListing(now, e.lastListing)
	}
}

// divergenceLimit is the time for which the known state of an engine may differ from its listed one
// before the engine is queried. A report can be older than the entry that arrived before it, and no
// further change of the entry corrects that.
const divergenceLimit = time.Second

// diverges reports whether the known state of e has differed from its listed one for divergenceLimit.
func (e *engine) diverges(now time.Time) bool {
	switch {
	case !e.listed, e.pending != nil, !e.assumedUntil.IsZero(), now.Sub(e.reportedAt) < divergenceLimit:
		return false
	}
	l := e.lastListing
	return e.Membership != l.Membership || !slices.Equal(e.Models, l.Models) || !slices.Equal(e.Staged, l.Staged)
}

// applyReport applies the engine's own report, whose process start is the listed one.
func (e *engine) applyReport(now time.Time, r Reported) {
	reported := r.Endpoint
	e.querying, e.failedQueries, e.reportedAt, e.refusedSince = false, 0, now, time.Time{}
	e.suspected, e.dead, e.uncertain = false, false, false
	e.assumedUntil = time.Time{}
	e.acceptedOrders = r.AcceptedOrders
	e.Models, e.Staged, e.Membership = reported.Models, reported.Staged, reported.Membership
	e.clearStaging(now)
	if reported.Draining {
		e.leave(now)
	}
	if r.Busy && e.stagingModel == "" && reported.Membership.State != endpointlister.MemberJoining {
		e.stagingModel, e.stagingDeadline = stagingUnknown, now.Add(unknownStagingLimit)
	}
}

// stagingUnknown stands for the model of a load that an earlier holder of the lease ordered.
const (
	stagingUnknown      = "(unknown)"
	unknownStagingLimit = 5 * time.Second // after which such a load counts as ended; if it has not, the next order conflicts and the engine is queried
)

// clearStaging ends the staging state when the weights are staged or the deadline has passed.
func (e *engine) clearStaging(now time.Time) {
	if e.stagingModel != "" && (slices.Contains(e.Staged, e.stagingModel) || now.After(e.stagingDeadline)) {
		e.stagingModel = ""
	}
}
