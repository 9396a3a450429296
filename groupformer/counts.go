package groupformer

import (
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// countsInterval is the interval between two reports of the group counts.
const countsInterval = time.Second

// emitCounts reports the number of groups of each model.
func (f *Former) emitCounts(now time.Time, domains []*domain) {
	if now.Sub(f.countsEmittedAt) < countsInterval {
		return
	}
	f.countsEmittedAt = now
	counts := map[poolKey]*GroupCounts{}
	var keys []poolKey
	for _, d := range domains {
		idle, live := len(f.freeEngines(d)), d.countLive()
		for _, m := range d.profile.Models {
			k := poolKey{d.service, m.Name}
			if counts[k] == nil {
				counts[k] = &GroupCounts{Service: d.service, Model: m.Name, Demand: f.demandEngines(d.service, m)}
				keys = append(keys, k)
			}
			c := counts[k]
			c.Engines += live
			c.Idle += idle
			c.TargetGroups += f.targetGroups(d, m, live)
		}
	}
	for _, g := range f.groups {
		c := counts[poolKey{g.service, g.model.Name}]
		switch {
		case c == nil:
		case g.phase == phaseServing:
			c.Serving++
			if f.isEvacuated(g) {
				c.Evacuated++
			}
		case g.phase == phaseDissolving:
			c.Dissolving++
		default:
			c.Forming++
		}
	}
	for _, k := range keys {
		f.emit(*counts[k])
	}
}

// demandEngines returns the engines that the present work for a model needs, or zero if it is not known.
func (f *Former) demandEngines(service identifier.Service, m resolver.Model) float64 {
	a := f.allocations[service]
	if a == nil {
		return 0
	}
	n, _ := a.needOf(m.Name)
	return n.present * float64(m.GroupSize)
}
