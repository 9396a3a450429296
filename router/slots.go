package router

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// setSlots computes how many requests of each pool this instance may run at once: the
// ready targets' capacity that other instances leave free, but at least an equal share of
// that capacity, plus an equal share of the free capacity of peers in other failure
// domains. It emits SetSlots for each pool whose number changed.
func (r *Router) setSlots(now time.Time) {
	pools := map[identifier.Pool]int{}
	for pool := range r.slots {
		pools[pool] = 0
	}
	for pool, p := range r.table.pools {
		pools[pool] = r.ownSlots(now, p.targets)
	}
	for i := range r.peerLoads {
		for _, p := range r.peerLoads[i].Pools {
			pools[p.Pool] += p.Free / r.table.instances
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if old, ok := r.slots[pool]; !ok || old != pools[pool] {
			r.slots[pool] = pools[pool]
			r.emit(SetSlots{Pool: pool, Slots: pools[pool]})
		}
	}
}

// ownSlots returns the slots of this instance on targets of the local failure domain.
func (r *Router) ownSlots(now time.Time, targets []*target) int {
	capacity, others := 0, 0.0
	for _, t := range targets {
		if t.isReady(now, r.cfg.SuspensionTime) {
			capacity += t.Capacity
			others += min(t.othersInFlight, float64(t.Capacity))
		}
	}
	share := (capacity + r.table.instances - 1) / r.table.instances
	return max(capacity-int(others), share)
}
