package scheduler

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// evacuatedRetryAfter is the time after which a caller should return who is refused because all targets of the
// pool are evacuated. Nothing tells when the operator ends an evacuation.
const evacuatedRetryAfter = 3 * time.Second

// isEvacuated reports whether all targets of p are evacuated, so that none of its requests can be sent.
func (p *pool) isEvacuated() bool { return p.evacuated > 0 && p.evacuated == len(p.targets) }

// isEvacuated reports whether all targets of a pool are evacuated. It returns false for a pool without targets.
func (s *Scheduler) isEvacuated(name identifier.Pool) bool {
	pl := s.pools[name]
	return pl != nil && pl.isEvacuated()
}

// replaceTarget replaces the description of t, which stays in p.
func (p *pool) replaceTarget(t *target, by *Target) {
	if t.Evacuated != by.Evacuated {
		p.version++ // the homes of instances change
	}
	p.countEvacuated(t, -1)
	t.Target = by
	p.countEvacuated(t, 1)
}

// countEvacuated adds n to the number of evacuated targets of p if t is one.
func (p *pool) countEvacuated(t *target, n int) {
	if t.Evacuated {
		p.evacuated += n
	}
}

// refuseEvacuated refuses the requests that wait for a target of a pool whose targets are all evacuated.
func (s *Scheduler) refuseEvacuated(now time.Time) {
	for _, pool := range slices.Sorted(maps.Keys(s.queues)) {
		if !s.isEvacuated(pool) {
			continue
		}
		for _, f := range slices.Clone(s.queues[pool].flights) {
			s.giveUp(now, f, ReasonEvacuated)
		}
	}
}
