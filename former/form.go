package former

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/lister"
	"amaranthmill/resolver"
)

// domain is the engines of one service in one fabric domain.
type domain struct {
	service identifier.Service
	profile *resolver.Profile
	name    identifier.FabricDomain
	where   identifier.FailureDomain
	engines []*engine // sorted by ID
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
			found[k] = &domain{service: e.Service, profile: profile, name: e.FabricDomain, where: e.FailureDomain}
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
		if e.isUsable() && !f.isPlanned(e) {
			out = append(out, e)
		}
	}
	return out
}

// isPlanned reports whether a group has e, forms with it or has not given it free.
func (f *Former) isPlanned(e *engine) bool {
	f.count()
	if e.planned {
		return true
	}
	g := f.groups[e.Membership.Group]
	return g != nil && g.epoch == e.Membership.Epoch
}

// count notes at the engines whether a group has them.
func (f *Former) count() {
	if f.counted {
		return
	}
	f.counted = true
	for _, e := range f.engines {
		e.planned = false
	}
	for _, g := range f.groups {
		for _, id := range g.members {
			if e := f.engines[id]; e != nil {
				e.planned = true
			}
		}
	}
}

// bySize returns the models, the largest groups first, which are the hardest to complete.
func (d *domain) bySize() []resolver.Model {
	out := slices.Clone(d.profile.Models)
	slices.SortStableFunc(out, func(a, b resolver.Model) int { return cmp.Compare(b.Size, a.Size) })
	return out
}

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
	return f.shareOf(d.service, d.profile, m) * float64(alive) / float64(m.Size)
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

// alive returns the engines of d that a group may have now or later.
func (d *domain) alive() int {
	n := 0
	for _, e := range d.engines {
		if !e.isGone() {
			n++
		}
	}
	return n
}

// spares reports whether a model would stay better supplied than another one that needs a
// group if it gave some groups away, over all failure domains: they serve each other's callers.
func (s *supply) spares(m resolver.Model, groups float64, needy resolver.Model) bool {
	return s.whole.ratio(m.Name, -groups) > s.whole.ratio(needy.Name, 0)+lendMargin
}

// lendMargin keeps groups from going to and fro between models: each loan costs some seconds of service.
const lendMargin = 0.1

// deficit returns the engines that a model's groups lack of its share.
func (s *supply) deficit(m resolver.Model) float64 {
	return (s.share[m.Name] - s.groups[m.Name]) * float64(m.Size)
}

// byNeed returns d's models, the one whose groups lack most engines over all failure
// domains first, which serve each other's callers.
func (d *domain) byNeed(s *supply) []resolver.Model {
	out := d.bySize()
	slices.SortStableFunc(out, func(a, b resolver.Model) int { return cmp.Compare(s.whole.deficit(b), s.whole.deficit(a)) })
	return out
}

// form makes groups of d's free engines that need no load, the model that needs one most
// first. Where that model lacks some engines, a group of another model that can be
// spared gives its own.
func (f *Former) form(now time.Time, d *domain, s *supply) {
	soon := f.soonFree(now, d)
	for range d.engines {
		free := f.freeEngines(d)
		if len(free)+len(soon) == 0 || !f.formOne(now, d, s, free, soon) {
			return
		}
	}
}

// soonLimit is how long engines of a group that is broken up are waited for.
const soonLimit = 1500 * time.Millisecond

// soonFree returns the engines of d in groups that are being broken up because they lost a member.
func (f *Former) soonFree(now time.Time, d *domain) []*engine {
	var out []*engine
	for _, e := range d.engines {
		g := f.groups[e.Membership.Group]
		if g != nil && g.phase == phaseDissolving && g.lentTo == "" && now.Sub(g.since) < soonLimit && !e.isGone() && !e.suspected {
			out = append(out, e)
		}
	}
	return out
}

// formOne makes one group, and reports whether it did.
func (f *Former) formOne(now time.Time, d *domain, s *supply, free, soon []*engine) bool {
	models := d.byNeed(s)
	for i, m := range models {
		fit := fitting(free, m)
		if i > 0 {
			fit = withoutScarce(now, fit, m, models[:i], s)
		}
		if len(fit) >= m.Size {
			f.create(now, d.service, m, fit[:m.Size])
			s.add(m.Name, 1)
			return true
		}
		have := len(fit) + len(fitting(soon, m))
		if i == 0 && have >= m.Size || f.isBorrowing(d, m) || f.borrow(now, d, s, m, have) {
			return false
		}
	}
	return false
}

// scarceLimit is how long a free engine is kept back for a model that needs groups more.
const scarceLimit = 4 * time.Second

// withoutScarce returns the engines that do not give up, by joining a group of m, what a
// model that needs groups more has few of: engines that can join it without a load.
// They are kept back for a while only.
func withoutScarce(now time.Time, fit []*engine, m resolver.Model, needier []resolver.Model, s *supply) []*engine {
	var out []*engine
	for _, e := range fit {
		if now.Sub(e.idleSince) > scarceLimit {
			out = append(out, e)
			continue
		}
		scarce := false
		for _, n := range needier {
			scarce = scarce || s.whole.deficit(n) > 0 && !e.isLoaded(m.Name) && (e.isLoaded(n.Name) || e.isStaged(n.Name))
		}
		if !scarce {
			out = append(out, e)
		}
	}
	return out
}

// fitting returns the engines that can join a group of m without a load, the quickest first
// and among these those that can do least else.
func fitting(free []*engine, m resolver.Model) []*engine {
	var out []*engine
	for _, e := range free {
		if e.staging == "" && (e.isLoaded(m.Name) || e.isStaged(m.Name)) {
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
	if e.isLoaded(m.Name) {
		return 0
	}
	return 1
}

// isBorrowing reports whether a group of d is being broken up to complete one of m.
func (f *Former) isBorrowing(d *domain, m resolver.Model) bool {
	for _, g := range f.groups {
		if g.phase == phaseDissolving && g.lentTo == m.Name && g.lentIn == d.name && g.service == d.service {
			return true
		}
	}
	return false
}

// firstKnown returns the member of lowest rank that was ever listed, or nil.
func (f *Former) firstKnown(g *group) *engine {
	for _, id := range g.members {
		if e := f.engines[id]; e != nil {
			return e
		}
	}
	return nil
}

func (f *Former) domainOf(g *group) identifier.FabricDomain {
	if e := f.firstKnown(g); e != nil {
		return e.FabricDomain
	}
	return ""
}

// borrow breaks up groups of other models whose engines complete one of m, if those models
// stay better supplied than m is. It reports whether it did.
func (f *Former) borrow(now time.Time, d *domain, s *supply, m resolver.Model, have int) bool {
	lacking, room := m.Size-have, f.lendingRoom(d.service)
	left := map[string]float64{} // groups given so far, by model
	var lent []*group
	for _, g := range f.lenders(d, m) {
		if lacking <= 0 || len(lent) >= room {
			break
		}
		if !f.isFar(g) && !s.spares(g.model, left[g.model.Name]+1, m) {
			continue
		}
		left[g.model.Name]++
		lacking -= f.gains(g, d, m)
		lent = append(lent, g)
	}
	if lacking > 0 {
		return false
	}
	for _, g := range lent {
		g.orderly, g.lentTo, g.lentIn = true, m.Name, d.name
		f.dissolve(now, g, "", "lent")
		s.add(g.model.Name, -1)
	}
	return true
}

// lentPart is the part of a service's groups that may be out of service at once to complete
// groups of other models.
const lentPart = 1.0 / 20

// lendingRoom returns how many groups of a service may be broken up now to complete others.
func (f *Former) lendingRoom(service identifier.Service) int {
	groups, lent := 0, 0
	for _, g := range f.groups {
		if g.service != service {
			continue
		}
		groups++
		if g.phase == phaseDissolving && g.lentTo != "" {
			lent++
		}
	}
	return max(int(lentPart*float64(groups)), 1) - lent
}

// lenders returns the serving groups of d that have engines for m, the smallest first.
func (f *Former) lenders(d *domain, m resolver.Model) []*group {
	var out []*group
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		g := f.groups[name]
		if g.phase == phaseServing && g.service == d.service && (g.model.Name != m.Name || f.isFar(g)) && f.gains(g, d, m) > 0 {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b *group) int {
		return cmp.Or(cmp.Compare(f.worth(a), f.worth(b)), cmp.Compare(len(a.members), len(b.members)))
	})
	return out
}

// gains returns the members of g in d that could join a group of m without a load.
func (f *Former) gains(g *group, d *domain, m resolver.Model) int {
	n := 0
	for _, id := range g.members {
		e := f.engines[id]
		if e != nil && e.FabricDomain == d.name && !e.isGone() && (e.isStaged(m.Name) || e.isLoaded(m.Name)) {
			n++
		}
	}
	return n
}

// isServing reports whether e is a member of a group that serves.
func (f *Former) isServing(e *engine) bool {
	g := f.groups[e.Membership.Group]
	return g != nil && g.phase == phaseServing && e.Membership.State != lister.MemberNone
}
