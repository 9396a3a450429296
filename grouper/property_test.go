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

// TestMain fixes the seed of the properties, unless the command line gives one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

// lastDispatch bounds the time from a member's change to the last dispatch to its group:
// prober.Config.FreshFor and one tick.
const lastDispatch = 2*time.Second + step

// seen is what an engine was at a time.
type seen struct {
	at    time.Time
	group identifier.Group
	epoch identifier.Epoch
	start identifier.ProcessStart
}

// world is a fleet under random faults, with what its engines were of late.
type world struct {
	fleet   *modeler.Fleet
	history map[identifier.Endpoint][]seen
	members map[string][]grouper.Member // by group and epoch, as any record or succession said
	ready   int                         // dispatches that would have been possible
}

func newWorld(t *rapid.T) *world {
	es := engines(rapid.IntRange(4, 10).Draw(t, "engines"), 1, false)
	for _, e := range es {
		e.Fences = rapid.Bool().Draw(t, "fences")
		e.Late = rapid.Bool().Draw(t, "late")
		e.Pretends = rapid.Bool().Draw(t, "pretends")
	}
	cfg := modeler.Config{
		FailureDomain: "alpine", Engines: es, Instances: rapid.IntRange(2, 3).Draw(t, "instances"),
		Load: time.Duration(rapid.IntRange(0, 5).Draw(t, "load")) * time.Second,
	}
	cfg.Policy.FencingEndpoints = func(name identifier.Endpoint) bool {
		i := slices.IndexFunc(es, func(e *modeler.Engine) bool { return e.Name == name })
		return es[i].Fences
	}
	cfg.Policy.SuccessionDelay = time.Second
	w := &world{fleet: modeler.New(scripter.Start, cfg), history: map[identifier.Endpoint][]seen{}, members: map[string][]grouper.Member{}}
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

// pass lets instances tick for a while; each time only some effects happen, in any order. A
// paused instance neither ticks nor dispatches, and its effects come late.
func (w *world) pass(t *rapid.T) {
	paused := rapid.IntRange(0, 2*len(w.fleet.Instances)).Draw(t, "paused")
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	prompt := rapid.IntRange(1, 10).Draw(t, "prompt") // effects in ten that do not come later
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
	for _, in := range w.fleet.Instances {
		in.Behind = random.IntN(4) == 0
	}
	for range steps {
		w.fleet.Pass(step)
		w.remember()
		for i, in := range w.fleet.Instances {
			if i == paused {
				continue
			}
			w.fleet.Tick(in)
			w.checkTargets(t, in)
			for n := len(in.Pending); n > 0; n-- {
				if random.IntN(10) < prompt {
					w.fleet.Deliver(in, random.IntN(len(in.Pending)))
				}
			}
			w.remember()
		}
		w.checkRecords(t)
	}
}

// remember notes what the engines are now, and forgets what is older than lastDispatch.
func (w *world) remember() {
	now := w.fleet.Now
	for _, e := range w.fleet.Engines() {
		h := slices.DeleteFunc(w.history[e.Name], func(s seen) bool { return now.Sub(s.at) > lastDispatch })
		if e.Up() {
			h = append(h, seen{now, e.Group, e.Epoch, e.ProcessStart})
		}
		w.history[e.Name] = h
	}
}

// checkRecords fails if the platform has a record that must not be.
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

// checkEpoch fails if a group's epoch ever stood for other members.
func (w *world) checkEpoch(t *rapid.T, a grouper.Assignment) {
	key := fmt.Sprint(a.Group, a.Epoch)
	if was, ok := w.members[key]; ok && !slices.Equal(was, a.Members) {
		t.Fatalf("%s stood for %v and stands for %v", key, was, a.Members)
	}
	w.members[key] = a.Members
}

// checkTargets fails if an endpoint is in two ready targets, or if a ready target has a
// member that was not in it with the same process within lastDispatch.
func (w *world) checkTargets(t *rapid.T, in *modeler.Instance) {
	used := map[identifier.Endpoint]string{}
	for _, target := range in.Targets {
		if !target.Ready || target.Leaving {
			continue
		}
		w.ready++
		for i, m := range target.Members {
			if used[m] != "" {
				t.Fatalf("%s is in %s and in %s", m, used[m], target.ID)
			}
			used[m] = target.ID
			if !w.wasMember(target, i) {
				t.Fatalf("instance %s would dispatch to %s epoch %d without %s", in.Name, target.ID, target.Epoch, m)
			}
		}
	}
}

// wasMember reports whether member i of target was in it lately, in the process that the record names.
func (w *world) wasMember(target router.Target, i int) bool {
	m := w.members[fmt.Sprint(target.ID, target.Epoch)][i]
	return slices.ContainsFunc(w.history[m.Endpoint], func(s seen) bool {
		return s.group == identifier.Group(target.ID) && s.epoch == target.Epoch && s.start == m.ProcessStart
	})
}

// TestNoEndpointServesTwoGroups interleaves racing and paused holders, late effects, dead and
// returning members, outages and rollouts at random.
func TestNoEndpointServesTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		version := 1
		engine := func(t *rapid.T) *modeler.Engine { return rapid.SampledFrom(w.fleet.Engines()).Draw(t, "engine") }
		actions := map[string]func(*rapid.T){
			"pass":     w.pass,
			"passMore": w.pass,
			"stop":     func(t *rapid.T) { engine(t).Stop() },
			"restart":  func(t *rapid.T) { e := engine(t); e.Stop(); e.Start() },
			"start": func(t *rapid.T) {
				e := engine(t)
				e.Start()
				e.Reachable = true
			},
			"cut":      func(t *rapid.T) { engine(t).Reachable = false },
			"platform": func(t *rapid.T) { w.fleet.Platform.Down = rapid.Bool().Draw(t, "down") },
			"cutOff":   func(t *rapid.T) { w.drawInstance(t).Cut = rapid.Bool().Draw(t, "cut") },
			"believe": func(t *rapid.T) {
				w.fleet.Believe(w.drawInstance(t), "fab0", w.fleet.Now.Add(time.Minute))
			},
			"rollout": func(*rapid.T) {
				version++
				w.setBundle(version, version)
			},
		}
		for range rapid.IntRange(10, 60).Draw(t, "actions") {
			name := rapid.SampledFrom([]string{
				"pass", "passMore", "pass", "passMore", "stop", "restart", "start", "start", "cut", "platform", "cutOff", "believe", "rollout",
			}).Draw(t, "action")
			actions[name](t)
		}
	})
}
