package groupformer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Bounds of loads.
const (
	loadBurst  = 4                // loads that may start at once beyond the rate
	extraLoads = 1                // under way beyond those that the weight store takes at full speed, so that it is never idle
	stageLimit = 90 * time.Second // after which an order to stage counts as failed
)

// loadBudget bounds how many loads start. What starts in any some seconds stays within the
// rate plus a few.
type loadBudget struct {
	rate       float64 // a second; zero means no bound
	tokens     float64
	refilledAt time.Time
}

func newLoadBudget(now time.Time, rate float64) *loadBudget {
	return &loadBudget{rate: rate, tokens: loadBurst, refilledAt: now}
}

// allows reports whether n loads may start now.
func (b *loadBudget) allows(now time.Time, n int) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), loadBurst)
	b.refilledAt = now
	return b.tokens >= float64(min(n, loadBurst))
}

// take counts n loads.
func (b *loadBudget) take(n int) {
	if b.rate > 0 {
		b.tokens -= float64(n)
	}
}

// loadWeights brings weights to engines: first to those that have none, and with what the weight
// store can take besides a second model to the hosts of the others, so that they can
// change over to it.
func (f *Former) loadWeights(now time.Time, domains []*domain, supplies map[supplyKey]*supply) {
	for _, d := range domains {
		for f.loadFirstModel(now, d, supplies[supplyKey{d.service, d.failureDomain}]) {
		}
	}
	if f.hasEngineWithoutWeights(domains) {
		return
	}
	for _, d := range domains {
		f.stageSecondModels(now, d, supplies[supplyKey{d.service, d.failureDomain}])
	}
}

// hasEngineWithoutWeights reports whether an engine without weights waits for a load.
func (f *Former) hasEngineWithoutWeights(domains []*domain) bool {
	for _, d := range domains {
		for _, e := range f.freeEngines(d) {
			if e.hasNoWeights() {
				return true
			}
		}
	}
	return false
}

// mayLoad reports whether n loads may start now. Before the first request loads take
// little time and don't count.
func (f *Former) mayLoad(now time.Time, d *domain, n int) bool {
	if f.beforeFirstRequest {
		return true
	}
	return f.loadBudgets[d.service].allows(now, n) && f.countLoads(d.service)+n <= max(d.profile.FullSpeedLoads+extraLoads, n)
}

// countLoads returns the loads under way.
func (f *Former) countLoads(service identifier.Service) int {
	n := 0
	for _, e := range f.engines {
		if e.Service == service && e.stagingModel != "" && e.listed && !e.dead {
			n++
		}
	}
	return n
}

// loadFirstModel brings a model to engines of d without weights: to a whole group if there are
// enough of them, and otherwise to the host of one. It reports whether it did.
func (f *Former) loadFirstModel(now time.Time, d *domain, s *supply) bool {
	var empty []*engine
	for _, e := range f.freeEngines(d) {
		if e.hasNoWeights() {
			empty = append(empty, e)
		}
	}
	if len(empty) == 0 {
		return false
	}
	models := f.modelsToLoad(d, s)
	for _, m := range models {
		if len(empty) >= m.GroupSize && f.mayLoad(now, d, m.GroupSize) {
			f.createGroup(now, d.service, m, empty[:m.GroupSize])
			s.add(m.Name, 1)
			return true
		}
	}
	if len(empty) >= models[0].GroupSize || !f.mayLoad(now, d, 1) {
		return false
	}
	return f.orderStage(now, d, empty[0], models[0])
}

// modelsToLoad returns d's models in the order in which engines without weights should get
// them: the one whose share is least covered by engines that can run it, and among those
// that are covered the one that loads soonest.
func (f *Former) modelsToLoad(d *domain, s *supply) []resolver.Model {
	if f.beforeFirstRequest {
		return d.modelsByDeficit(s)
	}
	capable, alive := f.countCapable(d)
	out := d.modelsBySize()
	coverage := func(m resolver.Model) float64 {
		return min(float64(capable[m.Name])/max(f.currentShare(d.service, d.profile, m)*float64(alive), 1), 1+capableMargin)
	}
	slices.SortStableFunc(out, func(a, b resolver.Model) int {
		return cmp.Or(cmp.Compare(coverage(a), coverage(b)), cmp.Compare(a.LoadTime, b.LoadTime))
	})
	return out
}

// capableMargin is the part beyond a model's share of the engines that should be able to run it.
const capableMargin = 0.15

// countCapable returns the engines of d's failure domain that can run each model without a load,
// or soon can, and all of them.
func (f *Former) countCapable(d *domain) (map[string]int, int) {
	out, alive := map[string]int{}, 0
	for _, e := range f.engines {
		if e.Service != d.service || e.FailureDomain != d.failureDomain || !e.listed || e.isDeadOrDraining() {
			continue
		}
		alive++
		for _, m := range d.profile.Models {
			if e.hasLoaded(m.Name) || e.hasStaged(m.Name) || e.stagingModel == m.Name {
				out[m.Name]++
			}
		}
	}
	return out, alive
}

// stageSecondModels brings a second model to the hosts of engines that can't change over.
func (f *Former) stageSecondModels(now time.Time, d *domain, s *supply) {
	for _, e := range d.engines {
		if e.isDeadOrDraining() || e.suspected || e.uncertain || e.pending != nil || e.stagingModel != "" || e.hasNoWeights() {
			continue
		}
		if !f.isServing(e) && f.isAssigned(e) {
			continue
		}
		m, ok := pickSecondModel(d, s, e)
		if ok && f.mayLoad(now, d, 1) {
			f.orderStage(now, d, e, m)
		}
	}
}

// pickSecondModel returns the model that e's host should have besides the one that e runs, and
// false if it has one.
func pickSecondModel(d *domain, s *supply, e *engine) (resolver.Model, bool) {
	for _, m := range d.profile.Models {
		if e.hasStaged(m.Name) && !e.hasLoaded(m.Name) {
			return resolver.Model{}, false
		}
	}
	for _, m := range d.modelsByDeficit(s) {
		if !e.hasLoaded(m.Name) && !e.hasStaged(m.Name) {
			return m, true
		}
	}
	return resolver.Model{}, false
}

// orderStage orders a model to the host of e and reports whether it did.
func (f *Former) orderStage(now time.Time, d *domain, e *engine, m resolver.Model) bool {
	if !f.sendOrder(now, e, Stage{Model: m.Name}) {
		return false
	}
	f.loadBudgets[d.service].take(1)
	e.stagingModel, e.stagingDeadline = m.Name, now.Add(stageLimit)
	f.emit(LogDecision{Endpoint: e.ID, Model: m.Name, Decision: "stage"})
	return true
}
