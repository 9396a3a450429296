package groupformer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Limits of loads.
const (
	loadBurst  = 4                // loads that may start at once in excess of the rate
	extraLoads = 1                // concurrent loads beyond those that the weight store serves at full speed, so that the store is never idle
	stageLimit = 90 * time.Second // after which an order to stage counts as failed
)

// loadBudget is a token bucket that limits how many loads start. In any interval, the started
// loads stay within the rate plus a small burst.
type loadBudget struct {
	rate       float64 // tokens per second; zero means no limit
	tokens     float64
	refilledAt time.Time
}

func newLoadBudget(now time.Time, rate float64) *loadBudget {
	return &loadBudget{rate: rate, tokens: loadBurst, refilledAt: now}
}

// allows refills the bucket and reports whether n loads may start now.
func (b *loadBudget) allows(now time.Time, n int) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), loadBurst)
	b.refilledAt = now
	return b.tokens >= float64(min(n, loadBurst))
}

// take removes n tokens.
func (b *loadBudget) take(n int) {
	if b.rate > 0 {
		b.tokens -= float64(n)
	}
}

// loadWeights loads weights for engines that have none. Once there are no such engines, it
// uses the remaining capacity of the weight store to stage a second model on the hosts of the
// other engines, so that these can change to that model.
func (f *Former) loadWeights(now time.Time, domains []*domain, supplies map[supplyKey]*supply) {
	for _, d := range domains {
		for f.loadFirstModel(now, d, supplies[supplyKey{d.service, d.failureDomain}]) {
		}
	}
	if f.hasEngineWithoutWeights(domains) {
		return
	}
	f.stageForDemand(now, domains, supplies)
	for _, d := range domains {
		f.stageSecondModels(now, d, supplies[supplyKey{d.service, d.failureDomain}])
	}
}

// hasEngineWithoutWeights reports whether a free engine without weights waits for a load.
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

// mayLoad reports whether n loads may start now. Before the first request, loads take little
// time and are not limited.
func (f *Former) mayLoad(now time.Time, d *domain, n int) bool {
	if f.beforeFirstRequest {
		return true
	}
	return f.loadBudgets[d.service].allows(now, n) && f.countLoads(d.service)+n <= max(d.profile.FullSpeedLoads+extraLoads, n)
}

// countLoads returns the number of loads in progress for a service.
func (f *Former) countLoads(service identifier.Service) int {
	n := 0
	for _, e := range f.engines {
		if e.Service == service && e.stagingModel != "" && e.listed && !e.dead {
			n++
		}
	}
	return n
}

// loadFirstModel loads a model for engines of d without weights: for all engines of a new
// group if there are enough of them, and otherwise for the host of one engine. It reports
// whether it did.
func (f *Former) loadFirstModel(now time.Time, d *domain, s *supply) bool {
	var unloaded []*engine
	for _, e := range f.freeEngines(d) {
		if e.hasNoWeights() {
			unloaded = append(unloaded, e)
		}
	}
	if len(unloaded) == 0 {
		return false
	}
	models := f.completedFirst(d, f.modelsToLoad(d, s), len(unloaded))
	for _, m := range models {
		if len(unloaded) >= m.GroupSize && f.mayLoad(now, d, m.GroupSize) {
			f.createGroup(now, d.service, m, unloaded[:m.GroupSize])
			s.add(m.Name, 1)
			return true
		}
	}
	if len(unloaded) >= models[0].GroupSize || !f.mayLoad(now, d, 1) {
		return false
	}
	return f.orderStage(now, d, unloaded[0], models[0])
}

// modelsToLoad returns d's models in the order in which engines without weights should load
// them. The model whose share is least covered by engines that can run it comes first. Among
// models with more than enough coverage, the one with the shortest load time comes first.
func (f *Former) modelsToLoad(d *domain, s *supply) []resolver.Model {
	if f.beforeFirstRequest {
		return d.modelsByDeficit(s)
	}
	capable, live := f.countCapable(d)
	out := d.modelsBySize()
	coverage := func(m resolver.Model) float64 {
		return min(float64(capable[m.Name])/max(f.currentShare(d.service, d.profile, m)*float64(live), 1), 1+capableMargin)
	}
	slices.SortStableFunc(out, func(a, b resolver.Model) int {
		return cmp.Or(cmp.Compare(coverage(a), coverage(b)), cmp.Compare(a.LoadTime, b.LoadTime))
	})
	return out
}

// capableMargin is the part by which the engines that can run a model should exceed the
// model's share of the engines.
const capableMargin = 0.15

// countCapable counts, for each model, the engines of d's failure domain that can run the
// model without a load, or can once a load in progress ends. The second result is the number
// of all live engines there.
func (f *Former) countCapable(d *domain) (map[string]int, int) {
	capable, live := map[string]int{}, 0
	for _, e := range f.engines {
		if e.Service != d.service || e.FailureDomain != d.failureDomain || !e.listed || e.isDeadOrDraining() {
			continue
		}
		live++
		for _, m := range d.profile.Models {
			if e.hasLoaded(m.Name) || e.hasStaged(m.Name) || e.stagingModel == m.Name {
				capable[m.Name]++
			}
		}
	}
	return capable, live
}

// stageSecondModels stages a second model on the hosts of engines that can't change to another
// model without a load.
func (f *Former) stageSecondModels(now time.Time, d *domain, s *supply) {
	for _, e := range d.engines {
		if e.isDeadOrDraining() || e.suspected || e.uncertain || e.pending != nil || e.stagingModel != "" || e.hasNoWeights() {
			continue
		}
		if !f.isServing(e) && (f.isAssigned(e) || f.mayJoinSoon(now, d, e)) {
			continue
		}
		m, ok := pickSecondModel(d, s, e)
		if !ok {
			continue
		}
		if !f.mayLoad(now, d, 1) || !f.leavesRoom(d) {
			return // neither depends on the engine
		}
		f.orderStage(now, d, e, m)
	}
}

// pickSecondModel returns the model to stage on e's host in addition to the model that e runs.
// The second result is false if the host already has a second model, or if no other model
// exists.
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

// orderStage orders e's host to stage a model and reports whether the order was sent.
func (f *Former) orderStage(now time.Time, d *domain, e *engine, m resolver.Model) bool {
	if !f.sendOrder(now, e, Stage{Model: m.Name}) {
		return false
	}
	f.loadBudgets[d.service].take(1)
	e.stagingModel, e.stagingDeadline = m.Name, now.Add(stageLimit)
	f.emit(LogDecision{Endpoint: e.ID, Model: m.Name, Decision: "stage"})
	return true
}
