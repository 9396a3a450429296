package groupformer

import (
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Parameters of the correction of needs by missed goals. The estimate does not know everything that delays requests: how long
// groups are out, how tight the goals of a model's requests are, how prompts and answers vary.
const (
	missedPartGap    = 0.05 // difference to the lowest part of missed goals of the service's models from which a need grows
	minJudged        = 30   // requests of a model below which its part of missed goals says too little
	correctionGrowth = 1.04 // factor on the correction in one allocateInterval
	correctionDecay  = 0.99 // factor on its excess over one in one allocateInterval
	maxCorrection    = 1.8
	clearlyCorrected = 1.1 // correction from which a change needs the smaller gain
)

// correctNeeds multiplies the need of each model by a correction, which grows while clearly more of its requests miss their
// latency goals than of the service's best model, and returns to one otherwise. arrived is in the order of needs.
func (f *Former) correctNeeds(service identifier.Service, profile *resolver.EngineProfile, arrived []arrivals, needs []need) {
	lowest := 1.0
	for _, a := range arrived {
		if a.judged >= minJudged {
			lowest = min(lowest, a.missedPart)
		}
	}
	for i, m := range profile.Models {
		k := poolKey{service, m.Name}
		c := max(f.corrections[k], 1)
		if a := arrived[i]; a.judged >= minJudged && a.missedPart > lowest+missedPartGap {
			c = min(c*correctionGrowth, maxCorrection)
		} else {
			c = 1 + (c-1)*correctionDecay
		}
		f.corrections[k] = c
		needs[i].present *= c
		needs[i].loss *= c
		needs[i].burst *= c
		needs[i].jump *= c
	}
}

// isCorrected reports whether a model of a service clearly misses its goals more often than another.
func (f *Former) isCorrected(service identifier.Service, profile *resolver.EngineProfile) bool {
	for _, m := range profile.Models {
		if f.corrections[poolKey{service, m.Name}] >= clearlyCorrected {
			return true
		}
	}
	return false
}
