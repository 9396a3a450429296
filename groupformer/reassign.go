package groupformer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// staysBetterSupplied reports whether a model would stay better supplied than another one that needs a
// group if it gave some groups away, over all failure domains: they serve each other's callers.
func (s *supply) staysBetterSupplied(m resolver.Model, groups float64, needy resolver.Model) bool {
	return s.total.ratio(m.Name, -groups) > s.total.ratio(needy.Name, 0)+reassignMargin
}

// reassignMargin keeps groups from going to and fro between models: each loan costs some seconds of service.
const reassignMargin = 0.1

// isReassigning reports whether a group of d is being broken up to complete one of m.
func (f *Former) isReassigning(d *domain, m resolver.Model) bool {
	for _, g := range f.groups {
		if g.phase == phaseDissolving && g.reassignedTo == m.Name && g.reassignedIn == d.name && g.service == d.service {
			return true
		}
	}
	return false
}

// reassignGroups breaks up groups of other models whose engines complete one of m, if those models
// stay better supplied than m is. It reports whether it did.
func (f *Former) reassignGroups(now time.Time, d *domain, s *supply, m resolver.Model, have int) bool {
	lacking := m.GroupSize - have
	left := map[string]float64{} // groups given so far, by model
	var lent []*group
	for _, g := range f.reassignableGroups(d, m) {
		if lacking <= 0 {
			break
		}
		if !f.spansFabricDomains(g) && !s.staysBetterSupplied(g.model, left[g.model.Name]+1, m) {
			continue
		}
		left[g.model.Name]++
		lacking -= f.countUsableMembers(g, d, m)
		lent = append(lent, g)
	}
	if lacking > 0 || !f.mayReassign(d.service, len(lent)) {
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
	maxReassignedPart = 1.0 / 20 // of its groups
	minReassignLimit  = 2
)

// mayReassign reports whether n more groups of a service may be broken up to complete another one.
func (f *Former) mayReassign(service identifier.Service, n int) bool {
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
	return lent == 0 || lent+n <= max(int(maxReassignedPart*float64(groups)), minReassignLimit)
}

// reassignableGroups returns the serving groups of d that have engines for m, the smallest first.
func (f *Former) reassignableGroups(d *domain, m resolver.Model) []*group {
	var out []*group
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		g := f.groups[name]
		if g.phase == phaseServing && g.service == d.service && (g.model.Name != m.Name || f.spansFabricDomains(g)) && f.countUsableMembers(g, d, m) > 0 {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(f.weight(a), f.weight(b)), cmp.Compare(len(a.members), len(b.members)))
	})
	return out
}

// countUsableMembers returns the members of g in d that could join a group of m without a load.
func (f *Former) countUsableMembers(g *group, d *domain, m resolver.Model) int {
	n := 0
	for _, id := range g.members {
		e := f.engines[id]
		if e != nil && e.FabricDomain == d.name && !e.isDeadOrDraining() && (e.hasStaged(m.Name) || e.hasLoaded(m.Name)) {
			n++
		}
	}
	return n
}
