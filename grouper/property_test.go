package grouper_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/bundler"
	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/modeler"
	"amaranthmill/internal/scripter"
	"amaranthmill/router"
)

// TestMain sets a fixed seed for the property tests; flags on the command line override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

// dispatchWindow bounds the time from a change of a member to the last dispatch to the
// member's group: prober.Config.FreshFor and one tick.
const dispatchWindow = 2*time.Second + step

// observation is the state of an engine at a point in time.
type observation struct {
	time  time.Time
	group identifier.Group
	epoch identifier.Epoch
	start identifier.ProcessStart
}

// world is a fleet under random faults, with the recent states of its engines.
type world struct {
	fleet        *modeler.Fleet
	history      map[identifier.Endpoint][]observation
	members      map[string][]grouper.Member // by group and epoch, from all records and successions seen
	readyTargets int                         // number of ready targets seen by instances
}

func newWorld(t *rapid.T) *world {
	es := engines(rapid.IntRange(4, 10).Draw(t, "engines"), 1, false)
	for _, e := range es {
		e.ChecksFence = rapid.Bool().Draw(t, "fences")
		e.AcceptsExpired = rapid.Bool().Draw(t, "late")
		e.ReportsOldGroup = rapid.Bool().Draw(t, "pretends")
	}
	cfg := modeler.Config{
		FailureDomain: "alpine", Engines: es, Instances: rapid.IntRange(2, 3).Draw(t, "instances"),
		LoadTime: time.Duration(rapid.IntRange(0, 5).Draw(t, "load")) * time.Second,
	}
	cfg.Policy.FencingEndpoints = func(name identifier.Endpoint) bool {
		i := slices.IndexFunc(es, func(e *modeler.Engine) bool { return e.Name == name })
		return es[i].ChecksFence
	}
	cfg.Policy.SuccessionDelay = time.Second
	w := &world{fleet: modeler.New(scripter.Start, cfg), history: map[identifier.Endpoint][]observation{}, members: map[string][]grouper.Member{}}
	w.setBundle(1, 1)
	return w
}

func (w *world) setBundle(version, model int) {
	groups := []bundler.Placement{{FailureDomain: "alpine", Count: 2}}
	w.fleet.SetBundle(&bundler.Bundle{Version: identifier.BundleVersion(version), Pools: []bundler.Pool{
		{Name: "guides", Base: "m", Version: fmt.Sprint(model), GroupSize: 2, Priority: 2, Groups: groups},
		{Name: "drafts", Base: "m", Version: fmt.Sprint(model), GroupSize: 3, Priority: 1, Groups: groups},
	}})
}

func (w *world) drawInstance(t *rapid.T) *modeler.Instance {
	return rapid.SampledFrom(w.fleet.Instances).Draw(t, "instance")
}

// runInstances lets the instances tick for a random number of steps. At each step only some of
// the pending effects happen, in random order. A paused instance neither ticks nor dispatches,
// and its effects are delayed.
func (w *world) runInstances(t *rapid.T) {
	paused := rapid.IntRange(0, 2*len(w.fleet.Instances)).Draw(t, "paused")
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	immediate := rapid.IntRange(1, 10).Draw(t, "prompt") // effects in ten that are not delayed
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
	for _, in := range w.fleet.Instances {
		in.MissesRecords = random.IntN(4) == 0
	}
	for range steps {
		w.fleet.Advance(step)
		w.recordHistory()
		for i, in := range w.fleet.Instances {
			if i == paused {
				continue
			}
			w.fleet.Tick(in)
			w.checkTargets(t, in)
			for n := len(in.PendingEffects); n > 0; n-- {
				if random.IntN(10) < immediate {
					w.fleet.PerformEffect(in, random.IntN(len(in.PendingEffects)))
				}
			}
			w.recordHistory()
		}
		w.checkRecords(t)
	}
}

// recordHistory records the current states of the engines, and drops states older than
// dispatchWindow.
func (w *world) recordHistory() {
	now := w.fleet.Now
	for _, e := range w.fleet.Engines() {
		h := slices.DeleteFunc(w.history[e.Name], func(s observation) bool { return now.Sub(s.time) > dispatchWindow })
		if e.IsUp() {
			h = append(h, observation{now, e.Group, e.Epoch, e.ProcessStart})
		}
		w.history[e.Name] = h
	}
}

// checkRecords fails the test if the platform has an invalid record.
func (w *world) checkRecords(t *rapid.T) {
	for _, stored := range w.fleet.Platform.List() {
		if err := stored.Record.Check(); err != nil {
			t.Fatal(err)
		}
		for _, a := range stored.Record.Groups {
			w.checkEpoch(t, a)
			for _, s := range a.Successions() {
				w.checkEpoch(t, s)
			}
		}
	}
}

// checkEpoch fails the test if an epoch of a group was used for other members before.
func (w *world) checkEpoch(t *rapid.T, a grouper.Assignment) {
	key := fmt.Sprint(a.Group, a.Epoch)
	if was, ok := w.members[key]; ok && !slices.Equal(was, a.Members) {
		t.Fatalf("group and epoch %s had members %v and now have members %v", key, was, a.Members)
	}
	w.members[key] = a.Members
}

// checkTargets fails the test if an endpoint is in two ready targets, or if a ready target has
// a member that did not report the target with the same process start within dispatchWindow.
func (w *world) checkTargets(t *rapid.T, in *modeler.Instance) {
	used := map[identifier.Endpoint]string{}
	for _, target := range in.Targets {
		if !target.Ready || target.Leaving {
			continue
		}
		w.readyTargets++
		for i, m := range target.Members {
			if used[m] != "" {
				t.Fatalf("endpoint %s is in the ready targets %s and %s", m, used[m], target.ID)
			}
			used[m] = target.ID
			if !w.wasMember(target, i) {
				t.Fatalf("instance %s would dispatch to %s epoch %d without %s", in.Name, target.ID, target.Epoch, m)
			}
		}
	}
}

// wasMember reports whether member i of target was in it within dispatchWindow, with the
// process start that the record names.
func (w *world) wasMember(target router.Target, i int) bool {
	m := w.members[fmt.Sprint(target.ID, target.Epoch)][i]
	return slices.ContainsFunc(w.history[m.Endpoint], func(s observation) bool {
		return s.group == identifier.Group(target.ID) && s.epoch == target.Epoch && s.start == m.ProcessStart
	})
}

// TestNoEndpointServesTwoGroups randomly interleaves concurrent and paused lease holders,
// delayed effects, dead and returning members, platform outages and rollouts. It guards
// against an endpoint that serves two groups, and against dispatches to a group that a member
// has left.
func TestNoEndpointServesTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		version := 1
		engine := func(t *rapid.T) *modeler.Engine { return rapid.SampledFrom(w.fleet.Engines()).Draw(t, "engine") }
		actions := map[string]func(*rapid.T){
			"pass":     w.runInstances,
			"passMore": w.runInstances,
			"stop":     func(t *rapid.T) { engine(t).Stop() },
			"restart":  func(t *rapid.T) { e := engine(t); e.Stop(); e.Start() },
			"start": func(t *rapid.T) {
				e := engine(t)
				e.Start()
				e.Reachable = true
			},
			"cut":       func(t *rapid.T) { engine(t).Reachable = false },
			"platform":  func(t *rapid.T) { w.fleet.Platform.Down = rapid.Bool().Draw(t, "down") },
			"partition": func(t *rapid.T) { w.drawInstance(t).Partitioned = rapid.Bool().Draw(t, "cut") },
			"assumeLease": func(t *rapid.T) {
				w.fleet.AssumeLease(w.drawInstance(t), "fab0", w.fleet.Now.Add(time.Minute))
			},
			"rollout": func(*rapid.T) {
				version++
				w.setBundle(version, version)
			},
		}
		for range rapid.IntRange(10, 60).Draw(t, "actions") {
			name := rapid.SampledFrom([]string{
				"pass", "passMore", "pass", "passMore", "stop", "restart", "start", "start", "cut", "platform", "partition", "assumeLease", "rollout",
			}).Draw(t, "action")
			actions[name](t)
		}
	})
}
