package groupformer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// spanningDelay is how long engines are left without a group before they make one with engines
// of other domains, which is slower.
const spanningDelay = 2500 * time.Millisecond

// formSpanningGroups forms groups across domains from engines whose own domain has too few of their model.
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

// poolKey names a model of a service.
type poolKey struct {
	service identifier.Service
	model   string
}

// spanningCandidates returns the free engines that could make a group of a model with those of other
// domains, those of the domains with most of them first.
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

// formSpanningOf forms groups of m within one failure domain first, then over several.
func (f *Former) formSpanningOf(now time.Time, m resolver.Model, parts [][]*engine) {
	var rest []*engine
	for len(parts) > 0 {
		var zone []*engine
		where := parts[0][0].FailureDomain
		for len(parts) > 0 && parts[0][0].FailureDomain == where {
			zone = append(zone, parts[0]...)
			parts = parts[1:]
		}
		for len(zone) >= m.GroupSize {
			f.createGroup(now, zone[0].Service, m, zone[:m.GroupSize])
			zone = zone[m.GroupSize:]
		}
		rest = append(rest, zone...)
	}
	for len(rest) >= m.GroupSize {
		f.createGroup(now, rest[0].Service, m, rest[:m.GroupSize])
		rest = rest[m.GroupSize:]
	}
}
