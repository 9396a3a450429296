package groupformer

import (
	"slices"
	"time"

	"amaranthmill/resolver"
)

// This file holds what puts the engines of a service whose demand can be estimated to use sooner.

// completable returns the models of which a group can be completed in d without a load from engines that are in no group, or
// soon will be. Engines are reserved only for these, because a load takes longer than a reservation lasts. For a service whose demand can't be estimated, it returns all models.
func (f *Former) completable(d *domain, models []resolver.Model) []resolver.Model {
	if !FollowsDemand(d.profile) {
		return models
	}
	return slices.DeleteFunc(slices.Clone(models), func(m resolver.Model) bool { return f.countAvailable(d, m, false) < m.GroupSize })
}

// countAvailable returns the number of d's engines that can join a group of m now or after their group has dissolved, with those
// that load it or without them.
func (f *Former) countAvailable(d *domain, m resolver.Model, withLoading bool) int {
	n := 0
	for _, e := range d.engines {
		g := f.groups[e.Membership.Group]
		if e.isDeadOrDraining() || f.isAssigned(e) && (g == nil || g.phase != phaseDissolving) {
			continue
		}
		if e.stagingModel != "" {
			if withLoading && e.stagingModel == m.Name {
				n++
			}
			continue
		}
		if e.hasLoaded(m.Name) || e.hasStaged(m.Name) {
			n++
		}
	}
	return n
}

// completedFirst sorts models to load so that those come first of which the engines without weights complete a group together with
// engines of d that have the model already. Otherwise such engines wait for others.
func (f *Former) completedFirst(d *domain, models []resolver.Model, unloaded int) []resolver.Model {
	if !FollowsDemand(d.profile) || f.beforeFirstRequest {
		return models
	}
	completes := func(m resolver.Model) bool {
		available := f.countAvailable(d, m, true)
		return available%m.GroupSize > 0 && available%m.GroupSize+unloaded >= m.GroupSize
	}
	out := slices.Clone(models)
	slices.SortStableFunc(out, func(a, b resolver.Model) int {
		switch {
		case completes(a) == completes(b):
			return 0
		case completes(a):
			return -1
		}
		return 1
	})
	return out
}

// idleBeforeStaging is how long an engine with weights is idle before its host loads those of another model, in which time it
// can join no group. Most engines join another group sooner.
const idleBeforeStaging = 5 * time.Second

// mayJoinSoon reports whether the idle engine e of d should rather wait for a group than load the weights of another model.
func (f *Former) mayJoinSoon(now time.Time, d *domain, e *engine) bool {
	return FollowsDemand(d.profile) && !f.beforeFirstRequest && now.Sub(e.idleSince) < idleBeforeStaging
}

// firstLoadPart is the part of the loads at full speed that is kept for engines without weights. Loads of second models would
// take all of them for minutes after a start.
const firstLoadPart = 1.0 / 4

// leavesRoom reports whether the load of a second model leaves room for the loads of engines without weights.
func (f *Former) leavesRoom(d *domain) bool {
	if !FollowsDemand(d.profile) || f.beforeFirstRequest {
		return true
	}
	return f.countLoads(d.service) < max(int((1-firstLoadPart)*float64(d.profile.FullSpeedLoads)), 1)
}

// stageForDemand stages, before all other second models, the model that lacks most groups on the hosts of groups that can be
// given to it, so that they change without a load.
func (f *Former) stageForDemand(now time.Time, domains []*domain, supplies map[supplyKey]*supply) {
	for _, d := range domains {
		a := f.allocations[d.service]
		if !a.isActive() {
			continue
		}
		s := supplies[supplyKey{d.service, d.failureDomain}]
		m := d.modelsByDeficit(s)[0]
		if s.total.deficit(m) < float64(m.GroupSize) {
			continue
		}
		for _, e := range d.engines {
			g := f.groups[e.Membership.Group]
			if g == nil || g.phase != phaseServing || s.total.groups[g.model.Name] <= float64(a.groups[g.model.Name]) || e.hasLoaded(m.Name) || e.hasStaged(m.Name) {
				continue
			}
			if e.isDeadOrDraining() || e.suspected || e.uncertain || e.pending != nil || e.stagingModel != "" {
				continue
			}
			if !f.mayLoad(now, d, 1) || !f.leavesRoom(d) {
				break
			}
			f.orderStage(now, d, e, m)
		}
	}
}
