package groupformer

import (
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Weights of how requests fare in the models' shares.
const (
	pressedMemory = 0.8  // of what was known, each second
	pressedGap    = 0.08 // between the parts of late requests of two models, from which on shares move
	shareStep     = 1.06 // factor by which a share grows in a second
	shareReturn   = 0.98 // of its distance from what the operator set, that a share keeps in a second
	shareMost     = 1.5  // factor on a share at most; its inverse at least
)

// demand is how much a model's requests are late, and what that does to its share.
type demand struct {
	answered, late float64 // decaying
	factor         float64 // on the share that the operator set
}

// part returns the part of the requests that were late.
func (d *demand) part() float64 { return d.late / max(d.answered, 1) }

// press takes in how the requests of a model fared, and moves the shares from models whose
// requests are on time to those whose are late.
func (f *Former) press(p LatencyReported) {
	profile := f.services[p.Service]
	if profile == nil {
		return
	}
	d := f.demandOf(p.Service, p.Model)
	d.answered = pressedMemory*d.answered + float64(p.Requests)
	d.late = pressedMemory*d.late + float64(p.MissedGoal)
	best := d.part()
	for _, m := range profile.Models {
		best = min(best, f.demandOf(p.Service, m.Name).part())
	}
	if d.part() > best+pressedGap {
		d.factor = min(d.factor*shareStep, shareMost)
		return
	}
	d.factor = max(1+(d.factor-1)*shareReturn, 1/shareMost)
}

func (f *Former) demandOf(service identifier.Service, model string) *demand {
	k := poolKey{service, model}
	if f.demands[k] == nil {
		f.demands[k] = &demand{factor: 1}
	}
	return f.demands[k]
}

// shareOf returns the part of a service's engines that a model should have now.
func (f *Former) shareOf(service identifier.Service, profile *resolver.EngineProfile, m resolver.Model) float64 {
	total := 0.0
	for _, o := range profile.Models {
		total += o.Share * f.demandOf(service, o.Name).factor
	}
	return m.Share * f.demandOf(service, m.Name).factor / max(total, 0.01)
}
