package groupformer

import (
	"cmp"
	"maps"
	"slices"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// domain is the engines of one service in one fabric domain.
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
	found := map[key]*domain{}
	for _, e := range f.sortedEngines() {
		profile := f.services[e.Service]
		if profile == nil || !e.listed {
			continue
		}
		k := key{e.Service, e.FabricDomain}
		if found[k] == nil {
			found[k] = &domain{service: e.Service, profile: profile, name: e.FabricDomain, failureDomain: e.FailureDomain}
		}
		found[k].engines = append(found[k].engines, e)
	}
	return slices.SortedFunc(maps.Values(found), func(a, b *domain) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.name, b.name))
	})
}

// freeEngines returns the engines that no group has and that can take an order.
func (f *Former) freeEngines(d *domain) []*engine {
	var out []*engine
	for _, e := range d.engines {
		if e.isUsable() && !f.isAssigned(e) {
			out = append(out, e)
		}
	}
	return out
}

// isAssigned reports whether a group has e, forms with it or has not given it free.
func (f *Former) isAssigned(e *engine) bool {
	f.updateAssigned()
	if e.assigned {
		return true
	}
	g := f.groups[e.Membership.Group]
	return g != nil && g.epoch == e.Membership.Epoch
}

// updateAssigned notes at the engines whether a group has them.
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

// modelsBySize returns the models, the largest groups first, which are the hardest to complete.
func (d *domain) modelsBySize() []resolver.Model {
	out := slices.Clone(d.profile.Models)
	slices.SortStableFunc(out, func(a, b resolver.Model) int { return cmp.Compare(b.GroupSize, a.GroupSize) })
	return out
}

// countLive returns the engines of d that a group may have now or later.
func (d *domain) countLive() int {
	n := 0
	for _, e := range d.engines {
		if !e.isDeadOrDraining() {
			n++
		}
	}
	return n
}
