package groupformer

import (
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Weights of how requests fare in the models' shares.
const (
	demandRetention = 0.8  // of what was known, each second
	missedRatioGap  = 0.08 // between the parts of late requests of two models, from which on shares move
	shareGrowth     = 1.06 // factor by which a share grows in a second
	shareRetention  = 0.98 // of its distance from what the operator set, that a share keeps in a second
	maxShareFactor  = 1.5  // factor on a share at most; its inverse at least
)

// demand is how much a model's requests are late, and what that does to its share.
type demand struct {
	requests, missedGoal float64 // decaying
	shareFactor          float64 // on the share that the operator set
}

// missedRatio returns the missedRatio of the requests that were late.
func (d *demand) missedRatio() float64 { return d.missedGoal / max(d.requests, 1) }

// updateDemand takes in how the requests of a model fared, and moves the shares from models whose
// requests are on time to those whose are late.
func (f *Former) updateDemand(p LatencyReported) {
	profile := f.services[p.Service]
	if profile == nil {
		return
	}
	d := f.demandOf(p.Service, p.Model)
	d.requests = demandRetention*d.requests + float64(p.Requests)
	d.missedGoal = demandRetention*d.missedGoal + float64(p.MissedGoal)
	best := d.missedRatio()
	for _, m := range profile.Models {
		best = min(best, f.demandOf(p.Service, m.Name).missedRatio())
	}
	if d.missedRatio() > best+missedRatioGap {
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
	total := 0.0
	for _, o := range profile.Models {
		total += o.Share * f.demandOf(service, o.Name).shareFactor
	}
	return m.Share * f.demandOf(service, m.Name).shareFactor / max(total, 0.01)
}
