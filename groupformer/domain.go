package groupformer

import (
	"cmp"
	"maps"
	"slices"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// domain holds the listed engines of one service in one fabric domain.
type domain struct {
	service       identifier.Service
	profile       *resolver.EngineProfile
	name          identifier.FabricDomain
	failureDomain identifier.FailureDomain
	engines       []*engine // sorted by ID
}

// domains returns the domains, sorted by service and name.
func (f *Former) domains() []*domain {
	type key struct {
		service identifier.Service
		name    identifier.FabricDomain
	}
	byKey := map[key]*domain{}
	for _, e := range f.sortedEngines() {
		profile := f.services[e.Service]
		if profile == nil || !e.listed {
			continue
		}
		k := key{e.Service, e.FabricDomain}
		if byKey[k] == nil {
			byKey[k] = &domain{service: e.Service, profile: profile, name: e.FabricDomain, failureDomain: e.FailureDomain}
		}
		byKey[k].engines = append(byKey[k].engines, e)
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b *domain) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.name, b.name))
	})
}

// freeEngines returns the engines of d that belong to no group and can accept an order.
func (f *Former) freeEngines(d *domain) []*engine {
	var out []*engine
	for _, e := range d.engines {
		if e.isUsable() && !f.isAssigned(e) {
			out = append(out, e)
		}
	}
	return out
}

// isAssigned reports whether e belongs to a group that forms, serves or has not released its
// members yet.
func (f *Former) isAssigned(e *engine) bool {
	f.updateAssigned()
	if e.assigned {
		return true
	}
	g := f.groups[e.Membership.Group]
	return g != nil && g.epoch == e.Membership.Epoch
}

// updateAssigned recomputes engine.assigned if groups or engines have changed.
func (f *Former) updateAssigned() {
	if f.assignedCurrent {
		return
	}
	f.assignedCurrent = true
	for _, e := range f.engines {
		e.assigned = false
	}
	for _, g := range f.groups {
		for _, id := range g.members {
			if e := f.engines[id]; e != nil {
				e.assigned = true
			}
		}
	}
}

// modelsBySize returns the models, those with the largest groups first, because large groups
// are the hardest to complete.
func (d *domain) modelsBySize() []resolver.Model {
	out := slices.Clone(d.profile.Models)
	slices.SortStableFunc(out, func(a, b resolver.Model) int { return cmp.Compare(b.GroupSize, a.GroupSize) })
	return out
}

// countLive returns the number of d's engines that are neither dead nor draining, so that a
// group can include them now or later.
func (d *domain) countLive() int {
	n := 0
	for _, e := range d.engines {
		if !e.isDeadOrDraining() {
			n++
		}
	}
	return n
}
