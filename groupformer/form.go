package groupformer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// formGroups makes groups of d's free engines that need no load, the model that needs one most
// first. Where that model lacks some engines, a group of another model that can be
// spared gives its own.
func (f *Former) formGroups(now time.Time, d *domain, s *supply) {
	soon := f.dissolvingEngines(now, d)
	for range d.engines {
		free := f.freeEngines(d)
		if len(free)+len(soon) == 0 || !f.formNextGroup(now, d, s, free, soon) {
			return
		}
	}
}

// dissolvingWait is how long engines of a group that is broken up are waited for.
const dissolvingWait = 1500 * time.Millisecond

// dissolvingEngines returns the engines of d in groups that are being broken up because they lost a member.
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

// formNextGroup makes one group, and reports whether it did.
func (f *Former) formNextGroup(now time.Time, d *domain, s *supply, free, soon []*engine) bool {
	models := d.modelsByDeficit(s)
	for i, m := range models {
		fit := joinableWithoutLoad(free, m)
		if i > 0 {
			fit = withoutReserved(now, fit, m, models[:i], s)
		}
		if len(fit) >= m.GroupSize {
			f.createGroup(now, d.service, m, fit[:m.GroupSize])
			s.add(m.Name, 1)
			return true
		}
		have := len(fit) + len(joinableWithoutLoad(soon, m))
		if i == 0 && have >= m.GroupSize || f.isReassigning(d, m) || f.reassignGroups(now, d, s, m, have) {
			return false
		}
	}
	return false
}

// reserveLimit is how long a free engine is kept back for a model that needs groups more.
const reserveLimit = 4 * time.Second

// withoutReserved returns the engines that do not give up, by joining a group of m, what a
// model that needs groups more has few of: engines that can join it without a load.
// They are kept back for a while only.
func withoutReserved(now time.Time, fit []*engine, m resolver.Model, needier []resolver.Model, s *supply) []*engine {
	var out []*engine
	for _, e := range fit {
		if now.Sub(e.idleSince) > reserveLimit {
			out = append(out, e)
			continue
		}
		scarce := false
		for _, n := range needier {
			scarce = scarce || s.total.deficit(n) > 0 && !e.hasLoaded(m.Name) && (e.hasLoaded(n.Name) || e.hasStaged(n.Name))
		}
		if !scarce {
			out = append(out, e)
		}
	}
	return out
}

// joinableWithoutLoad returns the engines that can join a group of m without a load, the quickest first
// and among these those that can do least else.
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

// firstKnownMember returns the member of lowest rank that was ever listed, or nil.
func (f *Former) firstKnownMember(g *group) *engine {
	for _, id := range g.members {
		if e := f.engines[id]; e != nil {
			return e
		}
	}
	return nil
}

func (f *Former) fabricDomainOf(g *group) identifier.FabricDomain {
	if e := f.firstKnownMember(g); e != nil {
		return e.FabricDomain
	}
	return ""
}

// isServing reports whether e is a member of a group that serves.
func (f *Former) isServing(e *engine) bool {
	g := f.groups[e.Membership.Group]
	return g != nil && g.phase == phaseServing && e.Membership.State != endpointlister.MemberNone
}
