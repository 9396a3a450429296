package groupformer

import (
	"cmp"
	"slices"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// supply compares, for one service in one failure domain, the groups of each model with the
// groups that the model's share of the engines there would form.
type supply struct {
	groups map[string]float64 // groups that serve or form, by model; a group counts with its weight
	target map[string]float64 // groups that the model's share of the engines would form, by model
	total  *supply            // of the service over all failure domains, without the evacuated ones unless this one is evacuated; nil in a total

	allDomains *supply // of the service over all failure domains; nil in a total
}

func newSupply(total *supply) *supply {
	return &supply{groups: map[string]float64{}, target: map[string]float64{}, total: total}
}

// add adds to the number of groups of a model.
func (s *supply) add(model string, groups float64) {
	s.groups[model] += groups
	for _, t := range s.totals() {
		t.groups[model] += groups
	}
}

// supplyKey identifies a supply.
type supplyKey struct {
	service       identifier.Service
	failureDomain identifier.FailureDomain
}

// supplies returns the supply of each service in each failure domain.
func (f *Former) supplies(domains []*domain) map[supplyKey]*supply {
	out, totals := map[supplyKey]*supply{}, map[identifier.Service]totalSupplies{}
	for _, d := range domains {
		k := supplyKey{d.service, d.failureDomain}
		if totals[d.service].all == nil {
			totals[d.service] = totalSupplies{inService: newSupply(nil), all: newSupply(nil)}
		}
		if out[k] == nil {
			out[k] = totals[d.service].newDomainSupply(f.evacuated[d.failureDomain])
		}
		live := d.countLive()
		for _, m := range d.profile.Models {
			out[k].addTarget(m.Name, f.targetGroups(d, m, live))
		}
	}
	for _, g := range f.groups {
		first := f.firstKnownMember(g)
		if g.phase == phaseDissolving || f.isDraining(g) || first == nil {
			continue
		}
		weight := f.weight(g)
		if weight < 1 && f.allocations[g.service].isActive() {
			continue // an allocation counts only the engines that groups within a fabric domain can use
		}
		s := out[supplyKey{g.service, first.FailureDomain}]
		switch {
		case s == nil:
		case f.isEvacuated(g) && !f.evacuated[first.FailureDomain]: // another member is in an evacuated domain
			s.allDomains.groups[g.model.Name] += weight
		default:
			s.add(g.model.Name, weight)
		}
	}
	return out
}

// isDraining reports whether g ends soon because a member is draining.
func (f *Former) isDraining(g *group) bool {
	return slices.ContainsFunc(g.members, func(id identifier.Endpoint) bool {
		e := f.engines[id]
		return e != nil && e.Draining
	})
}

// targetGroups returns the number of groups that a model's share of d's live engines would
// form, or d's part of the groups that demand asks for.
func (f *Former) targetGroups(d *domain, m resolver.Model, live int) float64 {
	if a := f.allocations[d.service]; a.isActive() {
		return float64(a.groups[m.Name]) * float64(live) / float64(max(a.live, 1))
	}
	return f.currentShare(d.service, d.profile, m) * float64(live) / float64(m.GroupSize)
}

// spanningWeight is the work of a group that spans fabric domains, relative to that of a group
// within one.
const spanningWeight = 0.4

// spansFabricDomains reports whether g has members in more than one fabric domain.
func (f *Former) spansFabricDomains(g *group) bool { return f.weight(g) < 1 }

// weight returns how much g counts in a supply: spanningWeight if it spans fabric domains, and
// otherwise 1.
func (f *Former) weight(g *group) float64 {
	for _, id := range g.members {
		if e := f.engines[id]; e != nil && e.FabricDomain != f.fabricDomainOf(g) {
			return spanningWeight
		}
	}
	return 1
}

// ratio returns the groups of a model after a change, relative to the target.
func (s *supply) ratio(model string, change float64) float64 {
	return (s.groups[model] + change) / max(s.target[model], 0.01)
}

// deficit returns the number of engines that the groups of a model lack to meet the target.
func (s *supply) deficit(m resolver.Model) float64 {
	return (s.target[m.Name] - s.groups[m.Name]) * float64(m.GroupSize)
}

// modelsByDeficit returns d's models, the largest deficit first. Deficits count over all
// failure domains in service, because the failure domains serve each other's callers. A model whose
// groups are all evacuated comes before the others.
func (d *domain) modelsByDeficit(s *supply) []resolver.Model {
	out := d.modelsBySize()
	slices.SortStableFunc(out, func(a, b resolver.Model) int {
		switch isFirst := s.isTakenOver(a.Name); {
		case isFirst == s.isTakenOver(b.Name):
			return cmp.Compare(s.total.deficit(b), s.total.deficit(a))
		case isFirst:
			return -1
		}
		return 1
	})
	return out
}
