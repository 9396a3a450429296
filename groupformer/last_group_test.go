package groupformer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// TestLastSpanningGroupOutsideStays guards against the reassignment of the last group of a model outside the evacuated domains
// if that group spans fabric domains, because such a group is otherwise reassigned whatever its model has left.
func TestLastSpanningGroupOutsideStays(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	large, small := resolver.Model{Name: "large", GroupSize: 2, Share: 0.5}, resolver.Model{Name: "small", GroupSize: 1, Share: 0.5}
	f := New(Config{})
	f.services["guides"] = &resolver.EngineProfile{Models: []resolver.Model{large, small}}
	addGroup := func(name string, failureDomain identifier.FailureDomain, fabricDomains ...identifier.FabricDomain) {
		g := &group{name: identifier.Group(name), epoch: 1, model: large, service: "guides", phase: phaseServing}
		for n, d := range fabricDomains {
			e := &engine{listed: true, Endpoint: endpointlister.Endpoint{
				ID: identifier.Endpoint(fmt.Sprintf("%s-%d", name, n)), Service: "guides", FailureDomain: failureDomain, FabricDomain: d, Models: []string{"large"}, Staged: []string{"small"},
				Membership: endpointlister.Membership{Group: g.name, Epoch: 1, Rank: n},
			}}
			f.engines[e.ID] = e
			g.members = append(g.members, e.ID)
		}
		f.groups[g.name] = g
	}
	addGroup("evacuated", "z0", "z0-a", "z0-a")
	addGroup("last", "z1", "z1-a", "z1-b")
	reassign := func() bool {
		domains := f.domains()
		d := domains[len(domains)-1] // in z1
		return f.reassignGroups(now, d, f.supplies(domains)[supplyKey{"guides", "z1"}], small, 0)
	}
	f.setEvacuated([]identifier.FailureDomain{"z0"})
	is.True(!reassign())
	f.setEvacuated(nil)
	is.True(reassign())
}
