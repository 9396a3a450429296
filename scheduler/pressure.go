package scheduler

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// pressureEvery is the time between two accounts of how requests fared.
const pressureEvery = time.Second

// pressure counts how requests fare, by pool.
type pressure struct {
	since  time.Time
	counts map[identifier.Pool]LatencyReport
}

// count takes in a request that got its first event or whole answer, or none at all.
func (c *pressure) count(f *flight, late bool) {
	if c.counts == nil {
		c.counts = map[identifier.Pool]LatencyReport{}
	}
	n := c.counts[f.Pool]
	n.Pool, n.service = f.Pool, f.Service
	n.Requests++
	if late {
		n.MissedGoal++
	}
	c.counts[f.Pool] = n
}

// tellPressure gives account of the last second once it is over.
func (p *Scheduler) tellPressure(now time.Time) {
	if now.Sub(p.pressure.since) < pressureEvery {
		return
	}
	p.pressure.since = now
	for _, pool := range slices.Sorted(maps.Keys(p.pressure.counts)) {
		n := p.pressure.counts[pool]
		n.RetriesLeft = p.budget.left(n.service)
		p.act(n)
	}
	clear(p.pressure.counts)
}
