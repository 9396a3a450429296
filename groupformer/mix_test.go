package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// presentNeed returns the groups, as a fraction, that the present requests for a model keep at a load of 0.7, with the time of
// prefill in full beside that of the decode steps.
func (f *demandFleet) presentNeed(model string) float64 {
	const load = 0.7
	running := load * float64(f.profile.Slots)
	step := f.profile.DecodeStep.Seconds() + running*f.profile.DecodeStepPerRequest.Seconds()
	need := 0.0
	for _, k := range f.kinds {
		if k.model == model {
			prefill := float64(k.prompt) / f.profile.PrefillTokensPerSecond
			need += k.perSecond * f.findModel(model).TimeFactor * (prefill + (prefill+float64(k.answer)*step)/running)
		}
	}
	return need
}

// TestSharesFollowChangeOfMix guards against shares that stay as they are when the mix of demand changes long after it was first
// known and engines are scarce: no model stays above the load of a jump while the other one could give the engines of a
// group and keep what its present requests need.
func TestSharesFollowChangeOfMix(t *testing.T) {
	mixes := [][2][2]float64{ // before and after the change: requests per second for m0 and m1
		{{80, 300}, {80, 700}},
		{{80, 300}, {40, 800}},
		{{20, 700}, {110, 300}},
		{{20, 700}, {90, 450}},
		{{60, 400}, {60, 650}},
		{{110, 200}, {30, 600}},
	}
	for _, mix := range mixes {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%v/seed=%d", mix, seed), func(t *testing.T) {
				is := is.New(t)
				kinds := func(perSecond [2]float64) []kind {
					return []kind{{"m0", perSecond[0], 1420, 115}, {"m1", perSecond[1], 674, 115}}
				}
				f := newDemandFleet(seed, kinds(mix[0]), 0.5)
				f.startReports()
				f.run(40 * time.Second)
				before := f.countWhole()
				f.kinds = kinds(mix[1])
				f.run(40 * time.Second)
				t.Log("before", before, "after", f.countWhole(), "load", f.load("m0", 1), f.load("m1", 1), "present need", f.presentNeed("m0"), f.presentNeed("m1"), "lent", f.lent)
				whole := f.countWhole()
				if f.load("m1", 1) > 0.75 {
					is.True(float64(whole["m0"]-1) < f.presentNeed("m0"))
				}
				if f.load("m0", 1) > 0.75 {
					is.True(float64(whole["m1"]-2) < f.presentNeed("m1"))
				}
				f.run(time.Minute) // until the estimate has forgotten the mix before
				settled := f.lent
				f.run(time.Minute)
				is.Equal(f.lent, settled)
				f.check(t)
			})
		}
	}
}
