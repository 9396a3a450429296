package soak_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/internal/builder"
	"amaranthmill/standin/soak"
)

// binary is the path of the built program amaranthmill.
var binary string

func TestMain(m *testing.M) { os.Exit(builder.RunTests(m, &binary)) }

// regression is a seed that has failed and the cause of the failure.
type regression struct {
	Seed  uint64 `json:"seed"`
	Cause string `json:"cause"`
}

// runSeeds runs each seed with a configuration as a parallel subtest and reports the violations. If
// the configuration has a request that crashes its engines, that must have run; if it has evacuations, the bound on them must have applied to
// a request of at least one seed.
func runSeeds(t *testing.T, cfg soak.Config, seeds ...uint64) {
	var bound atomic.Int64
	t.Cleanup(func() { // after all seeds
		if bound.Load() == 0 && cfg.Evacuations && !t.Failed() {
			t.Error("no request was sent while an evacuation had to be in force, so that the seeds have checked none")
		}
	})
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			cfg := cfg
			cfg.Binary, cfg.Dir, cfg.Seed = binary, t.TempDir(), seed
			report, err := soak.Run(cfg)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d with a complete answer, %d refused, %d runs that crash their engine, %d while an evacuation had to be in force", report.Sent, report.Answered, report.NotRun, report.Crashes, report.BoundByEvacuations)
			bound.Add(int64(report.BoundByEvacuations))
			for _, b := range report.Violations {
				t.Error(b)
			}
			if report.Judged == 0 && cfg.Drills {
				t.Error("no request was judged, so that the seed has checked no version")
			}
			if report.Crashes == 0 && (cfg.Crashing || cfg.CrashingPart) {
				t.Error("no request that crashes its engine ran")
			}
		})
	}
}

// TestSeeds runs two fixed seeds and every seed of testdata/regressions.json.
func TestSeeds(t *testing.T) {
	text, err := os.ReadFile("testdata/regressions.json")
	if err != nil {
		t.Fatal(err)
	}
	var regressions []regression
	if err := json.Unmarshal(text, &regressions); err != nil {
		t.Fatal(err)
	}
	seeds := []uint64{1, 2}
	for _, r := range regressions {
		seeds = append(seeds, r.Seed)
	}
	runSeeds(t, soak.Config{Length: 6 * time.Second}, seeds...)
}

// TestCrashingSeeds runs two fixed seeds with a request that crashes the engines that run it: a
// stream and a request to the plain service.
func TestCrashingSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Crashing: true, Length: 4 * time.Second}, 10, 11)
}

// TestSilenceSeeds runs two fixed seeds with engines that are silent for a while, with nearly as
// many callers as the groups have slots.
func TestSilenceSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Engines: 4, Callers: 36, Silences: true, Length: 3 * time.Second}, 1, 6)
}

// TestCrashingPartSeeds runs two fixed seeds with requests that differ in all but one part of their
// prompts, which crashes the engines that answer them: streams and requests to the plain service.
func TestCrashingPartSeeds(t *testing.T) {
	runSeeds(t, soak.Config{CrashingPart: true, Length: 4 * time.Second}, 12, 13)
}

// TestLeavingSeeds runs two fixed seeds with engines that say in their answers that they leave or
// that they want no requests for a time.
func TestLeavingSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Leaving: true, Length: 5 * time.Second}, 30, 31)
}

// TestLimitSeeds runs a fixed seed with engines that name limits of requests per second.
func TestLimitSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Limits: true, Callers: 24, Length: 12 * time.Second}, 40)
}

// TestColdSeeds runs two fixed seeds with engines that are cold after their start and at other times.
func TestColdSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Cold: true, Callers: 36, Length: 8 * time.Second}, 60, 61)
}

// TestCutSeeds runs two fixed seeds with instances that lose their paths to all engines for a time.
func TestCutSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Cuts: true, Callers: 24, Length: 5 * time.Second}, 50, 51)
}

// TestEvacuationSeeds runs two fixed seeds with failure domains that are evacuated for a time.
func TestEvacuationSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Evacuations: true, Length: 6 * time.Second}, 60, 61)
}

// TestRestoreSeeds runs two fixed seeds with a store that is restored from older copies, beside the other faults and cuts.
func TestRestoreSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Restores: true, Cuts: true, Callers: 24, Length: 6 * time.Second}, 70, 71)
}

// TestDrillSeeds runs two fixed seeds with a store that is restored in series while versions of the configuration follow one
// another, and instances that are cut off from it meanwhile: an instance may ignore each version after a restore, so that it refuses
// requests for routes that were acknowledged.
func TestDrillSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Drills: true, Instances: 6, Callers: 4, Length: 18 * time.Second}, 51100, 51105)
}

// TestLargeConfigurationSeeds runs a fixed seed with a configuration of 1,640 routes that changes ten times per second.
func TestLargeConfigurationSeeds(t *testing.T) {
	runSeeds(t, soak.Config{Large: true, Length: 6 * time.Second}, 60)
}

// TestAddSilences checks that a seed always gives the same silences, beside the same other
// faults as without them, and that some silences begin before all other faults.
func TestAddSilences(t *testing.T) {
	is := is.New(t)
	const length = 3 * time.Second
	for seed := range uint64(20) {
		others := soak.Plan(rand.New(rand.NewPCG(seed, seed)), length)
		plan := func() []soak.Step { return soak.AddSilences(others, rand.New(rand.NewPCG(seed, 0)), length) }
		is.Equal(plan(), plan())
		var rest []soak.Fault
		for _, step := range plan() {
			switch step.Fault.(type) {
			case soak.SilenceEngine, soak.Reconfigure:
			default:
				rest = append(rest, step.Fault)
			}
		}
		is.Equal(len(rest), len(others))
		slices.SortStableFunc(others, func(a, b soak.Step) int { return cmp.Compare(a.At, b.At) })
		for i, step := range others {
			is.Equal(rest[i], step.Fault)
		}
		_, first := plan()[0].Fault.(soak.SilenceEngine)
		is.True(first)
	}
}

// TestPlan checks that a seed always gives the same faults in the same order, and that 60
// seeds give every kind of fault.
func TestPlan(t *testing.T) {
	is := is.New(t)
	seen := map[reflect.Type]bool{}
	for seed := range uint64(60) {
		plan := func() []soak.Step { return soak.Plan(rand.New(rand.NewPCG(seed, seed)), 8*time.Second) }
		is.Equal(plan(), plan())
		for _, step := range plan() {
			seen[reflect.TypeOf(step.Fault)] = true
		}
	}
	is.Equal(len(seen), 18)
}
