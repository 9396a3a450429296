package groupformer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Limits of reassignments by demand.
const (
	maxLentPart    = 1.0 / 4 // part of the groups of a service that may close at the same time, so that an estimate that is wrong shows before all groups have moved
	lentCoverRatio = 1.1     // by which the giver must stay better covered than the taker was, if its own need is not met
)

// keepsGroups reports whether a new holder of the lease does not know the demand of d's service yet. The operator's shares apply
// until it does, and moving groups by them would undo what its predecessor has done.
func (f *Former) keepsGroups(now time.Time, d *domain) bool {
	if !FollowsDemand(d.profile) || f.beforeFirstRequest {
		return false
	}
	held := now.Sub(f.leaseBeganAt)
	isAwaited := f.demandReports.hasBegun() && !f.demandReports.isComplete(now.Add(-allocateInterval)) // until the demand has been looked at
	return held < successorWait || isAwaited && held < successorLimit
}

// loan is a set of groups that could be dissolved so that their engines form groups of another model.
type loan struct {
	domain *domain
	supply *supply
	model  resolver.Model // which gets the engines
	groups []*group
	fewest float64 // the smallest number of groups that a giving model has in the failure domain
	ratio  float64 // groups that the taking model has in the failure domain, relative to the requests that arrive there
}

// reassignByDemand dissolves groups of models that have more groups than demand asks for, for the model that lacks most. The
// cheapest loan comes first: the one of the fewest groups, and among these the one in the failure domain where the giving
// model has the most groups, so that the rest stays spread, or else where the taking model has the fewest for what arrives.
func (f *Former) reassignByDemand(now time.Time, domains []*domain, supplies map[supplyKey]*supply) {
	done := map[identifier.Service]bool{}
	for _, d := range domains {
		a := f.allocations[d.service]
		if done[d.service] || !a.isActive() {
			continue
		}
		done[d.service] = true
		own := slices.DeleteFunc(slices.Clone(domains), func(o *domain) bool { return o.service != d.service || f.evacuated[o.failureDomain] })
		for f.lendOnce(now, a, own, supplies) {
		}
	}
}

// lendOnce dissolves the groups of the best loan and reports whether there was one.
func (f *Former) lendOnce(now time.Time, a *allocation, domains []*domain, supplies map[supplyKey]*supply) bool {
	if len(domains) == 0 {
		return false
	}
	first := domains[0]
	total := supplies[supplyKey{first.service, first.failureDomain}].total
	promised := f.promisedGroups(first.service)
	for _, m := range first.modelsByDeficit(supplies[supplyKey{first.service, first.failureDomain}]) {
		if total.groups[m.Name]+promised[m.Name] > float64(a.groups[m.Name]-1) {
			continue
		}
		var loans []loan
		for _, d := range domains {
			if l, ok := f.findLoan(now, a, d, supplies[supplyKey{d.service, d.failureDomain}], m); ok && f.mayLend(d.service, len(l.groups)) {
				loans = append(loans, l)
			}
		}
		if len(loans) == 0 {
			continue
		}
		slices.SortStableFunc(loans, func(a, b loan) int {
			return cmp.Or(cmp.Compare(len(a.groups), len(b.groups)), cmp.Compare(b.fewest, a.fewest), cmp.Compare(a.ratio, b.ratio))
		})
		f.lend(now, loans[0])
		return true
	}
	return false
}

// lend dissolves the groups of a loan.
func (f *Former) lend(now time.Time, l loan) {
	for _, g := range l.groups {
		g.graceful, g.lent, g.reassignedTo, g.reassignedIn = true, true, l.model.Name, l.domain.name
		f.dissolve(now, g, "", "lent")
		if !f.spansFabricDomains(g) {
			l.supply.add(g.model.Name, -1)
		}
	}
}

// promisedGroups returns the groups of each model that the engines of dissolving groups will form.
func (f *Former) promisedGroups(service identifier.Service) map[string]float64 {
	out := map[string]float64{}
	for _, g := range f.groups {
		if g.service != service || g.phase != phaseDissolving || !g.lent || f.spansFabricDomains(g) {
			continue
		}
		if m, known := f.services[service].Model(g.reassignedTo); known {
			out[m.Name] += max(float64(len(g.members)/m.GroupSize), 1)
		}
	}
	return out
}

// mayLend reports whether n more groups of a service may close for demand.
func (f *Former) mayLend(service identifier.Service, n int) bool {
	groups, lent := 0, 0
	for _, g := range f.groups {
		if g.service != service {
			continue
		}
		groups++
		if g.phase == phaseDissolving && g.lent {
			lent++
		}
	}
	return lent == 0 || lent+n <= max(int(maxLentPart*float64(groups)), minReassignLimit)
}

// findLoan returns the groups whose engines complete a group of m in d without a load, or false if there are not enough.
func (f *Former) findLoan(now time.Time, a *allocation, d *domain, s *supply, m resolver.Model) (loan, bool) {
	if f.isReassigning(d, m) {
		return loan{}, false
	}
	lacking := m.GroupSize - len(joinableWithoutLoad(f.freeEngines(d), m)) - len(joinableWithoutLoad(f.dissolvingEngines(now, d), m))
	if lacking <= 0 {
		return loan{}, false // its engines are there
	}
	l := loan{domain: d, supply: s, model: m}
	if n, known := a.needOf(m.Name); known {
		l.ratio = s.groups[m.Name] / max(n.byDomain[d.failureDomain], 1)
	}
	given := map[string]float64{}
	usable := map[*group]int{}
	for _, g := range f.reassignableGroups(d, m) {
		spans := f.spansFabricDomains(g)
		if !spans && (g.model.Name == m.Name || !f.canGive(a, d.service, s, g.model, given[g.model.Name]+1, m)) {
			continue
		}
		if f.isLastInService(g, l.groups) || g.model.Name != m.Name && f.isLastServing(g, l.groups) {
			continue
		}
		usable[g] = f.countUsableMembers(g, d, m)
		lacking -= usable[g]
		l.groups = append(l.groups, g)
		if !spans {
			given[g.model.Name]++
		}
		if lacking <= 0 {
			break
		}
	}
	if lacking > 0 {
		return loan{}, false
	}
	// Groups that span fabric domains were taken first and may not be needed beside a whole group.
	l.groups = slices.DeleteFunc(l.groups, func(g *group) bool {
		if lacking+usable[g] > 0 {
			return false
		}
		lacking += usable[g]
		return true
	})
	for _, g := range l.groups {
		if !f.spansFabricDomains(g) && (l.fewest == 0 || s.groups[g.model.Name] < l.fewest) {
			l.fewest = s.groups[g.model.Name]
		}
	}
	return l, true
}

// canGive reports whether a model may give groups to m: it keeps the groups that demand asks for, and its need stays met, or
// it stays clearly better covered than m is now. The groups that serve must meet its present need alone, or its allocation if
// that is less, because groups that form may take a load or fail.
func (f *Former) canGive(a *allocation, service identifier.Service, s *supply, giver resolver.Model, groups float64, m resolver.Model) bool {
	left := s.total.groups[giver.Name] - groups
	if left < float64(a.groups[giver.Name]) {
		return false
	}
	from, known := a.needOf(giver.Name)
	to, _ := a.needOf(m.Name)
	if !known || f.countInService(service, giver)-groups < min(from.present, float64(a.groups[giver.Name])) {
		return false
	}
	taken := s.total.groups[m.Name]
	if taken < to.burst && left >= from.burst {
		return true // room for a jump comes before room for the loss of a failure domain
	}
	return from.coverage(left) >= 1 || from.coverage(left) >= lentCoverRatio*to.coverage(taken)
}

// countInService returns the groups of a model within a fabric domain that serve and are neither draining nor evacuated.
func (f *Former) countInService(service identifier.Service, m resolver.Model) float64 {
	n := 0.0
	for _, g := range f.groups {
		if g.service == service && g.model.Name == m.Name && f.isInService(g) && !f.spansFabricDomains(g) {
			n++
		}
	}
	return n
}
