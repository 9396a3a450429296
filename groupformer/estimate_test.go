package groupformer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

var estimateProfile = resolver.EngineProfile{
	Slots: 34, MeanPromptTokens: 900, MeanAnswerTokens: 100, PrefillTokensPerSecond: 46000, DecodeStep: 6070 * time.Microsecond, DecodeStepPerRequest: 241 * time.Microsecond,
	Models: []resolver.Model{{Name: "m0", GroupSize: 8, Share: 0.5, TimeFactor: 1}, {Name: "m1", GroupSize: 4, Share: 0.5, TimeFactor: 0.6}},
}

// TestNeed checks the need of m1 on deployment J against a calculation by hand: at 0.7 of 34 slots a step takes 11.81 ms, so that a
// request of 674 and 115 tokens takes 0.6 * (14.7 + 1,357.7) ms = 0.823 s, and its prefill of 0.6 * 14.7 = 8.8 ms also stops the
// decode steps of the others.
func TestNeed(t *testing.T) {
	is := is.New(t)
	a := arrivals{perSecond: 347, promptTokens: 674, answerTokens: 115}
	n := needOf(&estimateProfile, estimateProfile.Models[1], a, 1.0/3, 0)
	is.True(math.Abs(n.present-347*(0.823/23.8+0.0088)) < 0.05)
	is.True(math.Abs(n.loss-1.5*n.present) < 1e-9)
	is.True(n.jump > 25 && n.jump < 26)
	idle := needOf(&estimateProfile, estimateProfile.Models[1], arrivals{}, 1.0/3, 0)
	is.Equal(idle.present, 1.0) // a model with a share keeps a group
}

// TestRatesAreRightFromFirstReport guards against estimates that grow with the number of reports, which would move groups although
// nothing changes.
func TestRatesAreRightFromFirstReport(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	var r demandReports
	k := poolKey{"guides", "m0"}
	report := func(instance identifier.Instance, domain identifier.FailureDomain, instances int) {
		r.add(now, DemandReported{
			Instance: instance, FailureDomain: domain, Elapsed: 2 * time.Second, Instances: instances,
			Models: []ModelDemand{{Service: "guides", Model: "m0", Requests: 40, Prompts: 40, PromptTokens: 40000, Answers: 40, AnswerTokens: 2000}},
		})
	}
	for range 20 {
		report("a", "z0", 2)
		report("b", "z1", 2)
		a := r.arrivals(now, k, &estimateProfile)
		is.True(math.Abs(a.perSecond-40) < 1e-9)
		is.True(math.Abs(a.byDomain["z1"]-20) < 1e-9)
		now = now.Add(2 * time.Second)
	}
	a := r.arrivals(now, k, &estimateProfile)
	is.True(a.promptTokens > 980 && a.answerTokens < 53) // the profile's means hardly count beside what was measured
	report("a", "z0", 4)
	is.True(math.Abs(r.arrivals(now, k, &estimateProfile).perSecond-80) < 1e-9) // two of four instances report
	report("a", "z0", 2)
	now = now.Add(20 * time.Second)
	late := r.arrivals(now, k, &estimateProfile).perSecond
	is.True(late < 20 && late > 10) // both are silent
	now = now.Add(2 * time.Minute)
	is.True(r.arrivals(now, k, &estimateProfile).known < minKnownRequests)
}

// TestAllocate checks, for random needs, that an allocation uses no more engines than there are, leaves no group unformed that a model with a
// need could use, and gives each model a group if possible; and that no model gets its headroom for a jump before
// the others have what their present work needs.
func TestAllocate(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 20000 {
		var needs []need
		smallest, sum := 1<<30, 0
		for m := range 1 + r.IntN(3) {
			size := 1 + r.IntN(10)
			present := 12 * r.Float64()
			needs = append(needs, need{model: resolver.Model{Name: fmt.Sprint(m), GroupSize: size}, present: present, loss: 1.5 * present, jump: 2.1 * present})
			smallest = min(smallest, size)
			sum += size
		}
		engines := r.IntN(300)
		groups := allocate(needs, engines)
		used, presentEngines, largest := 0, 0.0, 0
		for _, n := range needs {
			used += groups[n.model.Name] * n.model.GroupSize
			presentEngines += n.present * float64(n.model.GroupSize)
			largest = max(largest, n.model.GroupSize)
		}
		is.True(used <= engines)
		is.True(engines-used < smallest)
		for _, n := range needs {
			if engines >= 3*sum {
				is.True(groups[n.model.Name] > 0)
			}
			if presentEngines+float64(sum) <= float64(engines) && float64(groups[n.model.Name]) < math.Floor(n.present) {
				t.Fatalf("case %d: model %s needs %.2f groups for its present work and has %d of %v, %d engines", i, n.model.Name, n.present, groups[n.model.Name], groups, engines)
			}
		}
	}
}

// TestAbsentDomainHasNoCapacity guards against capacity of an absent failure domain that counts for demand: without it, the
// allocation of the others must be what a fleet without that domain has.
func TestAbsentDomainHasNoCapacity(t *testing.T) {
	is := is.New(t)
	f := New(Config{})
	var domains []*domain
	for i := range 9 {
		d := &domain{service: "guides", profile: &estimateProfile, name: identifier.FabricDomain(fmt.Sprint(i)), failureDomain: identifier.FailureDomain(fmt.Sprint(i / 3))}
		for range 19 {
			d.engines = append(d.engines, &engine{listed: true})
		}
		domains = append(domains, d)
	}
	all := f.capacityOf("guides", domains)
	is.Equal(all.usable, 144)
	is.Equal(all.live, 171)
	f.evacuated = map[identifier.FailureDomain]bool{"1": true}
	two := f.capacityOf("guides", domains)
	is.Equal(two.usable, 96)
	is.Equal(two.largestPart, 0.5)
}

// TestLostGroupsCountAsNeed guards against a model with large groups that has too few of them while engines die: each lost engine
// ends the group of all its members, and another one serves only some seconds later.
func TestLostGroupsCountAsNeed(t *testing.T) {
	is := is.New(t)
	f := New(Config{})
	now := time.Unix(0, 0)
	m := estimateProfile.Models[0]
	for range 60 { // a group each two seconds for two minutes
		now = now.Add(2 * time.Second)
		f.countLoss(now, &group{service: "guides", model: m, phase: phaseServing}, "dead")
		f.countLoss(now, &group{service: "guides", model: m, phase: phaseServing}, "lent") // no loss
	}
	out := f.groupsOut(now, "guides", m.Name)
	is.True(out > 2.5 && out < 3.5) // six seconds of half a group per second
	a := arrivals{perSecond: 30, promptTokens: 1000, answerTokens: 100}
	with, without := needOf(&estimateProfile, m, a, 1.0/3, out), needOf(&estimateProfile, m, a, 1.0/3, 0)
	is.True(with.present > without.present+2.5)
	is.True(with.loss > without.loss+2.5)
	is.True(f.groupsOut(now.Add(time.Minute), "guides", m.Name) < 0.1) // losses are forgotten
	is.Equal(f.groupsOut(now, "guides", "other"), 0.0)
}

// TestInstancesWithoutWorkAreKnown guards against listed instances without requests that count like the others, which made the
// estimate up to ten times too high.
func TestInstancesWithoutWorkAreKnown(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	var r demandReports
	for range 5 {
		for i := range 10 {
			report := DemandReported{Instance: identifier.Instance(fmt.Sprint(i)), FailureDomain: "z0", Elapsed: 2 * time.Second, Instances: 10}
			if i == 0 {
				report.Models = []ModelDemand{{Service: "guides", Model: "m0", Requests: 40}}
			}
			r.add(now, report)
		}
		now = now.Add(2 * time.Second)
	}
	is.True(math.Abs(r.arrivals(now, poolKey{"guides", "m0"}, &estimateProfile).perSecond-20) < 1e-9)
}

// TestIdleTimeBeforeFirstRequestDoesNotCount guards against idle reports of a system that waits for its traffic, which kept the estimate
// down for 15 s, so that shares did not change before a burst.
func TestIdleTimeBeforeFirstRequestDoesNotCount(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	var r demandReports
	report := DemandReported{Instance: "i0", FailureDomain: "z0", Elapsed: 2 * time.Second, Instances: 1}
	for range 8 {
		r.add(now, report)
		now = now.Add(2 * time.Second)
	}
	is.True(!r.hasBegun())
	report.Models = []ModelDemand{{Service: "guides", Model: "m0", Requests: 40}}
	r.add(now, report)
	is.True(r.hasBegun())
	is.True(math.Abs(r.arrivals(now, poolKey{"guides", "m0"}, &estimateProfile).perSecond-20) < 1e-9)
}

// TestReportAfterIdleTimeIsSoonOutweighed guards against one report that covers an idle minute and keeps the rate down: the same work must be
// known as soon as if the instance had reported the idle time at each interval.
func TestReportAfterIdleTimeIsSoonOutweighed(t *testing.T) {
	is := is.New(t)
	const interval = 2 * time.Second
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	var once, often demandReports
	report := func(r *demandReports, elapsed time.Duration, requests int) {
		r.add(now, DemandReported{Instance: "a", FailureDomain: "z0", Elapsed: elapsed, Instances: 1, Models: []ModelDemand{{Service: "guides", Model: "m0", Requests: requests}}})
	}
	for range 30 {
		now = now.Add(interval)
		report(&often, interval, 0)
	}
	report(&once, time.Minute, 0)
	k := poolKey{"guides", "m0"}
	for i := range 15 {
		now = now.Add(interval)
		report(&once, interval, 80)
		report(&often, interval, 80)
		got, want := once.arrivals(now, k, &estimateProfile).perSecond, often.arrivals(now, k, &estimateProfile).perSecond
		t.Log(time.Duration(i+1)*interval, got, want)
		is.True(got >= 0.95*want)
	}
}
