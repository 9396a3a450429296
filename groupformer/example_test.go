package groupformer_test

import (
	"fmt"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Two engines without weights in one fabric domain are ordered to join one group.
func ExampleFormer() {
	f := groupformer.New(groupformer.Config{FirstStart: true})
	now := time.Unix(0, 0)
	profile := &resolver.EngineProfile{Models: []resolver.Model{{Name: "small", GroupSize: 2, Share: 1, LoadTime: time.Second}}}
	f.Step(now, groupformer.ServicesSet{Services: []resolver.Service{{Name: "guides", Engine: profile}}})
	var engines []endpointlister.Endpoint
	for _, id := range []identifier.Endpoint{"e1", "e2"} {
		engines = append(engines, endpointlister.Endpoint{ID: id, Service: "guides", FailureDomain: "alpine", FabricDomain: "rack-1"})
	}
	f.Step(now, groupformer.EndpointsChanged{Complete: true, Changed: engines})
	f.Step(now, groupformer.LeaseSet{Until: now.Add(time.Minute), Fence: 1})
	for _, a := range f.Step(now.Add(2*time.Second), groupformer.Ticked{}) {
		if order, ok := a.(groupformer.Order); ok {
			join := order.Operation.(groupformer.Join)
			fmt.Println(order.ID, "joins", join.Model, join.Members)
		}
	}
	// Output:
	// e1 joins small [e1 e2]
	// e2 joins small [e1 e2]
}
