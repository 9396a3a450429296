package grouper

import (
	"time"

	"amaranthmill/internal/identifier"
)

// adoptSuccessions replaces an assignment of the record by the succession that the standby of
// the assignment reports.
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

// reportedSuccession returns the succession of a that its standby reports, if any. If several
// successions were ordered, the standby's report determines which one applies.
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

// successionOrders returns orders that carry out successions contained in the record. They
// apply to groups that lost one member and whose record was not repaired in time, because no
// lease holder can reach the platform.
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

// dueSuccession returns the succession of a that is due, if any: the group has lost exactly
// one member, for longer than a lease holder would wait before it replaces the member.
func (c *Core) dueSuccession(now time.Time, a *Assignment) (Assignment, bool) {
	successions := a.Successions()
	lost := -1
	for i, m := range a.Members {
		ep := c.endpoints[m.Endpoint]
		switch {
		case ep == nil:
			return Assignment{}, false
		case ep.Group == a.Group && ep.Epoch > a.Epoch:
			return Assignment{}, false // the record known here is outdated
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
	ep, standby := c.endpoints[a.Members[lost].Endpoint], c.endpoints[a.Standby.Endpoint]
	if standby == nil || !standby.Fresh || standby.Leaving || standby.Group != "" || standby.ProcessStart != a.Standby.ProcessStart {
		return Assignment{}, false
	}
	since := ep.lostSince
	if since.IsZero() || now.Sub(since) < c.replaceDelay(ep, standby.hasModel(a.model()))+c.policy.SuccessionDelay {
		return Assignment{}, false
	}
	return successions[lost], true
}

// orderRemaining orders the members of s that report another, not newer, epoch of the group to
// join s.
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

// orderMember orders ep to join s, unless an earlier order to ep may still take effect.
func (c *Core) orderMember(now time.Time, r *recordState, ep *endpointState, s *Assignment) []Action {
	if now.Before(ep.orderPendingUntil) {
		return nil
	}
	ep.orderPendingUntil = now.Add(c.policy.OrderTTL)
	return []Action{Send{Order: Order{
		Endpoint: ep.Endpoint, Address: ep.Address, Kind: OrderAssign, Fence: r.Revision, Deadline: ep.orderPendingUntil, Group: *s,
	}}}
}

// runsSuccessions reports whether this instance carries out the successions of fd if it does
// not hold the lease.
func (c *Core) runsSuccessions(fd identifier.FabricDomain) bool {
	return c.preferred[fd] && !c.policy.NoStandby
}
