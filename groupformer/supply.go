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
	share  map[string]float64 // groups that the model's share of the engines would make
	whole  *supply            // of the service in all failure domains; nil for that itself
}

func newSupply(whole *supply) *supply {
	return &supply{groups: map[string]float64{}, share: map[string]float64{}, whole: whole}
}

// add counts some groups of a model.
func (s *supply) add(model string, groups float64) {
	s.groups[model] += groups
	if s.whole != nil {
		s.whole.groups[model] += groups
	}
}

type place struct {
	service identifier.Service
	where   identifier.FailureDomain
}

// supplies returns the supply of each place.
func (f *Former) supplies(domains []*domain) map[place]*supply {
	out, whole := map[place]*supply{}, map[identifier.Service]*supply{}
	for _, d := range domains {
		p := place{d.service, d.where}
		if whole[d.service] == nil {
			whole[d.service] = newSupply(nil)
		}
		if out[p] == nil {
			out[p] = newSupply(whole[d.service])
		}
		alive := d.alive()
		for _, m := range d.profile.Models {
			groups := f.fairGroups(d, m, alive)
			out[p].share[m.Name] += groups
			whole[d.service].share[m.Name] += groups
		}
	}
	for _, g := range f.groups {
		first := f.firstKnown(g)
		if g.phase == phaseDissolving || f.isLeaving(g) || first == nil {
			continue
		}
		if s := out[place{g.service, first.FailureDomain}]; s != nil {
			s.add(g.model.Name, f.worth(g))
		}
	}
	return out
}

// isLeaving reports whether g ends soon because a member drains.
func (f *Former) isLeaving(g *group) bool {
	return slices.ContainsFunc(g.members, func(id identifier.Endpoint) bool {
		e := f.engines[id]
		return e != nil && e.Draining
	})
}

// fairGroups returns the groups that a model's share of d's engines would make, of which so many are alive.
func (f *Former) fairGroups(d *domain, m resolver.Model, alive int) float64 {
	return f.shareOf(d.service, d.profile, m) * float64(alive) / float64(m.GroupSize)
}

// farWorth is what a group that spans domains serves of what another one does.
const farWorth = 0.4

// isFar reports whether g spans domains.
func (f *Former) isFar(g *group) bool { return f.worth(g) < 1 }

// worth returns what g counts for in a supply.
func (f *Former) worth(g *group) float64 {
	for _, id := range g.members {
		if e := f.engines[id]; e != nil && e.FabricDomain != f.domainOf(g) {
			return farWorth
		}
	}
	return 1
}

// ratio returns the groups of a model, with some more or fewer, against its share.
func (s *supply) ratio(model string, more float64) float64 {
	return (s.groups[model] + more) / max(s.share[model], 0.01)
}

// deficit returns the engines that a model's groups lack of its share.
func (s *supply) deficit(m resolver.Model) float64 {
	return (s.share[m.Name] - s.groups[m.Name]) * float64(m.GroupSize)
}

// byNeed returns d's models, the one whose groups lack most engines over all failure
// domains first, which serve each other's callers.
func (d *domain) byNeed(s *supply) []resolver.Model {
	out := d.bySize()
	slices.SortStableFunc(out, func(a, b resolver.Model) int { return cmp.Compare(s.whole.deficit(b), s.whole.deficit(a)) })
	return out
}
