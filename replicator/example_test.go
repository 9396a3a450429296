package replicator_test

import (
	"fmt"
	"time"

	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// A Core lists the store once and then watches it. While the store does not answer, it queries peers.
func ExampleCore() {
	c := replicator.NewCore(replicator.Config{})
	now := time.Unix(0, 0)
	show := func(actions []replicator.Action) {
		for _, a := range actions {
			fmt.Printf("%T\n", a)
		}
	}
	show(c.Step(now, replicator.Started{}))
	show(c.Step(now, replicator.Listed{Snapshot: storeclient.Snapshot{Revision: 7, Entries: []storeclient.Entry{{Key: "a", Revision: 7}}}}))
	c.Step(now.Add(time.Second), replicator.Ticked{}) // starts the watch
	c.Step(now.Add(2*time.Second), replicator.Failed{Call: replicator.Call{Round: 1}})
	c.Step(now.Add(2200*time.Millisecond), replicator.Ticked{}) // starts it again
	show(c.Step(now.Add(3*time.Second), replicator.Failed{Call: replicator.Call{Round: 1}}))
	fmt.Println("at revision", c.Revision())
	// Output:
	// replicator.List
	// replicator.NotifyChanges
	// replicator.WakeAt
	// replicator.Health
	// replicator.QueryPeers
	// replicator.WakeAt
	// at revision 7
}
