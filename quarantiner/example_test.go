package quarantiner_test

import (
	"fmt"
	"net/netip"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
)

// Two endpoints end under a request, which is then quarantined at this instance and announced to
// the others.
func ExampleQuarantiner() {
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	q := quarantiner.New(quarantiner.Config{})
	address := netip.MustParseAddrPort("10.1.0.7:9000")
	q.Step(now, quarantiner.EndpointsChanged{Complete: true, Changed: []endpointlister.Endpoint{
		{ID: "ledger-1", ProcessStart: 1, Address: address}, {ID: "ledger-2", ProcessStart: 1, Address: address},
	}})
	for _, endpoint := range []identifier.Process{{Endpoint: "ledger-1", Start: 1}, {Endpoint: "ledger-2", Start: 1}} {
		q.Step(now, quarantiner.AttemptStarted{Fingerprint: 7})
		q.Step(now, quarantiner.AttemptEnded{Fingerprint: 7, Process: endpoint, Result: quarantiner.ResultBroken})
		for _, a := range q.Step(now, quarantiner.ConnectionChecked{Process: endpoint, Accepted: false}) {
			switch a := a.(type) {
			case quarantiner.Restrict:
				fmt.Println("restrict", a.Restriction)
			case quarantiner.Announce:
				fmt.Println("announce", len(a.Report.Losses))
			}
		}
	}
	// Output:
	// announce 1
	// restrict oneAtATime
	// announce 2
	// restrict quarantined
}
