package scheduler

import (
	"maps"
	"slices"
)

// copyFor returns a copy of s on which the arrival of q can be played without a change of s. Everything that the arrival may
// change is copied: what belongs to q's pool, its targets with their processes' limits, the peers, and the counters. The
// rest is shared, so that a copy does not cost the whole state.
func (s *Scheduler) copyFor(q *Request) *Scheduler {
	c := *s
	c.actions, c.free, c.ranked, c.random = nil, nil, nil, nil
	c.budget.balances, c.budget.requests = maps.Clone(s.budget.balances), copyValues(s.budget.requests)
	c.rates, c.demand.pools, c.latency.reports = copyValues(s.rates), copyValues(s.demand.pools), maps.Clone(s.latency.reports)
	c.targets, c.pools, c.queues = maps.Clone(s.targets), maps.Clone(s.pools), maps.Clone(s.queues)
	c.flights, c.copies, c.cold = maps.Clone(s.flights), maps.Clone(s.copies), maps.Clone(s.cold)
	c.peers = slices.Clone(s.peers)
	for i, p := range c.peers {
		copied := *p
		c.peers[i] = &copied
	}
	if waiting := s.queues[q.Pool]; waiting != nil {
		c.queues[q.Pool] = &queue{flights: slices.Clone(waiting.flights)}
	}
	if pl := s.pools[q.Pool]; pl != nil {
		c.setPoolCopy(pl, q)
	}
	return &c
}

// setPoolCopy replaces pl by a copy in s, which is itself a copy, and adapts what refers to its targets.
func (s *Scheduler) setPoolCopy(pl *pool, q *Request) {
	copied := *pl
	model := *pl.capacity.model
	copied.capacity.model = &model
	copied.targets, copied.homes = slices.Clone(pl.targets), slices.Clone(pl.homes)
	copies := map[*target]*target{}
	for i, t := range pl.targets {
		u := *t
		u.pool, u.attempts = &copied, maps.Clone(t.attempts)
		if t.statement != nil {
			st := *t.statement
			u.statement = &st
		}
		copies[t], copied.targets[i], s.targets[t.ID] = &u, &u, &u
	}
	for i, t := range copied.homes {
		copied.homes[i] = copies[t]
	}
	s.pools[pl.name] = &copied
	if q.Fingerprint != 0 {
		for ref, f := range s.flights {
			if f.Fingerprint == q.Fingerprint {
				s.flights[ref] = f.withTargets(copies)
			}
		}
	}
	waiting := s.queues[q.Pool]
	if waiting == nil {
		return
	}
	for i, f := range waiting.flights { // an arrival can end the holds of waiting requests and place them
		if s.flights[f.ref] == f {
			s.flights[f.ref] = f.withTargets(copies)
		}
		waiting.flights[i] = s.flights[f.ref]
	}
}

// withTargets returns a copy of f whose attempts, ended ones too, are at copies of their targets.
func (f *flight) withTargets(copies map[*target]*target) *flight {
	out := *f
	out.running, out.tried = slices.Clone(f.running), slices.Clone(f.tried)
	for i, o := range out.tried {
		if u := copies[o.target]; u != nil {
			out.tried[i].target = u
		}
	}
	for i, a := range out.running {
		if u := copies[a.target]; u != nil {
			b := *a
			b.target = u
			out.running[i] = &b
		}
	}
	return &out
}

// copyValues returns a copy of m with copies of its values.
func copyValues[K comparable, V any](m map[K]*V) map[K]*V {
	out := make(map[K]*V, len(m))
	for k, v := range m {
		copied := *v
		out[k] = &copied
	}
	return out
}
