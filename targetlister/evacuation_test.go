package targetlister_test

import (
	"testing"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/targetlister"
)

// TestEvacuatedDomain guards against evacuated targets that are removed, which would hedge their running requests,
// against groups whose head is evacuated and that stay in use, and against groups with an evacuated member that are
// used like whole ones.
func TestEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	engine := func(id identifier.Endpoint, domain identifier.FailureDomain, group identifier.Group, state endpointlister.MemberState) endpointlister.Endpoint {
		return endpointlister.Endpoint{ID: id, Service: "guides", FailureDomain: domain, Models: []string{"small"}, Slots: 4, Membership: endpointlister.Membership{Group: group, Epoch: 1, State: state}}
	}
	l := targetlister.New()
	l.SetServices(services)
	is.Equal(len(l.SetEvacuated([]identifier.FailureDomain{"z9"}).Changed), 0) // a domain without endpoints
	l.Apply(endpointlister.Changes{Complete: true, Changed: []endpointlister.Endpoint{
		engine("a1", "z1", "inside", endpointlister.MemberOpen), engine("a2", "z1", "inside", endpointlister.MemberReady),
		engine("b1", "z2", "across", endpointlister.MemberOpen), engine("b2", "z1", "across", endpointlister.MemberReady),
		engine("c1", "z2", "outside", endpointlister.MemberOpen), engine("c2", "z2", "outside", endpointlister.MemberReady),
	}})
	changes := l.SetEvacuated([]identifier.FailureDomain{"z1"})
	is.Equal(len(changes.Removed), 0)
	is.Equal(len(changes.Changed), 2)
	is.Equal(changes.Changed[0].ID, identifier.Endpoint("a1"))
	is.True(changes.Changed[0].Evacuated)
	is.Equal(changes.Changed[1].ID, identifier.Endpoint("b1"))
	is.True(!changes.Changed[1].Evacuated)
	is.True(changes.Changed[1].MemberMissing) // used last
	listed := l.Apply(endpointlister.Changes{Changed: []endpointlister.Endpoint{{ID: "p1", Service: "ledger", FailureDomain: "z1", Slots: 1}}})
	is.True(listed.Changed[0].Evacuated) // listed during the evacuation
	is.Equal(l.CountListed("z1"), 4)
	restored := l.SetEvacuated(nil)
	is.Equal(len(restored.Changed), 3)
	for _, target := range restored.Changed {
		is.True(!target.Evacuated && !target.MemberMissing)
	}
}
