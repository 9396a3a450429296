package groupformer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// staysBetterSupplied reports whether a model would stay better supplied than a needy model
// after it gave up some groups. Supplies count over all failure domains, because these serve
// each other's callers.
func (s *supply) staysBetterSupplied(m resolver.Model, groups float64, needy resolver.Model) bool {
	return s.total.ratio(m.Name, -groups) > s.total.ratio(needy.Name, 0)+reassignMargin
}

// reassignMargin prevents groups from moving back and forth between models: each reassignment
// costs some seconds of service.
const reassignMargin = 0.1

// isReassigning reports whether a group is being dissolved so that its engines complete a
// group of m in d.
func (f *Former) isReassigning(d *domain, m resolver.Model) bool {
	for _, g := range f.groups {
		if g.phase == phaseDissolving && g.reassignedTo == m.Name && g.reassignedIn == d.name && g.service == d.service {
			return true
		}
	}
	return false
}

// reassignGroups dissolves groups of other models whose engines complete a group of m, if
// those models stay better supplied than m. A group that spans fabric domains qualifies in any
// case. The last group of a model outside evacuated failure domains stays. It reports whether it dissolved groups.
func (f *Former) reassignGroups(now time.Time, d *domain, s *supply, m resolver.Model, available int) bool {
	lacking := m.GroupSize - available
	given := map[string]float64{} // groups given so far, by model
	var chosen []*group
	for _, g := range f.reassignableGroups(d, m) {
		if lacking <= 0 {
			break
		}
		if !f.spansFabricDomains(g) && !s.staysBetterSupplied(g.model, given[g.model.Name]+1, m) {
			continue
		}
		if f.isLastInService(g, chosen) {
			continue
		}
		given[g.model.Name]++
		lacking -= f.countUsableMembers(g, d, m)
		chosen = append(chosen, g)
	}
	if lacking > 0 || !f.mayReassign(d.service, len(chosen)) {
		return false
	}
	for _, g := range chosen {
		g.graceful, g.lent, g.reassignedTo, g.reassignedIn = true, FollowsDemand(d.profile), m.Name, d.name
		f.dissolve(now, g, "", "lent")
		s.add(g.model.Name, -1)
	}
	return true
}

// Limits on the groups of a service that may be dissolved at the same time for reassignment.
// The groups that complete a single group may be dissolved in any case.
const (
	maxReassignedPart = 1.0 / 20 // part of the groups of the service
	minReassignLimit  = 2        // the limit is at least this number of groups
)

// mayReassign reports whether n more groups of a service may be dissolved for reassignment.
func (f *Former) mayReassign(service identifier.Service, n int) bool {
	groups, reassigned := 0, 0
	for _, g := range f.groups {
		if g.service != service {
			continue
		}
		groups++
		if g.phase == phaseDissolving && g.reassignedTo != "" {
			reassigned++
		}
	}
	return reassigned == 0 || reassigned+n <= max(int(maxReassignedPart*float64(groups)), minReassignLimit)
}

// reassignableGroups returns the serving groups that have engines for m in d, those of the
// lowest weight first, and among these, the smallest first. A group of m itself qualifies only
// if it spans fabric domains.
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

// countUsableMembers returns the number of members of g in d that could join a group of m
// without a load.
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
