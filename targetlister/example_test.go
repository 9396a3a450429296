package targetlister_test

import (
	"fmt"
	"net/netip"

	"amaranthmill/endpointlister"
	"amaranthmill/resolver"
	"amaranthmill/targetlister"
)

// The endpoint of a plain service is a target until it drains.
func ExampleLister() {
	l := targetlister.New()
	l.SetServices([]resolver.Service{{Name: "ledger"}})
	e := endpointlister.Endpoint{ID: "ledger-1", Service: "ledger", Address: netip.MustParseAddrPort("10.1.0.7:9000"), Slots: 6}
	fmt.Println(l.Apply(endpointlister.Changes{Changed: []endpointlister.Endpoint{e}}).Changed[0].Address)
	e.Draining = true
	fmt.Println(l.Apply(endpointlister.Changes{Changed: []endpointlister.Endpoint{e}}).Removed)
	// Output:
	// 10.1.0.7:9000
	// [ledger-1]
}
