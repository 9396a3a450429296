package leaser_test

import (
	"fmt"
	"time"

	"amaranthmill/leaser"
)

// A Core checks whether the key is free, requests a lease, claims the key under it and renews it.
func ExampleCore() {
	c := leaser.NewCore(leaser.Config{TTL: 10 * time.Second})
	now := time.Unix(0, 0)
	for _, e := range []leaser.Event{
		leaser.Tick{},
		leaser.Answered{Call: leaser.CallCheck},
		leaser.Answered{Call: leaser.CallGrant, Lease: "l1"},
		leaser.Answered{Call: leaser.CallClaim, Fence: 12},
		leaser.Answered{Call: leaser.CallRenew},
	} {
		for _, a := range c.Step(now, e) {
			switch a := a.(type) {
			case leaser.MakeCall:
				fmt.Printf("call %d for lease %q\n", a.Call, a.Lease)
			case leaser.Hold:
				fmt.Println("hold for", a.Until.Sub(now), "with fence", a.Fence)
			}
		}
	}
	// Output:
	// call 0 for lease ""
	// call 1 for lease ""
	// call 2 for lease "l1"
	// call 3 for lease "l1"
	// hold for 7.5s with fence 12
}
