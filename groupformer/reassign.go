package groupformer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// spares reports whether a model would stay better supplied than another one that needs a
// group if it gave some groups away, over all failure domains: they serve each other's callers.
func (s *supply) spares(m resolver.Model, groups float64, needy resolver.Model) bool {
	return s.total.ratio(m.Name, -groups) > s.total.ratio(needy.Name, 0)+lendMargin
}

// lendMargin keeps groups from going to and fro between models: each loan costs some seconds of service.
const lendMargin = 0.1

// isBorrowing reports whether a group of d is being broken up to complete one of m.
func (f *Former) isBorrowing(d *domain, m resolver.Model) bool {
	for _, g := range f.groups {
		if g.phase == phaseDissolving && g.reassignedTo == m.Name && g.reassignedIn == d.name && g.service == d.service {
			return true
		}
	}
	return false
}

// borrow breaks up groups of other models whose engines complete one of m, if those models
// stay better supplied than m is. It reports whether it did.
func (f *Former) borrow(now time.Time, d *domain, s *supply, m resolver.Model, have int) bool {
	lacking := m.GroupSize - have
	left := map[string]float64{} // groups given so far, by model
	var lent []*group
	for _, g := range f.lenders(d, m) {
		if lacking <= 0 {
			break
		}
		if !f.spansFabricDomains(g) && !s.spares(g.model, left[g.model.Name]+1, m) {
			continue
		}
		left[g.model.Name]++
		lacking -= f.gains(g, d, m)
		lent = append(lent, g)
	}
	if lacking > 0 || !f.mayLend(d.service, len(lent)) {
		return false
	}
	for _, g := range lent {
		g.graceful, g.reassignedTo, g.reassignedIn = true, m.Name, d.name
		f.dissolve(now, g, "", "lent")
		s.add(g.model.Name, -1)
	}
	return true
}

// Bounds of the groups of a service that may be out of service at once to complete groups of
// other models. What a single one needs may be lent in any case.
const (
	lentPart  = 1.0 / 20 // of its groups
	lentLeast = 2
)

// mayLend reports whether n more groups of a service may be broken up to complete another one.
func (f *Former) mayLend(service identifier.Service, n int) bool {
	groups, lent := 0, 0
	for _, g := range f.groups {
		if g.service != service {
			continue
		}
		groups++
		if g.phase == phaseDissolving && g.reassignedTo != "" {
			lent++
		}
	}
	return lent == 0 || lent+n <= max(int(lentPart*float64(groups)), lentLeast)
}

// lenders returns the serving groups of d that have engines for m, the smallest first.
func (f *Former) lenders(d *domain, m resolver.Model) []*group {
	var out []*group
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		g := f.groups[name]
		if g.phase == phaseServing && g.service == d.service && (g.model.Name != m.Name || f.spansFabricDomains(g)) && f.gains(g, d, m) > 0 {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(f.weight(a), f.weight(b)), cmp.Compare(len(a.members), len(b.members)))
	})
	return out
}

// gains returns the members of g in d that could join a group of m without a load.
func (f *Former) gains(g *group, d *domain, m resolver.Model) int {
	n := 0
	for _, id := range g.members {
		e := f.engines[id]
		if e != nil && e.FabricDomain == d.name && !e.isDeadOrDraining() && (e.hasStaged(m.Name) || e.hasLoaded(m.Name)) {
			n++
		}
	}
	return n
}
