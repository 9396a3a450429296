package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlanDrawsFromOwnStreams checks that evacuations and cold engines of a seed have nothing to do with each other. They drew from the same random
// stream, so that each first evacuation began at twice the time of the first cold engine.
func TestPlanDrawsFromOwnStreams(t *testing.T) {
	is := is.New(t)
	const seeds = 20
	dependent := 0
	for seed := range uint64(seeds) {
		s := &soak{cfg: Config{Seed: seed, Cold: true, Evacuations: true, Length: 6 * time.Second}}
		var cold, evacuated time.Duration
		for _, step := range s.plan(rand.New(rand.NewPCG(seed, seed))) {
			switch step.Fault.(type) {
			case ChillEngine:
				if cold == 0 {
					cold = step.At
				}
			case EvacuateDomain:
				if evacuated == 0 {
					evacuated = step.At
				}
			}
		}
		if (evacuated - 2*cold).Abs() <= 2*time.Millisecond {
			dependent++
		}
	}
	is.True(dependent < seeds/2)
}

// TestIsEvacuated guards against a check that excuses requests to an evacuated failure domain, or that counts those which the bound
// allows.
func TestIsEvacuated(t *testing.T) {
	start := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	r := &record{
		evacuations: []*evacuation{{zone: "here", start: at(10 * time.Second), end: at(18 * time.Second)}, {zone: "there", start: at(30 * time.Second)}},
		disruptions: []*disruption{{instance: 1, start: at(11 * time.Second), end: at(12 * time.Second)}, {instance: allEngines, start: at(0), end: at(time.Minute)}},
	}
	for name, test := range map[string]struct {
		zone     string
		instance int
		at       time.Duration
		want     bool
	}{
		"within the bound":      {"here", 0, 14 * time.Second, false},
		"later":                 {"here", 0, 15500 * time.Millisecond, true},
		"other domain":          {"there", 0, 15500 * time.Millisecond, false},
		"instance disturbed":    {"here", 1, 16500 * time.Millisecond, false},
		"disturbed long before": {"here", 1, 17500 * time.Millisecond, true},
		"after the end":         {"here", 0, 18500 * time.Millisecond, false},
		"it lasts":              {"there", 0, time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(r.isEvacuated(test.zone, test.instance, at(test.at)), test.want) })
	}
}
