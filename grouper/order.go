package grouper

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// planOrders compares what the endpoints of r's fabric domain report with what r says, and
// planOrders those that differ. An endpoint in another group is released first. Only so many
// endpoints load a model at one time: groups that lack least come first, so that some
// serve early instead of all late.
func (c *Core) planOrders(now time.Time, r *recordState) []Action {
	var out []Action
	loading := c.countLoading(now, r.Record.FabricDomain)
	for _, t := range c.orderTasks(r) {
		o, ok := c.nextOrder(t.ep, t.a, r)
		if !ok || now.Before(t.ep.orderPendingUntil) || o.Kind == OrderAssign && c.isLoadingModel(now, t.ep, o.Group.model()) {
			continue
		}
		if o.Kind != OrderRelease && !t.ep.canJoinWithoutLoad(&o.Group) {
			if loading >= c.policy.MaxConcurrentLoads {
				continue
			}
			loading++
		}
		o.Deadline = now.Add(c.policy.OrderTTL)
		t.ep.orderPendingUntil = o.Deadline
		out = append(out, Send{Order: o})
	}
	return out
}

// task is an endpoint with the group that the record gives to its present process, or nil.
type task struct {
	ep   *endpointState
	a    *Assignment
	rank int // among the groups
}

// orderTasks returns the endpoints in the order in which they should be given orders.
func (c *Core) orderTasks(r *recordState) []task {
	groups := make([]*Assignment, len(r.Record.Groups))
	for i := range groups {
		groups[i] = &r.Record.Groups[i]
	}
	slices.SortStableFunc(groups, func(a, b *Assignment) int {
		return cmp.Or(cmp.Compare(c.priority(b), c.priority(a)), cmp.Compare(c.countUnready(a), c.countUnready(b)))
	})
	byEndpoint := map[identifier.Endpoint]task{}
	for rank, a := range groups {
		for _, m := range a.Members {
			if ep := c.endpoints[m.Endpoint]; ep != nil && ep.ProcessStart == m.ProcessStart {
				byEndpoint[m.Endpoint] = task{ep: ep, a: a, rank: rank + 1}
			}
		}
	}
	var out []task
	for _, ep := range c.sortedEndpoints(r.Record.FabricDomain) {
		t := byEndpoint[ep.Endpoint]
		t.ep = ep
		if t.a == nil && ep.Group == "" {
			t.rank = len(groups) + 1 // idle endpoints load last
		}
		out = append(out, t)
	}
	slices.SortStableFunc(out, func(a, b task) int { return cmp.Compare(a.rank, b.rank) })
	return out
}

// countUnready returns how many members of a do not serve it.
func (c *Core) countUnready(a *Assignment) int {
	n := 0
	for _, m := range a.Members {
		if ep := c.endpoints[m.Endpoint]; ep == nil || !ep.Serves(a, m) {
			n++
		}
	}
	return n
}

// stuckLoadFactor is how many times the usual time of a load makes it count as stuck.
const stuckLoadFactor = 4

// countLoading returns how many endpoints of fd load a model; those that are stuck do not count.
func (c *Core) countLoading(now time.Time, fd identifier.FabricDomain) int {
	n := 0
	for _, ep := range c.endpoints {
		if ep.FabricDomain == fd && ep.Fresh && c.isLoadInProgress(now, ep) {
			n++
		}
	}
	return n
}

// isLoadInProgress reports whether ep loads a model and is not stuck.
func (c *Core) isLoadInProgress(now time.Time, ep *endpointState) bool {
	return !ep.loadingSince.IsZero() && now.Sub(ep.loadingSince) < stuckLoadFactor*c.loadTime()
}

// isLoadingModel reports whether ep loads m already. A new role now might make it begin again, and
// gains nothing before it has loaded.
func (c *Core) isLoadingModel(now time.Time, ep *endpointState, m model) bool {
	return ep.orderedModel == m && ep.modelProcess == ep.ProcessStart && c.isLoadInProgress(now, ep)
}

// nextOrder returns what ep must be told so that its report comes to match r, if anything.
func (c *Core) nextOrder(ep *endpointState, a *Assignment, r *recordState) (Order, bool) {
	o := Order{Endpoint: ep.Endpoint, Address: ep.Address, Fence: r.Revision, Kind: OrderRelease}
	switch {
	case !ep.Fresh:
		return o, false
	case a == nil && ep.Group == "":
		return c.idleOrder(ep, r, o)
	case a == nil, ep.Group != "" && ep.Group != a.Group:
		return o, true
	}
	o.Kind, o.Group = OrderAssign, *a
	return o, ep.Group != a.Group || ep.Epoch != a.Epoch || ep.BundleVersion != a.BundleVersion
}

// idleOrder returns what an endpoint in no group must be told: to load the model that it
// would need if it took a lost member's place, or, if it checks fencing numbers, to be
// released once more, so that it refuses older orders.
func (c *Core) idleOrder(ep *endpointState, r *recordState, o Order) (Order, bool) {
	if r.Revision == 0 || ep.freeSince.IsZero() || ep.Leaving {
		return o, false
	}
	m, wanted := c.preloadModel(ep, r)
	if wanted && !c.policy.NoPreload && (ep.orderedModel != m || ep.modelProcess != ep.ProcessStart) {
		o.Kind, o.Group = OrderLoad, Assignment{Base: m.base, Version: m.version}
		return o, true
	}
	return o, !ep.isFenced() && c.policy.FencingEndpoints(ep.Endpoint)
}

// preloadModel returns the model of the group that ep is promised to, or else of the pool with the
// highest priority that has groups in the failure domain.
func (c *Core) preloadModel(ep *endpointState, r *recordState) (model, bool) {
	for i := range r.Record.Groups {
		a := &r.Record.Groups[i]
		if a.Standby != nil && a.Standby.Endpoint == ep.Endpoint {
			return a.model(), true
		}
	}
	for _, pool := range c.poolsByPriority() {
		if c.wantedGroups(pool) > 0 {
			return model{base: pool.Base, version: pool.Version}, true
		}
	}
	return model{}, false
}

// canJoinWithoutLoad reports whether ep need not load to follow an order about a, as far as this core knows.
func (ep *endpointState) canJoinWithoutLoad(a *Assignment) bool {
	return ep.hasModel(a.model()) || ep.Loaded && ep.Group == a.Group && ep.BundleVersion == a.BundleVersion
}

// hasModel reports whether ep's present process hasModel loaded m, as far as this core ordered it.
func (ep *endpointState) hasModel(m model) bool {
	return ep.Loaded && ep.orderedModel == m && ep.modelProcess == ep.ProcessStart
}
