package grouper

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// planOrders compares the reports of the endpoints of r's fabric domain with r and returns
// orders for the endpoints whose report differs. An endpoint that reports another group is
// released first. The number of concurrent loads is limited. Groups that lack the fewest ready
// members come first, so that some groups serve early instead of all groups late.
func (c *Core) planOrders(now time.Time, r *recordState) []Action {
	var out []Action
	loading := c.countLoading(now, r.Record.FabricDomain)
	for _, t := range c.orderTasks(r) {
		o, ok := c.nextOrder(t.ep, t.group, r)
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

// task is an endpoint with the group that the record assigns to its current process, or nil.
type task struct {
	ep    *endpointState
	group *Assignment
	rank  int // order in which the tasks are handled, the lowest first
}

// orderTasks returns a task for each endpoint of the fabric domain, sorted by the order in
// which the endpoints receive orders.
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
				byEndpoint[m.Endpoint] = task{ep: ep, group: a, rank: rank + 1}
			}
		}
	}
	var out []task
	for _, ep := range c.sortedEndpoints(r.Record.FabricDomain) {
		t := byEndpoint[ep.Endpoint]
		t.ep = ep
		if t.group == nil && ep.Group == "" {
			t.rank = len(groups) + 1 // idle endpoints load last
		}
		out = append(out, t)
	}
	slices.SortStableFunc(out, func(a, b task) int { return cmp.Compare(a.rank, b.rank) })
	return out
}

// countUnready returns how many members of a do not serve a.
func (c *Core) countUnready(a *Assignment) int {
	n := 0
	for _, m := range a.Members {
		if ep := c.endpoints[m.Endpoint]; ep == nil || !ep.Serves(a, m) {
			n++
		}
	}
	return n
}

// stuckLoadFactor is the multiple of the average load time after which a load counts as stuck.
const stuckLoadFactor = 4

// countLoading returns how many endpoints of fd load a model; stuck loads do not count.
func (c *Core) countLoading(now time.Time, fd identifier.FabricDomain) int {
	n := 0
	for _, ep := range c.endpoints {
		if ep.FabricDomain == fd && ep.Fresh && c.isLoadInProgress(now, ep) {
			n++
		}
	}
	return n
}

// isLoadInProgress reports whether ep loads a model and the load is not stuck.
func (c *Core) isLoadInProgress(now time.Time, ep *endpointState) bool {
	return !ep.loadingSince.IsZero() && now.Sub(ep.loadingSince) < stuckLoadFactor*c.loadTime()
}

// isLoadingModel reports whether ep is already loading m. An assignment during the load might
// restart the load, and has no benefit before the load ends.
func (c *Core) isLoadingModel(now time.Time, ep *endpointState, m model) bool {
	return ep.orderedModel == m && ep.modelProcess == ep.ProcessStart && c.isLoadInProgress(now, ep)
}

// nextOrder returns the order that makes the report of ep match r, and whether an order is
// needed.
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

// idleOrder returns the order for an endpoint that is in no group, and whether an order is
// needed. The endpoint is ordered to load the model that it would need to replace a lost
// member. If it checks fencing numbers, it is released once more, so that it refuses older
// orders.
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

// preloadModel returns the model of the group for which ep is reserved as standby, or else of
// the pool with the highest priority that has groups in the failure domain.
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

// canJoinWithoutLoad reports whether ep can follow an order about a without a load, as far as
// this core knows.
func (ep *endpointState) canJoinWithoutLoad(a *Assignment) bool {
	return ep.hasModel(a.model()) || ep.Loaded && ep.Group == a.Group && ep.BundleVersion == a.BundleVersion
}

// hasModel reports whether ep's current process has loaded m on an order of this core.
func (ep *endpointState) hasModel(m model) bool {
	return ep.Loaded && ep.orderedModel == m && ep.modelProcess == ep.ProcessStart
}
