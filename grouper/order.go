package grouper

import (
	"time"
)

// orders compares what the endpoints of r's fabric domain report with what r says, and
// orders those that differ. An endpoint in another group is released first.
func (c *Core) orders(now time.Time, r *recordState) []Action {
	var out []Action
	assigned := map[*endpointState]*Assignment{}
	for i := range r.Record.Groups {
		a := &r.Record.Groups[i]
		for _, m := range a.Members {
			if ep := c.endpoints[m.Endpoint]; ep != nil && ep.ProcessStart == m.ProcessStart {
				assigned[ep] = a
			}
		}
	}
	loading := 0
	for _, ep := range c.sorted(r.Record.FabricDomain) {
		if ep.Fresh && ep.Group != "" && !ep.Loaded {
			loading++
		}
	}
	for _, ep := range c.sorted(r.Record.FabricDomain) {
		o, ok := c.order(ep, assigned[ep], r)
		if !ok || now.Before(ep.ordered) {
			continue
		}
		if o.Kind == OrderAssign && !ep.Loaded {
			if loading >= c.policy.LoadsAtOnce {
				continue
			}
			loading++
		}
		o.Deadline = now.Add(c.policy.OrderLife)
		ep.ordered = o.Deadline
		out = append(out, Send{Order: o})
	}
	return out
}

// order returns what ep must be told so that its report comes to match r, if anything.
func (c *Core) order(ep *endpointState, a *Assignment, r *recordState) (Order, bool) {
	o := Order{Endpoint: ep.Endpoint, Address: ep.Address, Fence: r.Revision, Kind: OrderRelease}
	switch {
	case !ep.Fresh:
		return o, false
	case a == nil && ep.Group == "":
		return o, !ep.fenced() && r.Revision != 0 && !ep.freeSince.IsZero() && c.policy.FencingEndpoints(ep.Endpoint)
	case a == nil, ep.Group != "" && ep.Group != a.Group:
		return o, true
	}
	o.Kind, o.Group = OrderAssign, *a
	return o, ep.Group != a.Group || ep.Epoch != a.Epoch || ep.BundleVersion != a.BundleVersion
}
