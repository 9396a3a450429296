package grouper

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// repair mends groups that lost members: the highest priority first, then those that lack least.
func (p *planner) repair() {
	var broken []*Assignment
	for i := range p.rec.Groups {
		a := &p.rec.Groups[i]
		if p.core.pool(a.Pool) != nil && len(p.lost(a)) > 0 {
			broken = append(broken, a)
		}
	}
	slices.SortStableFunc(broken, func(a, b *Assignment) int {
		return cmp.Or(cmp.Compare(p.core.priority(b), p.core.priority(a)), cmp.Compare(len(p.lost(a)), len(p.lost(b))))
	})
	for _, a := range broken {
		p.repairGroup(a)
	}
	if !p.changed && p.core.policy.Strategy == StrategyWeighted {
		p.breakUp(broken)
	}
}

// lost returns the places of a whose member does not serve and will not without a change of
// the record: away, returned with another process start, or about to leave and done.
func (p *planner) lost(a *Assignment) []int {
	var out []int
	for i, m := range a.Members {
		ep := p.core.endpoints[m.Endpoint]
		if ep == nil || !ep.Fresh || ep.ProcessStart != m.ProcessStart || ep.Leaving && p.isQuiet(a) {
			out = append(out, i)
		}
	}
	return out
}

func (p *planner) repairGroup(a *Assignment) {
	mended := false
	for _, i := range p.lost(a) {
		mended = p.mend(a, i) || mended
	}
	if !mended {
		return
	}
	p.refit(a)
}

// refit gives a a new epoch, and the present model of its pool, since its members must take
// a new order anyway.
func (p *planner) refit(a *Assignment) {
	a.Epoch = p.rec.nextEpoch()
	a.Draining = false
	a.Standby = nil // its promise was for the old members
	if pool := p.core.pool(a.Pool); pool != nil {
		p.core.fit(a, pool)
	}
}

// mend readmits or replaces the member at place i of a, and reports whether it did.
func (p *planner) mend(a *Assignment, i int) bool {
	m := &a.Members[i]
	ep := p.core.endpoints[m.Endpoint]
	returned := p.core.isBack(m.Endpoint)
	if p.worthReplacing(a, ep, returned) && p.fillable(a) {
		*m = p.take(a)
		p.note(a.Group, m.Endpoint, DecisionReplace)
		return true
	}
	if !returned || p.now.Sub(ep.lastReturn()) < p.settle(ep) {
		return false
	}
	m.ProcessStart, m.Address = ep.ProcessStart, ep.Address
	p.note(a.Group, m.Endpoint, DecisionReadmit)
	return true
}

// worthReplacing reports whether a free endpoint should take the place of the lost ep now. One
// whose process is gone must load its model again like any other, so there is nothing to wait for.
func (p *planner) worthReplacing(a *Assignment, ep *endpointState, returned bool) bool {
	switch {
	case p.core.policy.Strategy == StrategyWait:
		return false
	case p.core.policy.Strategy == StrategyRebuild:
		return !returned
	case ep == nil, ep.Leaving, ep.Exited:
		return true
	case returned:
		return len(ep.returns) >= flapping || p.ready(a) && !ep.has(a.model())
	}
	return p.now.Sub(ep.awaySince) >= p.core.patience(p.ready(a))
}

// fillable reports whether there are free endpoints for all places of a whose members are not
// back. A group that would lack a member all the same leaves them to another.
func (p *planner) fillable(a *Assignment) bool {
	absent := 0
	for _, i := range p.lost(a) {
		if !p.core.isBack(a.Members[i].Endpoint) {
			absent++
		}
	}
	return len(p.free) >= max(1, absent) || p.core.policy.Strategy == StrategyRebuild && len(p.free) > 0
}

// isBack reports whether a lost endpoint answers again and could be readmitted.
func (c *Core) isBack(name identifier.Endpoint) bool {
	ep := c.endpoints[name]
	return ep != nil && ep.Fresh && !ep.Leaving
}

// ready reports whether the next free endpoint for a has a's model.
func (p *planner) ready(a *Assignment) bool {
	return len(p.free) > 0 && p.free[p.choice(a)].has(a.model())
}

// overdue reports whether ep is away for longer than it pays to wait.
func (p *planner) overdue(ep *endpointState) bool {
	if ep == nil || ep.Exited {
		return true
	}
	return !ep.awaySince.IsZero() && p.now.Sub(ep.awaySince) >= p.core.patience(false)
}

const (
	flapping    = 3                // returns within Policy.FlapWindow that make an endpoint unstable
	settleStep  = 15 * time.Second // for each return of an unstable endpoint before it is readmitted
	settleLimit = 2 * time.Minute
)

// settle returns how long ep must be back before it is readmitted.
func (p *planner) settle(ep *endpointState) time.Duration {
	if len(ep.returns) < flapping || p.core.policy.Strategy != StrategyWeighted {
		return 0
	}
	return min(settleLimit, settleStep*time.Duration(len(ep.returns)-flapping+1))
}

// lastReturn returns when ep last returned, or the zero time.
func (ep *endpointState) lastReturn() time.Time {
	if len(ep.returns) == 0 {
		return time.Time{}
	}
	return ep.returns[len(ep.returns)-1]
}

// breakUp takes a group apart to mend another: among broken is the first whose lost members are
// all overdue and that free endpoints do not mend. The last of the broken gives its members,
// or else a whole group of a lower priority if the weights say so.
func (p *planner) breakUp(broken []*Assignment) {
	overdue := slices.DeleteFunc(slices.Clone(broken), func(a *Assignment) bool { return !p.stuck(a) })
	if len(overdue) == 0 {
		return
	}
	a := overdue[0]
	need := len(p.lost(a)) - len(p.free)
	if last := overdue[len(overdue)-1]; last != a && len(last.Members)-len(p.lost(last)) >= need {
		p.remove(last)
		return
	}
	for i := len(p.rec.Groups) - 1; i >= 0; i-- {
		d := &p.rec.Groups[i]
		if p.core.priority(d) < p.core.priority(a) && len(d.Members) >= need && p.core.whole(d) && p.worthBreaking(a, d, need) {
			p.drain(d)
			return
		}
	}
}

// stuck reports whether every lost member of a is overdue and not back.
func (p *planner) stuck(a *Assignment) bool {
	for _, i := range p.lost(a) {
		ep := p.core.endpoints[a.Members[i].Endpoint]
		if p.core.isBack(a.Members[i].Endpoint) || !p.overdue(ep) {
			return false
		}
	}
	return true
}

// lowerShare is what the downtime of a group of a lower priority counts.
const lowerShare = 0.5

// worthBreaking reports whether a, which lacks need members, should get those of the whole group
// d, by the bundle's weights: what a costs while it is down, against what d will cost.
func (p *planner) worthBreaking(a, d *Assignment, need int) bool {
	w := p.core.bundle.Repair
	if w.GroupDowntime == 0 && w.StrandedAccelerators == 0 {
		w.GroupDowntime = 1
	}
	down := w.GroupDowntime + w.StrandedAccelerators*float64(len(a.Members)-len(p.lost(a)))
	given := lowerShare*w.GroupDowntime + w.StrandedAccelerators*float64(len(d.Members)-need)
	return down > given
}
