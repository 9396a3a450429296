package endpointlister_test

import (
	"fmt"
	"time"

	"amaranthmill/endpointlister"
)

// An entry that expires while the store is unreachable does not remove its endpoint from the
// list until the grace period after the outage has ended.
func ExampleLister() {
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	l := endpointlister.New(endpointlister.Config{})
	show := func(actions []endpointlister.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case endpointlister.EndpointListed:
				fmt.Println(a.Endpoint.ID, "is listed")
			case endpointlister.EndpointDelisted:
				fmt.Println(a.ID, "is gone")
			}
		}
	}
	show(l.Step(now, endpointlister.EntryWritten{Endpoint: endpointlister.Endpoint{ID: "ledger-1", Service: "ledger", Slots: 4}}))
	l.Step(now.Add(time.Second), endpointlister.StoreLost{AnsweredAt: now})
	show(l.Step(now.Add(2*time.Second), endpointlister.EntryRemoved{ID: "ledger-1"}))
	l.Step(now.Add(3*time.Second), endpointlister.StoreRegained{})
	show(l.Step(now.Add(20*time.Second), endpointlister.Ticked{}))
	// Output:
	// ledger-1 is listed
	// ledger-1 is gone
}
