package limitsharer_test

import (
	"fmt"
	"time"

	"amaranthmill/limitsharer"
)

// Two instances that announced no demand yet share an account's limit equally.
func Example() {
	now := time.Date(2026, time.January, 5, 20, 0, 0, 0, time.UTC)
	c := limitsharer.New(limitsharer.Config{Instance: "entry-1"})
	c.Step(now, limitsharer.AccountsSet{Accounts: []limitsharer.Account{{Name: "observatory", RequestsPerSecond: 40}}})
	for _, a := range c.Step(now, limitsharer.PeerReachable{Instance: "entry-2"}) {
		if r, ok := a.(limitsharer.SetRate); ok {
			fmt.Printf("%s: %.0f requests a second, %.2f of the limit\n", r.Account, r.RequestsPerSecond, r.Share)
		}
	}
	// Output:
	// observatory: 20 requests a second, 0.50 of the limit
}
