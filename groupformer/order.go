package groupformer

import (
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
)

// handleOrderEnded applies the outcome of an order.
func (f *Former) handleOrderEnded(now time.Time, ended OrderEnded) {
	e := f.engines[ended.ID]
	if e == nil || e.pending == nil || e.pending.Number != ended.Number {
		return
	}
	order := e.pending
	e.pending = nil
	if ended.Leaving {
		e.uncertain = true // its report says whether the listed process leaves
	}
	switch ended.Result {
	case ResultAccepted:
		e.acceptedOrders = max(e.acceptedOrders, order.Expected+1)
		f.assumeOutcome(now, e, order.Operation)
	case ResultAlreadyDone, ResultConflict, ResultRefused, ResultReplaced, ResultUnanswered:
		e.uncertain = true
	case ResultStale:
		e.uncertain = true
		f.epochs.raise()
		if g := f.groups[operationGroup(order.Operation)]; g != nil {
			f.dissolve(now, g, e.ID, "stale")
		}
	}
	if ended.Result == ResultUnanswered || ended.Result == ResultReplaced {
		e.suspected = true
	}
}

// assumeOutcome assumes the state that follows from an accepted order, until the engine
// reports its state.
func (f *Former) assumeOutcome(now time.Time, e *engine, o Operation) {
	switch o := o.(type) {
	case Join:
		rank := slices.Index(o.Members, e.ID)
		e.assumeMembership(now, endpointlister.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: endpointlister.MemberJoining})
		e.lastModel = o.Model
	case Close:
		m := e.Membership
		m.State = endpointlister.MemberClosing
		e.assumeMembership(now, m)
	case Leave:
		e.assumeMembership(now, endpointlister.Membership{})
		if g := f.groups[o.Group]; g != nil && g.epoch == o.Epoch && g.members[0] == e.ID {
			g.headLeft = true
		}
	case Stage:
		e.stagingModel, e.stagingDeadline = o.Model, now.Add(stageLimit)
	}
}

// operationGroup returns the group of an operation, or "" if it has none.
func operationGroup(o Operation) identifier.Group {
	switch o := o.(type) {
	case Join:
		return o.Group
	case Open:
		return o.Group
	case Close:
		return o.Group
	case Leave:
		return o.Group
	}
	return ""
}

// sendOrder sends an order to e, unless another order is pending or e's state is uncertain. It
// reports whether it sent the order.
func (f *Former) sendOrder(now time.Time, e *engine, o Operation) bool {
	if e.pending != nil || e.uncertain {
		return false
	}
	f.ordersIssued++
	order := Order{ID: e.ID, Number: f.ordersIssued, Expected: e.acceptedOrders, Operation: o}
	e.pending, e.pendingSince = &order, now
	f.emit(order)
	return true
}
