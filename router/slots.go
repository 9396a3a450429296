package router

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// setSlots tells how many requests of each pool this instance may have under way: what
// the others leave of the ready targets' capacity, at least an equal share of it, and
// an equal share of what peers in other failure domains can take.
func (r *Router) setSlots(now time.Time) {
	pools := map[identifier.Pool]int{}
	for pool := range r.slots {
		pools[pool] = 0
	}
	for pool, p := range r.table.pools {
		pools[pool] = r.ownSlots(now, p.targets)
	}
	for i := range r.remotes {
		for _, p := range r.remotes[i].Pools {
			pools[p.Pool] += p.Free / r.table.instances
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if old, ok := r.slots[pool]; !ok || old != pools[pool] {
			r.slots[pool] = pools[pool]
			r.act(SetSlots{Pool: pool, Slots: pools[pool]})
		}
	}
}

func (r *Router) ownSlots(now time.Time, targets []*target) int {
	capacity, others := 0, 0.0
	for _, t := range targets {
		if t.isReady(now, r.cfg.SuspensionTime) {
			capacity += t.Capacity
			others += min(t.others, float64(t.Capacity))
		}
	}
	share := (capacity + r.table.instances - 1) / r.table.instances
	return max(capacity-int(others), share)
}
