package grouper

import (
	"time"

	"amaranthmill/internal/identifier"
)

// adoptSuccessions makes a succession that a standby reports the record's own assignment.
func (p *planner) adoptSuccessions() {
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		s, ok := p.core.reportedSuccession(a)
		if !ok {
			continue
		}
		p.recordDecision(a.Group, a.Standby.Endpoint, DecisionSucceed)
		*a = s
	}
}

// reportedSuccession returns the succession of a that its standby reports, if any. The standby's own
// report settles which of several that were ordered stands.
func (c *Core) reportedSuccession(a *Assignment) (Assignment, bool) {
	if a.Standby == nil {
		return Assignment{}, false
	}
	ep := c.endpoints[a.Standby.Endpoint]
	if ep == nil || !ep.Fresh || ep.ProcessStart != a.Standby.ProcessStart || ep.Group != a.Group {
		return Assignment{}, false
	}
	for _, s := range a.Successions() {
		if s.Epoch == ep.Epoch {
			return s, true
		}
	}
	return Assignment{}, false
}

// successionOrders carries out what the record agreed beforehand, for groups that lost one member
// and whose record did not move although it was time: no holder reaches the platform.
func (c *Core) successionOrders(now time.Time, r *recordState) []Action {
	var out []Action
	for i := range r.Record.Groups {
		a := &r.Record.Groups[i]
		s, ok := c.reportedSuccession(a)
		if ok {
			out = append(out, c.orderRemaining(now, r, &s)...)
			continue
		}
		if s, ok = c.dueSuccession(now, a); ok {
			ep := c.endpoints[a.Standby.Endpoint]
			out = append(out, c.orderMember(now, r, ep, &s)...)
		}
	}
	return out
}

// dueSuccession returns the succession for which it is time, if a lost exactly one member for longer
// than a holder of the lease would have let pass.
func (c *Core) dueSuccession(now time.Time, a *Assignment) (Assignment, bool) {
	successions := a.Successions()
	lost := -1
	for i, m := range a.Members {
		ep := c.endpoints[m.Endpoint]
		switch {
		case ep == nil:
			return Assignment{}, false
		case ep.Group == a.Group && ep.Epoch > a.Epoch:
			return Assignment{}, false // the record that is known here is old
		case ep.Fresh && ep.ProcessStart == m.ProcessStart:
		case lost >= 0:
			return Assignment{}, false
		default:
			lost = i
		}
	}
	if lost < 0 || len(successions) == 0 {
		return Assignment{}, false
	}
	ep, sp := c.endpoints[a.Members[lost].Endpoint], c.endpoints[a.Standby.Endpoint]
	if sp == nil || !sp.Fresh || sp.Leaving || sp.Group != "" || sp.ProcessStart != a.Standby.ProcessStart {
		return Assignment{}, false
	}
	since := ep.lostSince
	if since.IsZero() || now.Sub(since) < c.replaceDelay(sp.hasModel(a.model()))+c.policy.SuccessionDelay {
		return Assignment{}, false
	}
	return successions[lost], true
}

// orderRemaining orders the members of a succession that do not report it yet.
func (c *Core) orderRemaining(now time.Time, r *recordState, s *Assignment) []Action {
	var out []Action
	for _, m := range s.Members {
		ep := c.endpoints[m.Endpoint]
		if ep == nil || !ep.Fresh || ep.ProcessStart != m.ProcessStart || ep.Group != s.Group ||
			ep.Epoch == s.Epoch || BaseEpoch(ep.Epoch) > BaseEpoch(s.Epoch) {
			continue
		}
		out = append(out, c.orderMember(now, r, ep, s)...)
	}
	return out
}

// orderMember orders ep to join s, unless an order to it may still be under way.
func (c *Core) orderMember(now time.Time, r *recordState, ep *endpointState, s *Assignment) []Action {
	if now.Before(ep.orderPendingUntil) {
		return nil
	}
	ep.orderPendingUntil = now.Add(c.policy.OrderTTL)
	return []Action{Send{Order: Order{
		Endpoint: ep.Endpoint, Address: ep.Address, Kind: OrderAssign, Fence: r.Revision, Deadline: ep.orderPendingUntil, Group: *s,
	}}}
}

// runsSuccessions reports whether this instance carries out the successions of fd.
func (c *Core) runsSuccessions(fd identifier.FabricDomain) bool {
	return c.preferred[fd] && !c.policy.NoStandby
}
