package groupformer

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// phase is a stage in the life cycle of a group.
type phase uint8

const (
	phaseForming    phase = iota // the members join
	phaseOpening                 // the head was ordered to open
	phaseServing                 // the head is open
	phaseDissolving              // the head closes and leaves, then the members are released
)

// group is one epoch of a replica group.
type group struct {
	name          identifier.Group
	epoch         identifier.Epoch
	model         resolver.Model
	service       identifier.Service
	members       []identifier.Endpoint // the head first
	phase         phase
	phaseSince    time.Time               // when the phase began
	graceful      bool                    // running requests may complete while it dissolves
	headLeft      bool                    // the head accepted the order to leave
	adopted       bool                    // an earlier holder of the lease formed it
	reassignedTo  string                  // the model whose group its engines will complete; empty for none
	reassignedIn  identifier.FabricDomain // the fabric domain of that group
	lent          bool                    // its requests complete before its engines go to another model; only where demand can be estimated
	needsLoad     bool                    // a member must load weights to join
	openOrderedAt time.Time               // when the head was last ordered to open
}

// Time limits of a group's phases.
const (
	listSettleTime         = 1300 * time.Millisecond // at the first start, the time without a new engine after which all engines are assumed to be listed
	incompleteServingLimit = 6 * time.Second         // after which a serving adopted group counts as incomplete if members are missing
	unlistedHeadLimit      = 30 * time.Second        // after which a dissolving group releases its members if its head was never listed
	joinLimit              = 6 * time.Second         // for all members to become ready, beyond the time of their loads
	maxLoadsInTurn         = 3                       // loads that a member may have to wait for in turn, including its own

	incompleteFormingLimit = 2 * time.Second         // for the last member of an adopted group to appear
	reopenInterval         = time.Second             // between two orders to open
	gracefulCloseLimit     = 2500 * time.Millisecond // after which a graceful close becomes immediate
	lentCloseLimit         = 20 * time.Second        // the same for a group that gives its engines to another model: its requests run to completion, and the longest deadline is 8 s
	reportDelayLimit       = 800 * time.Millisecond  // beyond the expected time, after which an engine is queried
	warmJoinTime           = 2 * time.Second         // expected time of a join without a load
)

// plan takes all decisions that are possible now.
func (f *Former) plan(now time.Time) {
	for _, e := range f.engines {
		e.expireAssumed(now)
	}
	f.discoverGroups(now)
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		f.advance(now, f.groups[name])
	}
	f.orderLeaves(now)
	if f.beforeFirstRequest && now.Sub(f.newEngineAt) < listSettleTime {
		f.queryEngines(now)
		return
	}
	domains := f.domains()
	f.updateAllocations(now, domains)
	supplies := f.supplies(domains)
	for _, d := range domains {
		f.formGroups(now, d, supplies[supplyKey{d.service, d.failureDomain}])
	}
	f.takeOver(now, domains, supplies)
	f.reassignByDemand(now, domains, supplies)
	f.formSpanningGroups(now, domains)
	f.loadWeights(now, domains, supplies)
	f.emitCounts(now, domains)
	f.queryEngines(now)
}

// groupName returns the name of a group, which consists of its head and its epoch.
func groupName(head identifier.Endpoint, epoch identifier.Epoch) identifier.Group {
	return identifier.Group(string(head) + "_" + strconv.FormatUint(uint64(epoch), 36))
}

// advance takes the next step in a group's life cycle, if one is possible now.
func (f *Former) advance(now time.Time, g *group) {
	if lost, reason := f.findLostMember(now, g); lost != "" && g.phase != phaseDissolving {
		g.graceful = reason == "draining" || reason == "unlisted"
		f.dissolve(now, g, lost, reason)
	}
	switch g.phase {
	case phaseForming:
		if g.adopted {
			f.advanceAdopted(now, g)
			return
		}
		f.advanceForming(now, g)
	case phaseOpening:
		f.advanceOpening(now, g)
	case phaseServing:
		if g.adopted && len(g.members) < g.model.GroupSize && now.Sub(g.phaseSince) > incompleteServingLimit {
			f.dissolve(now, g, "", "incomplete")
			return
		}
		f.advanceServing(now, g)
	case phaseDissolving:
		f.advanceDissolving(now, g)
	}
}

// hasMember reports whether e is a member of g in this epoch, as far as known.
func (g *group) hasMember(e *engine) bool {
	return e.Membership.Group == g.name && e.Membership.Epoch == g.epoch
}

// advanceForming orders the members to join, and orders the head to open once all members are
// ready.
func (f *Former) advanceForming(now time.Time, g *group) {
	ready := 0
	for _, id := range g.members {
		e := f.engines[id]
		if e == nil {
			return
		}
		switch {
		case !g.hasMember(e):
			if !e.suspected {
				f.sendOrder(now, e, Join{Group: g.name, Epoch: g.epoch, Model: g.model.Name, Members: g.members})
			}
		case e.Membership.State == endpointlister.MemberReady:
			ready++
		}
	}
	limit := joinLimit
	if g.needsLoad {
		limit += g.model.LoadTime * maxLoadsInTurn
	}
	switch {
	case ready == len(g.members):
		f.orderOpen(now, g)
	case now.Sub(g.phaseSince) > limit:
		f.dissolve(now, g, "", "late")
	case !g.needsLoad && now.Sub(g.phaseSince) > warmJoinTime+reportDelayLimit:
		f.queryUnreadyMembers(g)
	}
}

// queryUnreadyMembers marks the members that are not ready as uncertain, so that they are
// queried.
func (f *Former) queryUnreadyMembers(g *group) {
	for _, id := range g.members {
		if e := f.engines[id]; e != nil && e.Membership.State != endpointlister.MemberReady {
			e.uncertain = true
		}
	}
}

// orderOpen orders the head to open.
func (f *Former) orderOpen(now time.Time, g *group) {
	head := f.engines[g.members[0]]
	if !f.sendOrder(now, head, Open{Group: g.name, Epoch: g.epoch}) {
		return
	}
	if g.phase != phaseOpening {
		f.emit(LogDecision{Group: g.name, Epoch: g.epoch, Model: g.model.Name, Decision: "open", Members: len(g.members), Elapsed: now.Sub(g.phaseSince)})
		g.phase, g.phaseSince = phaseOpening, now
	}
	g.openOrderedAt = now
}

// advanceOpening waits until the head reports that it is open.
func (f *Former) advanceOpening(now time.Time, g *group) {
	head := f.engines[g.members[0]]
	switch head.Membership.State {
	case endpointlister.MemberOpen:
		f.emit(LogDecision{Group: g.name, Epoch: g.epoch, Model: g.model.Name, Decision: "serving", Members: len(g.members), Elapsed: now.Sub(g.phaseSince)})
		g.phase, g.phaseSince = phaseServing, now
	case endpointlister.MemberBroken:
		f.dissolve(now, g, head.ID, "broken")
	case endpointlister.MemberReady:
		if now.Sub(g.openOrderedAt) <= reopenInterval+f.services[g.service].OpenTime {
			return
		}
		if !head.reportedAt.After(g.openOrderedAt) {
			head.uncertain = true // the head may have received the order, so it is queried before the order is repeated
			return
		}
		f.orderOpen(now, g)
	}
}

// advanceServing reacts to the reported state of the head.
func (f *Former) advanceServing(now time.Time, g *group) {
	head := f.engines[g.members[0]]
	if head == nil || !head.listed || len(g.members) < g.model.GroupSize {
		return
	}
	switch head.Membership.State {
	case endpointlister.MemberBroken:
		f.dissolve(now, g, head.ID, "broken")
	case endpointlister.MemberReady:
		if g.adopted { // the head was not listed when the group was adopted
			g.phase, g.phaseSince = phaseForming, now
			return
		}
		if !head.uncertain && head.pending == nil {
			f.orderOpen(now, g)
		}
	}
}

// createGroup starts to form a group of free engines.
func (f *Former) createGroup(now time.Time, service identifier.Service, model resolver.Model, members []*engine) {
	epoch := f.epochs.next()
	g := &group{
		name: groupName(members[0].ID, epoch), epoch: epoch, model: model, service: service, phaseSince: now,
	}
	loads := 0
	for _, e := range members {
		g.members = append(g.members, e.ID)
		e.idleSince = time.Time{}
		if !e.hasStaged(model.Name) && !e.hasLoaded(model.Name) {
			loads++
			e.stagingModel, e.stagingDeadline = model.Name, now.Add(stageLimit)
		}
	}
	if loads > 0 {
		g.needsLoad = true
		f.loadBudgets[service].take(loads)
	}
	f.groups[g.name] = g
	f.assignedCurrent = false
	f.emit(LogDecision{Group: g.name, Epoch: epoch, Model: model.Name, Decision: "form", Members: len(members)})
	f.advanceForming(now, g)
}
