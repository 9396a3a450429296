package groupformer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// formGroups forms groups from d's free engines that need no load. The model with the largest
// deficit comes first. If a model lacks engines, groups of other models that stay better
// supplied are reassigned to it.
func (f *Former) formGroups(now time.Time, d *domain, s *supply) {
	dissolving := f.dissolvingEngines(now, d)
	for range d.engines {
		free := f.freeEngines(d)
		if len(free)+len(dissolving) == 0 || !f.formNextGroup(now, d, s, free, dissolving) {
			return
		}
	}
}

// dissolvingWait is how long formGroups waits for the engines of a dissolving group.
const dissolvingWait = 1500 * time.Millisecond

// dissolvingEngines returns the engines of d in groups that are dissolved because they lost a
// member.
func (f *Former) dissolvingEngines(now time.Time, d *domain) []*engine {
	var out []*engine
	for _, e := range d.engines {
		g := f.groups[e.Membership.Group]
		if g != nil && g.phase == phaseDissolving && g.reassignedTo == "" && now.Sub(g.phaseSince) < dissolvingWait && !e.isDeadOrDraining() && !e.suspected {
			out = append(out, e)
		}
	}
	return out
}

// formNextGroup forms one group and reports whether it did.
func (f *Former) formNextGroup(now time.Time, d *domain, s *supply, free, dissolving []*engine) bool {
	models := d.modelsByDeficit(s)
	for i, m := range models {
		joinable := joinableWithoutLoad(free, m)
		if i > 0 {
			joinable = withoutReserved(now, joinable, m, f.completable(d, models[:i]), s)
		}
		if len(joinable) >= m.GroupSize {
			f.createGroup(now, d.service, m, joinable[:m.GroupSize])
			s.add(m.Name, 1)
			return true
		}
		available := len(joinable) + len(joinableWithoutLoad(dissolving, m))
		if f.keepsGroups(now, d) || f.allocations[d.service].isActive() {
			if i == 0 && available >= m.GroupSize || f.isReassigning(d, m) {
				return false
			}
			continue // reassignByDemand chooses the groups that are dissolved for m
		}
		if i == 0 && available >= m.GroupSize || f.isReassigning(d, m) || f.reassignGroups(now, d, s, m, available) {
			return false
		}
	}
	return false
}

// reserveLimit is how long a free engine is reserved for a model with a larger deficit.
const reserveLimit = 4 * time.Second

// withoutReserved returns the engines of joinable that are not reserved for the models in
// needier, which have larger deficits than m. An engine is reserved, for at most reserveLimit,
// if such a model lacks engines, the engine can join a group of that model without a load, and
// m is not loaded in the engine.
func withoutReserved(now time.Time, joinable []*engine, m resolver.Model, needier []resolver.Model, s *supply) []*engine {
	var out []*engine
	for _, e := range joinable {
		if now.Sub(e.idleSince) > reserveLimit {
			out = append(out, e)
			continue
		}
		reserved := false
		for _, n := range needier {
			reserved = reserved || s.total.deficit(n) > 0 && !e.hasLoaded(m.Name) && (e.hasLoaded(n.Name) || e.hasStaged(n.Name))
		}
		if !reserved {
			out = append(out, e)
		}
	}
	return out
}

// joinableWithoutLoad returns the engines that can join a group of m without a load. Those
// that join soonest come first, and among these, those with the fewest staged models, because
// they can serve the fewest other models.
func joinableWithoutLoad(free []*engine, m resolver.Model) []*engine {
	var out []*engine
	for _, e := range free {
		if e.stagingModel == "" && (e.hasLoaded(m.Name) || e.hasStaged(m.Name)) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(joinRank(a, m), joinRank(b, m)), cmp.Compare(len(a.Staged), len(b.Staged)))
	})
	return out
}

// joinRank is lower for an engine that joins a group of m sooner.
func joinRank(e *engine, m resolver.Model) int {
	if e.hasLoaded(m.Name) {
		return 0
	}
	return 1
}

// firstKnownMember returns the member of lowest rank that has ever been listed, or nil.
func (f *Former) firstKnownMember(g *group) *engine {
	for _, id := range g.members {
		if e := f.engines[id]; e != nil {
			return e
		}
	}
	return nil
}

// fabricDomainOf returns the fabric domain of the first known member of g, or "".
func (f *Former) fabricDomainOf(g *group) identifier.FabricDomain {
	if e := f.firstKnownMember(g); e != nil {
		return e.FabricDomain
	}
	return ""
}

// isServing reports whether e is a member of a serving group.
func (f *Former) isServing(e *engine) bool {
	g := f.groups[e.Membership.Group]
	return g != nil && g.phase == phaseServing && e.Membership.State != endpointlister.MemberNone
}
