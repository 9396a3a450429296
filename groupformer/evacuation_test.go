package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// newProfile returns profile with other shares of the models.
func newProfile(large, small float64) *resolver.EngineProfile {
	p := profile
	p.Models = append([]resolver.Model(nil), profile.Models...)
	p.Models[0].Share, p.Models[1].Share = large, small
	return &p
}

// evacuate replaces the evacuated failure domains.
func (f *fleet) evacuate(domains ...identifier.FailureDomain) {
	f.step(groupformer.EvacuationChanged{Domains: domains})
}

// countServingIn returns the number of open heads in a failure domain by model.
func (f *fleet) countServingIn(domain identifier.FailureDomain) map[string]int {
	out := map[string]int{}
	for _, e := range f.engines {
		if e.FailureDomain == domain && !e.dead && e.Membership.Rank == 0 && e.Membership.State == endpointlister.MemberOpen {
			out[e.Models[0]]++
		}
	}
	return out
}

// TestOtherDomainsTakeOver guards against capacity of an evacuated domain that counts as present: the only group of a model is there.
// Another domain must form one, the groups of the evacuated domain must stay, and the model that gives up engines must keep some.
func TestOtherDomainsTakeOver(t *testing.T) {
	is := is.New(t)
	f := newFleetWithProfile(newProfile(0.25, 0.75), 1, 2, 1, 8)
	f.run(8 * time.Second)
	f.startRequests()
	f.run(40 * time.Second) // second models are staged
	is.Equal(f.countServingIn("z0"), map[string]int{"small": 4})
	is.Equal(f.countServingIn("z1"), map[string]int{"large": 1, "small": 2})
	f.evacuate("z1")
	f.run(12 * time.Second)
	is.Equal(f.countServingIn("z1"), map[string]int{"large": 1, "small": 2})
	is.Equal(f.countServingIn("z0"), map[string]int{"large": 1, "small": 2})
	dissolved := len(f.dissolved)
	f.run(time.Minute)
	is.Equal(len(f.dissolved), dissolved) // nothing moves back and forth
	f.check(t)
}

// TestGroupsOfEvacuatedDomainAreRepaired guards against an evacuated domain that is not complete when it returns.
func TestGroupsOfEvacuatedDomainAreRepaired(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 1, 8)
	f.run(8 * time.Second)
	f.startRequests()
	f.run(40 * time.Second)
	before := f.countServingIn("z1")
	f.evacuate("z1")
	f.run(2 * time.Second)
	for _, id := range f.ids() {
		if e := f.engines[id]; e.FailureDomain == "z1" && e.Membership.Rank == 1 {
			f.crash(e)
			f.add("z1", e.FabricDomain)
			break
		}
	}
	f.run(time.Minute)
	is.Equal(f.countServingIn("z1"), before)
	f.check(t)
}

// TestLastGroupOutsideStays guards against a model without any group outside the evacuated domains because its last one there was
// reassigned, for many fleets, shares and evacuations.
func TestLastGroupOutsideStays(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			large := 0.2 + 0.6*float64(seed%4)/3
			f := newFleetWithProfile(newProfile(large, 1-large), seed, 3, 1, 8)
			f.run(8 * time.Second)
			f.startRequests()
			f.run(20 * time.Second)
			evacuated := [][]identifier.FailureDomain{{"z0"}, {"z1"}, {"z2"}, {"z0", "z1"}}[seed/4%4]
			f.evacuate(evacuated...)
			had := f.countServingOutside(evacuated)
			for range 200 {
				f.run(200 * time.Millisecond)
				for model, n := range had {
					is.True(n == 0 || f.countServingOutside(evacuated)[model] > 0) // the model has lost its last group
				}
			}
			f.check(t)
		})
	}
}

// countServingOutside returns the number of open heads outside the evacuated domains by model.
func (f *fleet) countServingOutside(evacuated []identifier.FailureDomain) map[string]int {
	out := map[string]int{}
	for _, domain := range []identifier.FailureDomain{"z0", "z1", "z2"} {
		isOutside := true
		for _, d := range evacuated {
			isOutside = isOutside && d != domain
		}
		if isOutside {
			for model, n := range f.countServingIn(domain) {
				out[model] += n
			}
		}
	}
	return out
}

// TestNoGroupSpansEvacuatedDomain guards against groups that are formed of engines of an evacuated domain and of others.
func TestNoGroupSpansEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	p := newProfile(1, 0)
	p.Models = p.Models[:1] // groups of four, of two domains with three engines each
	f := newFleetWithProfile(p, 1, 2, 1, 3)
	f.evacuate("z0")
	f.run(40 * time.Second)
	is.Equal(f.countServing()["large"], 0)
	f.evacuate()
	f.run(20 * time.Second)
	is.Equal(f.countServing()["large"], 1)
	f.check(t)
}

// TestSuccessorKnowsEvacuations guards against a new holder of the lease that forgets the evacuations of its own replica, which it
// learned before it got the lease.
func TestSuccessorKnowsEvacuations(t *testing.T) {
	is := is.New(t)
	f := newFleetWithProfile(newProfile(0.25, 0.75), 1, 2, 1, 8)
	f.run(8 * time.Second)
	f.startRequests()
	f.run(40 * time.Second)
	f.core = groupformer.New(groupformer.Config{})
	f.step(groupformer.ServicesSet{Services: []resolver.Service{{Name: "guides", Engine: f.profile}}})
	f.evacuate("z1") // the view submits it before the list of the same batch
	f.published = nil
	f.publishList()
	f.run(time.Second)
	f.step(groupformer.LeaseSet{Until: f.now.Add(24 * time.Hour), Fence: 2})
	f.run(15 * time.Second)
	is.Equal(f.countServingIn("z1"), map[string]int{"large": 1, "small": 2})
	is.Equal(f.countServingIn("z0"), map[string]int{"large": 1, "small": 2})
	f.check(t)
}
