package groupformer

import "time"

// countsInterval is the time between two accounts of the groups there are.
const countsInterval = time.Second

// emitCounts tells how many groups of each model there are.
func (f *Former) emitCounts(now time.Time, domains []*domain) {
	if now.Sub(f.countsEmittedAt) < countsInterval {
		return
	}
	f.countsEmittedAt = now
	accounts := map[poolKey]*GroupCounts{}
	var order []poolKey
	for _, d := range domains {
		idle, alive := len(f.freeEngines(d)), d.countLive()
		for _, m := range d.profile.Models {
			k := poolKey{d.service, m.Name}
			if accounts[k] == nil {
				accounts[k] = &GroupCounts{Service: d.service, Model: m.Name}
				order = append(order, k)
			}
			a := accounts[k]
			a.Engines += alive
			a.Idle += idle
			a.TargetGroups += f.targetGroups(d, m, alive)
		}
	}
	for _, g := range f.groups {
		a := accounts[poolKey{g.service, g.model.Name}]
		switch {
		case a == nil:
		case g.phase == phaseServing:
			a.Serving++
		case g.phase == phaseDissolving:
			a.Dissolving++
		default:
			a.Forming++
		}
	}
	for _, k := range order {
		f.emit(*accounts[k])
	}
}
