package groupformer

import (
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Parameters that adjust the shares of the models to demand.
const (
	demandRetention = 0.8  // factor per second on the counts of earlier requests
	missedRatioGap  = 0.08 // difference to the lowest missed ratio of the service's models above which a share grows
	shareGrowth     = 1.06 // factor per second by which a share grows
	shareRetention  = 0.98 // factor per second on a share's deviation from the operator's setting
	maxShareFactor  = 1.5  // upper bound of the factor on a share; its inverse is the lower bound
)

// demand tracks how often a model's requests miss their latency goal, and the resulting
// adjustment of the model's share.
type demand struct {
	requests, missedGoal float64 // exponentially decaying counts
	shareFactor          float64 // factor on the operator's share
}

// missedRatio returns the part of the requests that missed their goal.
func (d *demand) missedRatio() float64 { return d.missedGoal / max(d.requests, 1) }

// updateDemand records a latency report of a service whose profile does not say how long requests take, so that the demand
// can't be estimated from what arrives. The model's share grows if its requests miss their
// goal more often than those of the service's best model; otherwise it returns towards the
// operator's setting. Since currentShare normalizes the shares, a growing share shrinks the
// others.
func (f *Former) updateDemand(r LatencyReported) {
	profile := f.services[r.Service]
	if profile == nil || FollowsDemand(profile) {
		return
	}
	d := f.demandOf(r.Service, r.Model)
	d.requests = demandRetention*d.requests + float64(r.Requests)
	d.missedGoal = demandRetention*d.missedGoal + float64(r.MissedGoal)
	lowest := d.missedRatio()
	for _, m := range profile.Models {
		lowest = min(lowest, f.demandOf(r.Service, m.Name).missedRatio())
	}
	if d.missedRatio() > lowest+missedRatioGap {
		d.shareFactor = min(d.shareFactor*shareGrowth, maxShareFactor)
		return
	}
	d.shareFactor = max(1+(d.shareFactor-1)*shareRetention, 1/maxShareFactor)
}

func (f *Former) demandOf(service identifier.Service, model string) *demand {
	k := poolKey{service, model}
	if f.demands[k] == nil {
		f.demands[k] = &demand{shareFactor: 1}
	}
	return f.demands[k]
}

// currentShare returns the part of a service's engines that a model should have now.
func (f *Former) currentShare(service identifier.Service, profile *resolver.EngineProfile, m resolver.Model) float64 {
	if a := f.allocations[service]; a.isActive() {
		return a.share(profile, m)
	}
	total := 0.0
	for _, o := range profile.Models {
		total += o.Share * f.demandOf(service, o.Name).shareFactor
	}
	return m.Share * f.demandOf(service, m.Name).shareFactor / max(total, 0.01)
}
