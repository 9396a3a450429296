package groupformer

import (
	"cmp"
	"slices"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// supply is, for one service in one failure domain, how many groups each model has
// against its share of the engines there.
type supply struct {
	groups map[string]float64 // that serve or form, by model
	target map[string]float64 // groups that the model's share of the engines would make
	total  *supply            // of the service in all failure domains; nil for that itself
}

func newSupply(whole *supply) *supply {
	return &supply{groups: map[string]float64{}, target: map[string]float64{}, total: whole}
}

// add counts some groups of a model.
func (s *supply) add(model string, groups float64) {
	s.groups[model] += groups
	if s.total != nil {
		s.total.groups[model] += groups
	}
}

type supplyKey struct {
	service       identifier.Service
	failureDomain identifier.FailureDomain
}

// supplies returns the supply of each place.
func (f *Former) supplies(domains []*domain) map[supplyKey]*supply {
	out, whole := map[supplyKey]*supply{}, map[identifier.Service]*supply{}
	for _, d := range domains {
		p := supplyKey{d.service, d.failureDomain}
		if whole[d.service] == nil {
			whole[d.service] = newSupply(nil)
		}
		if out[p] == nil {
			out[p] = newSupply(whole[d.service])
		}
		alive := d.countLive()
		for _, m := range d.profile.Models {
			groups := f.targetGroups(d, m, alive)
			out[p].target[m.Name] += groups
			whole[d.service].target[m.Name] += groups
		}
	}
	for _, g := range f.groups {
		first := f.firstKnownMember(g)
		if g.phase == phaseDissolving || f.isDraining(g) || first == nil {
			continue
		}
		if s := out[supplyKey{g.service, first.FailureDomain}]; s != nil {
			s.add(g.model.Name, f.weight(g))
		}
	}
	return out
}

// isDraining reports whether g ends soon because a member drains.
func (f *Former) isDraining(g *group) bool {
	return slices.ContainsFunc(g.members, func(id identifier.Endpoint) bool {
		e := f.engines[id]
		return e != nil && e.Draining
	})
}

// targetGroups returns the groups that a model's share of d's engines would make, of which so many are alive.
func (f *Former) targetGroups(d *domain, m resolver.Model, alive int) float64 {
	return f.currentShare(d.service, d.profile, m) * float64(alive) / float64(m.GroupSize)
}

// spanningWeight is what a group that spans domains serves of what another one does.
const spanningWeight = 0.4

// spansFabricDomains reports whether g spans domains.
func (f *Former) spansFabricDomains(g *group) bool { return f.weight(g) < 1 }

// weight returns what g counts for in a supply.
func (f *Former) weight(g *group) float64 {
	for _, id := range g.members {
		if e := f.engines[id]; e != nil && e.FabricDomain != f.fabricDomainOf(g) {
			return spanningWeight
		}
	}
	return 1
}

// ratio returns the groups of a model, with some more or fewer, against its share.
func (s *supply) ratio(model string, more float64) float64 {
	return (s.groups[model] + more) / max(s.target[model], 0.01)
}

// deficit returns the engines that a model's groups lack of its share.
func (s *supply) deficit(m resolver.Model) float64 {
	return (s.target[m.Name] - s.groups[m.Name]) * float64(m.GroupSize)
}

// modelsByDeficit returns d's models, the one whose groups lack most engines over all failure
// domains first, which serve each other's callers.
func (d *domain) modelsByDeficit(s *supply) []resolver.Model {
	out := d.modelsBySize()
	slices.SortStableFunc(out, func(a, b resolver.Model) int { return cmp.Compare(s.total.deficit(b), s.total.deficit(a)) })
	return out
}
