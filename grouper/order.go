package grouper

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// orders compares what the endpoints of r's fabric domain report with what r says, and
// orders those that differ. An endpoint in another group is released first. Only so many
// endpoints load a model at one time: groups that lack least come first, so that some
// serve early instead of all late.
func (c *Core) orders(now time.Time, r *recordState) []Action {
	var out []Action
	loading := c.loading(now, r.Record.FabricDomain)
	for _, t := range c.tasks(r) {
		o, ok := c.order(t.ep, t.a, r)
		if !ok || now.Before(t.ep.ordered) {
			continue
		}
		if o.Kind == OrderAssign && !t.ep.Loaded {
			if loading >= c.policy.LoadsAtOnce {
				continue
			}
			loading++
		}
		o.Deadline = now.Add(c.policy.OrderLife)
		t.ep.ordered = o.Deadline
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

// tasks returns the endpoints in the order in which they should be given orders.
func (c *Core) tasks(r *recordState) []task {
	groups := make([]*Assignment, len(r.Record.Groups))
	for i := range groups {
		groups[i] = &r.Record.Groups[i]
	}
	slices.SortStableFunc(groups, func(a, b *Assignment) int {
		return cmp.Or(cmp.Compare(c.priority(b), c.priority(a)), cmp.Compare(c.unready(a), c.unready(b)))
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
	for _, ep := range c.sorted(r.Record.FabricDomain) {
		t := byEndpoint[ep.Endpoint]
		t.ep = ep
		out = append(out, t)
	}
	slices.SortStableFunc(out, func(a, b task) int { return cmp.Compare(a.rank, b.rank) })
	return out
}

// unready returns how many members of a do not serve it.
func (c *Core) unready(a *Assignment) int {
	n := 0
	for _, m := range a.Members {
		if ep := c.endpoints[m.Endpoint]; ep == nil || !ep.Serves(a, m) {
			n++
		}
	}
	return n
}

// stuckLoads is how many times the usual time of a load makes it count as stuck.
const stuckLoads = 4

// loading returns how many endpoints of fd load a model; those that are stuck do not count.
func (c *Core) loading(now time.Time, fd identifier.FabricDomain) int {
	n := 0
	for _, ep := range c.endpoints {
		underWay := !ep.loadingSince.IsZero() && now.Sub(ep.loadingSince) < stuckLoads*c.loadTime()
		if ep.FabricDomain == fd && ep.Fresh && underWay {
			n++
		}
	}
	return n
}

// order returns what ep must be told so that its report comes to match r, if anything.
func (c *Core) order(ep *endpointState, a *Assignment, r *recordState) (Order, bool) {
	o := Order{Endpoint: ep.Endpoint, Address: ep.Address, Fence: r.Revision, Kind: OrderRelease}
	switch {
	case !ep.Fresh:
		return o, false
	case a == nil && ep.Group == "":
		// A release of an endpoint that is in no group makes it refuse older orders.
		return o, !ep.fenced() && r.Revision != 0 && !ep.freeSince.IsZero() && c.policy.FencingEndpoints(ep.Endpoint)
	case a == nil, ep.Group != "" && ep.Group != a.Group:
		return o, true
	}
	o.Kind, o.Group = OrderAssign, *a
	return o, ep.Group != a.Group || ep.Epoch != a.Epoch || ep.BundleVersion != a.BundleVersion
}
