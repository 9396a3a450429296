package groupformer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// spanningDelay is how long engines stay idle before they form a group with engines of other
// fabric domains, which is slower.
const spanningDelay = 2500 * time.Millisecond

// formSpanningGroups forms groups across fabric domains from idle engines whose own domain has
// too few engines of their model.
func (f *Former) formSpanningGroups(now time.Time, domains []*domain) {
	done := map[poolKey]bool{}
	for _, d := range domains {
		for _, m := range d.modelsBySize() {
			if k := (poolKey{d.service, m.Name}); m.GroupSize > 1 && !done[k] {
				done[k] = true
				f.formSpanningOf(now, m, f.spanningCandidates(now, domains, k, m))
			}
		}
	}
}

// poolKey identifies a model of a service.
type poolKey struct {
	service identifier.Service
	model   string
}

// spanningCandidates returns, for each domain, the free engines that could form a group of a
// model with engines of other domains. The domains are sorted by failure domain, and within
// one by falling number of such engines.
func (f *Former) spanningCandidates(now time.Time, domains []*domain, k poolKey, m resolver.Model) [][]*engine {
	var out [][]*engine
	for _, d := range domains {
		if d.service != k.service {
			continue
		}
		var own []*engine
		for _, e := range joinableWithoutLoad(f.freeEngines(d), m) {
			if now.Sub(e.idleSince) >= spanningDelay {
				own = append(own, e)
			}
		}
		if len(own) > 0 {
			out = append(out, own)
		}
	}
	slices.SortStableFunc(out, func(a, b []*engine) int {
		return cmp.Or(cmp.Compare(a[0].FailureDomain, b[0].FailureDomain), cmp.Compare(len(b), len(a)))
	})
	return out
}

// formSpanningOf forms groups of m from the engines of several domains, first within one
// failure domain, then across failure domains, apart from evacuated ones.
func (f *Former) formSpanningOf(now time.Time, m resolver.Model, parts [][]*engine) {
	var remaining []*engine
	for len(parts) > 0 {
		var inDomain []*engine
		failureDomain := parts[0][0].FailureDomain
		for len(parts) > 0 && parts[0][0].FailureDomain == failureDomain {
			inDomain = append(inDomain, parts[0]...)
			parts = parts[1:]
		}
		for len(inDomain) >= m.GroupSize {
			f.createGroup(now, inDomain[0].Service, m, inDomain[:m.GroupSize])
			inDomain = inDomain[m.GroupSize:]
		}
		if !f.evacuated[failureDomain] {
			remaining = append(remaining, inDomain...)
		}
	}
	for len(remaining) >= m.GroupSize {
		f.createGroup(now, remaining[0].Service, m, remaining[:m.GroupSize])
		remaining = remaining[m.GroupSize:]
	}
}
