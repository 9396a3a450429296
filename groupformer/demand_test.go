package groupformer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
)

// jump is the factor on all requests in a jump, which comes without notice.
const jump = 2.2

// TestEnginesFollowDemand replays the load of deployment J. It guards against engines that stay with a model of little
// demand while the other one is full: 8 s after the first report, a jump must fit in m1 and in m0, and m0
// must be spread so that the loss of a failure domain leaves enough for its present work.
func TestEnginesFollowDemand(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newDemandFleet(seed, hardLoad, 0.64)
			is.Equal(f.countWhole()["m0"], 12) // 96 of 171 engines
			t.Log("start", f.countWhole(), f.load("m0", 1), f.load("m1", 1))
			f.startReports()
			f.run(8 * time.Second)
			t.Log("after 8 s", f.countWholeByDomain(), f.load("m0", jump), f.load("m1", jump), "lent", f.lent)
			is.True(f.load("m1", jump) <= 0.75)
			is.True(f.load("m0", jump) <= 0.75)
			for lost := range f.countWholeByDomain() {
				left := 0
				for domain, groups := range f.countWholeByDomain() {
					if domain != lost {
						left += groups["m0"]
					}
				}
				is.True(f.load("m0", 1)*float64(f.countWhole()["m0"])/float64(left) <= 0.75)
			}
			before := f.lent
			f.run(12 * time.Second)
			f.factor = func(string) float64 { return jump }
			f.run(6 * time.Second)
			f.factor = func(string) float64 { return 1 }
			f.run(20 * time.Second)
			is.Equal(f.lent, before) // the jump is no reason to move groups
			is.Equal(f.cut, 0)
			f.check(t)
		})
	}
}

// TestEnginesFollowRandomArrivals replays the load of deployment J with arrivals at random, which makes the first report of m0, of some 108
// requests, inexact by a tenth. It guards against shares that keep the error of the first report.
func TestEnginesFollowRandomArrivals(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newDemandFleet(seed, hardLoad, 0.64)
			f.isRandom = true
			f.startReports()
			for _, d := range []time.Duration{8 * time.Second, 22 * time.Second} {
				f.run(d)
				t.Log(f.countWhole(), "lent", f.lent)
				is.True(f.load("m1", jump) <= 0.75)
				is.True(f.load("m0", jump) <= 0.75)
			}
			settled := f.lent
			f.run(time.Minute)
			is.Equal(f.lent, settled)
			f.check(t)
		})
	}
}

// randomLoad returns kinds of requests of a random mix, which need a random part of the fleet.
func randomLoad(r *rand.Rand) []kind {
	m1 := 0.1 + 0.8*r.Float64()
	perSecond := 100 + 700*r.Float64()
	return []kind{
		{"m0", (1 - m1) * perSecond / 2, 600 + r.IntN(1400), 20 + r.IntN(100)},
		{"m0", (1 - m1) * perSecond / 2, 600 + r.IntN(1400), 20 + r.IntN(100)},
		{"m1", m1 * perSecond, 600 + r.IntN(1400), 20 + r.IntN(100)},
	}
}

// TestNoiseMovesNoGroups guards against groups that move back and forth with demand that varies by a fifth around a mean, at
// random from report to report or in waves.
func TestNoiseMovesNoGroups(t *testing.T) {
	const settle = 30 * time.Second
	for seed := range uint64(24) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 7))
			f := newDemandFleet(seed, randomLoad(r), 0.5)
			start := f.now
			noise := map[string]float64{}
			period := time.Duration(4+r.IntN(40)) * time.Second
			f.factor = func(model string) float64 {
				if seed%2 == 0 {
					key := fmt.Sprintf("%s/%d", model, f.now.Sub(start)/(2*time.Second))
					if noise[key] == 0 {
						noise[key] = 0.8 + 0.4*r.Float64()
					}
					return noise[key]
				}
				phase := 0.0
				if model == "m0" {
					phase = math.Pi
				}
				return 1 + 0.2*math.Sin(2*math.Pi*f.now.Sub(start).Seconds()/period.Seconds()+phase)
			}
			f.startReports()
			f.run(settle)
			settled := f.lent
			f.run(2 * time.Minute)
			t.Log("lent", settled, f.lent, f.countWhole(), "period", period)
			is.Equal(f.lent, settled)
			is.Equal(f.cut, 0)
			f.check(t)
		})
	}
}

// TestFittingDemandMovesNoGroups guards against reassignments in a deployment whose demand fits the operator's shares, without and
// with losses of engines. The fleet without reports is the one that has no demand to follow.
func TestFittingDemandMovesNoGroups(t *testing.T) {
	fitting := []kind{{"m1", 120, 674, 115}, {"m0", 30, 1420, 115}}
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			lent := map[bool]int{}
			for _, reports := range []bool{false, true} {
				f := newDemandFleet(seed, fitting, 0.5)
				f.reporting = func(int) bool { return reports }
				f.startReports()
				f.run(20 * time.Second)
				is.Equal(f.lent, 0)
				for range 5 {
					f.crashMembers(2)
					f.run(3 * time.Second)
				}
				f.run(20 * time.Second)
				f.check(t)
				lent[reports] = f.lent
			}
			t.Log("lent without reports", lent[false], "with reports", lent[true])
			is.True(lent[true] <= lent[false])
		})
	}
}

// TestSuccessorKeepsGroups guards against a new holder of the lease that first applies the operator's shares and so undoes
// what demand has moved, and against one that moves a group again for the noise of its first reports.
func TestSuccessorKeepsGroups(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newDemandFleet(seed, hardLoad, 0.64)
			f.startReports()
			f.run(20 * time.Second)
			before, lent := f.countWhole(), f.lent
			f.replaceFormer(2)
			noise := rand.New(rand.NewPCG(seed, 3))
			f.factor = func(string) float64 { return 0.9 + 0.2*noise.Float64() }
			f.run(30 * time.Second)
			is.Equal(f.lent, lent)
			is.Equal(f.countWhole(), before)
			f.check(t)
		})
	}
}

// TestSuccessorWaitsForReportsOfLargeFleet guards against a new holder of the lease that moves groups by the operator's shares because
// the instances of a large fleet report less often than it waits.
func TestSuccessorWaitsForReportsOfLargeFleet(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newDemandFleet(seed, hardLoad, 0.64)
			f.instances, f.interval = 370, 10360*time.Millisecond
			f.startReports()
			f.run(40 * time.Second)
			before, lent := f.countWhole(), f.lent
			f.replaceFormer(2)
			f.run(40 * time.Second)
			t.Log(before, f.countWhole(), lent, f.lent)
			is.Equal(f.lent, lent)
			is.Equal(f.countWhole(), before)
			f.check(t)
		})
	}
}

// TestSuccessorWithoutReportsMovesGroups guards against a new holder of the lease that waits for reports which never come.
func TestSuccessorWithoutReportsMovesGroups(t *testing.T) {
	is := is.New(t)
	f := newDemandFleet(1, hardLoad, 0.64)
	f.replaceFormer(2)
	f.run(20 * time.Second)
	is.True(f.countWhole()["m0"] < 12) // half of the engines form nine
}

// TestSuccessorDuringMoves guards against a new holder of the lease that leaves the demand half followed.
func TestSuccessorDuringMoves(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newDemandFleet(seed, hardLoad, 0.64)
			f.startReports()
			f.run(3 * time.Second)
			f.replaceFormer(2)
			f.run(15 * time.Second)
			t.Log(f.countWhole(), f.lent)
			is.True(f.load("m1", jump) <= 0.75)
			is.True(f.load("m0", jump) <= 0.75)
			f.check(t)
		})
	}
}

// TestLostReports guards against engines that move because reports are lost: a third of them at random, all of a failure
// domain, or all of those of peers of an earlier version, which never report. Shares are ratios.
func TestLostReports(t *testing.T) {
	for name, lost := range map[string]func(r *rand.Rand, instance int) bool{
		"third":       func(r *rand.Rand, _ int) bool { return r.IntN(3) == 0 },
		"domain":      func(_ *rand.Rand, instance int) bool { return instance%3 == 0 },
		"oldVersions": func(_ *rand.Rand, instance int) bool { return instance < 20 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newDemandFleet(1, hardLoad, 0.64)
			r := rand.New(rand.NewPCG(5, 5))
			f.reporting = func(instance int) bool { return !lost(r, instance) }
			f.startReports()
			f.run(20 * time.Second)
			t.Log(f.countWhole(), f.lent)
			is.True(f.load("m1", jump) <= 0.75)
			is.True(f.load("m0", jump) <= 0.75)
			settled := f.lent
			f.run(30 * time.Second)
			is.Equal(f.lent, settled)
		})
	}
}

// TestAllReportsAreLost checks that groups stay while the last reports say enough, and that the operator's shares apply again
// after that.
func TestAllReportsAreLost(t *testing.T) {
	is := is.New(t)
	f := newDemandFleet(1, hardLoad, 0.64)
	f.startReports()
	f.run(20 * time.Second)
	before := f.countWhole()
	f.reporting = func(int) bool { return false }
	f.run(15 * time.Second)
	is.Equal(f.countWhole(), before)
	f.run(3 * time.Minute)
	t.Log(before, f.countWhole())
	is.True(f.countWhole()["m0"] >= 8) // of the nine that half of the engines form
}

// TestFewRequestsMoveNoGroups guards against shares that follow a handful of requests.
func TestFewRequestsMoveNoGroups(t *testing.T) {
	is := is.New(t)
	f := newDemandFleet(1, []kind{{"m1", 1, 674, 115}}, 0.5)
	f.startReports()
	f.run(time.Minute)
	is.Equal(f.lent, 0)
	is.Equal(len(f.changes), 0)
}

// TestDuplicateReporterIsOneInstance guards against work that counts twice because its instance restarted.
func TestDuplicateReporterIsOneInstance(t *testing.T) {
	is := is.New(t)
	f := newDemandFleet(1, nil, 0.5)
	for range 10 {
		f.step(groupformer.DemandReported{Instance: identifier.Instance("i1"), FailureDomain: "z0", Elapsed: 2 * time.Second, Models: []groupformer.ModelDemand{
			{Service: "guides", Model: "m1", Requests: 400, Prompts: 400, PromptTokens: 400 * 674, Answers: 400, AnswerTokens: 400 * 115},
		}})
		f.run(2 * time.Second)
	}
	is.Equal(f.lent, 0) // 200 requests per second fit the operator's share
}

// TestEnginesInUseUnderLosses replays losses: two or three engines of groups crash every three seconds, and as many without
// weights come back 6 s later. It guards against a model that lacks most of its groups (5 of 12 were left) beside engines that
// are not in use (47), and against engines of one fabric domain that could form a group and stay idle.
func TestEnginesInUseUnderLosses(t *testing.T) {
	kinds := []kind{{"m0", 110, 1420, 115}, {"m1", 110, 674, 115}}
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newDemandFleet(seed, kinds, 0.64)
			f.startReports()
			f.run(10 * time.Second)
			is.True(f.countWhole()["m0"] >= 12)
			const rounds = 20
			var sum inUse
			leastM0, mostUnused := 12.0, 0.0
			unusedSince, longest := map[string]time.Time{}, time.Duration(0)
			for i := range rounds {
				n := 2 + i%2
				f.crashMembers(n)
				f.schedule(6*time.Second, func() { f.addEngines(n) })
				for range 30 {
					f.run(100 * time.Millisecond)
					now := f.inUse()
					sum.add(now)
					unused := now.loading + now.waiting + now.staging + now.idle
					leastM0, mostUnused = min(leastM0, now.m0+now.m0s), max(mostUnused, unused)
					is.True(unused < 47)
					for key, n := range f.unusedGroups() {
						if n == 0 {
							delete(unusedSince, key)
						} else if unusedSince[key].IsZero() {
							unusedSince[key] = f.now
						}
						if !unusedSince[key].IsZero() {
							longest = max(longest, f.now.Sub(unusedSince[key]))
						}
					}
				}
			}
			mean := sum.mean(30 * rounds)
			t.Logf("%+v lent %d, longest %s, least groups of m0 %v, most unused engines %v", mean, f.lent, longest, leastM0, mostUnused)
			is.True(mean.m0 > 5)
			is.True(longest <= 2*time.Second) // an engine may answer nothing for so long before it counts as dead
			is.Equal(f.cut, 0)
			f.check(t)
		})
	}
}

// TestSecondModelIsStagedWhereNeeded guards against loads of second models that go to hosts at random: no host has one at first, and
// those of groups that m1 will get come before all others.
func TestSecondModelIsStagedWhereNeeded(t *testing.T) {
	is := is.New(t)
	f := newDemandFleet(1, hardLoad, 0.64)
	for _, e := range f.engines {
		if len(e.Models) > 0 {
			e.Staged = slices.Clone(e.Models)
		}
	}
	f.listChanged = true
	f.startReports()
	f.run(2500 * time.Millisecond)
	f.staged = map[string]int{}
	f.run(10 * time.Second)
	t.Log(f.staged, f.countWhole())
	is.Equal(len(f.staged), 1)
	is.True(f.staged["m1 at [m0]"] > 0)
	f.run(50 * time.Second)
	t.Log(f.staged, f.countWhole())
	is.True(f.load("m1", jump) <= 0.75)
	is.True(f.load("m0", jump) <= 0.75)
	is.Equal(f.cut, 0)
}
