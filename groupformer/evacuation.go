package groupformer

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// setEvacuated replaces the evacuated failure domains. Their groups stay formed and are repaired as before.
func (f *Former) setEvacuated(domains []identifier.FailureDomain) {
	f.evacuated = map[identifier.FailureDomain]bool{}
	for _, d := range domains {
		f.evacuated[d] = true
	}
}

// isEvacuated reports whether a known member of g is in an evacuated failure domain, so that g counts as absent.
func (f *Former) isEvacuated(g *group) bool {
	return len(f.evacuated) > 0 && slices.ContainsFunc(g.members, func(id identifier.Endpoint) bool {
		e := f.engines[id]
		return e != nil && f.evacuated[e.FailureDomain]
	})
}

// isLastInService reports whether g is the last group of its model that serves in the failure domains which are not
// evacuated, apart from the groups in chosen. It returns false while no domain is evacuated.
func (f *Former) isLastInService(g *group, chosen []*group) bool {
	return len(f.evacuated) > 0 && !f.isEvacuated(g) && f.isLastServing(g, chosen)
}

// isLastServing reports whether no other group of g's model serves that is neither draining, nor evacuated, nor in chosen.
func (f *Former) isLastServing(g *group, chosen []*group) bool {
	for _, o := range f.groups {
		isOther := o != g && o.service == g.service && o.model.Name == g.model.Name && !slices.Contains(chosen, o)
		if isOther && f.isInService(o) {
			return false
		}
	}
	return true
}

// isInService reports whether g serves and is neither draining nor evacuated.
func (f *Former) isInService(g *group) bool {
	return g.phase == phaseServing && !f.isEvacuated(g) && !f.isDraining(g)
}

// totalSupplies are the supplies of one service over several failure domains.
type totalSupplies struct {
	inService *supply // over the domains that are not evacuated
	all       *supply // over all domains
}

// newDomainSupply returns the supply of a failure domain without groups. A domain in service is compared with the total over
// the domains in service, so that it takes over from evacuated ones. An evacuated domain is compared with the total over all
// domains, so that its groups are repaired as before.
func (t totalSupplies) newDomainSupply(isEvacuated bool) *supply {
	s := newSupply(t.inService)
	s.allDomains = t.all
	if isEvacuated {
		s.total = t.all
	}
	return s
}

// addTarget adds to the number of groups that a model's share of the engines would form.
func (s *supply) addTarget(model string, groups float64) {
	s.target[model] += groups
	for _, t := range s.totals() {
		t.target[model] += groups
	}
}

// totals returns the totals in which s counts: that over all failure domains and, unless its domain is evacuated, that over
// the domains in service.
func (s *supply) totals() []*supply {
	if s.total == s.allDomains {
		return []*supply{s.allDomains}
	}
	return []*supply{s.total, s.allDomains}
}

// isTakenOver reports whether all groups of a model are in evacuated failure domains, so that a domain in service should form one
// before it completes the groups of other models.
func (s *supply) isTakenOver(model string) bool {
	return s.total != s.allDomains && s.total.groups[model] == 0 && s.allDomains.groups[model] > 0
}

// takeOver reassigns groups in one domain in service to each model whose groups are all in evacuated failure domains. Without it,
// groups would be reassigned only where an engine is free.
func (f *Former) takeOver(now time.Time, domains []*domain, supplies map[supplyKey]*supply) {
	if len(f.evacuated) == 0 {
		return
	}
	done := map[poolKey]bool{}
	for _, d := range domains {
		s := supplies[supplyKey{d.service, d.failureDomain}]
		for _, m := range d.modelsBySize() {
			k := poolKey{d.service, m.Name}
			if done[k] || !s.isTakenOver(m.Name) || f.isReassigningAnywhere(domains, d.service, m) {
				continue
			}
			done[k] = f.reassignGroups(now, d, s, m, len(joinableWithoutLoad(f.freeEngines(d), m)))
		}
	}
}

// isReassigningAnywhere reports whether a group is being dissolved so that its engines complete a group of m in some domain.
func (f *Former) isReassigningAnywhere(domains []*domain, service identifier.Service, m resolver.Model) bool {
	return slices.ContainsFunc(domains, func(d *domain) bool { return d.service == service && f.isReassigning(d, m) })
}
