package router_test

import (
	"fmt"
	"time"

	"amaranthmill/router"
)

// Step applies an event and returns the actions to carry out. In this example the first
// attempt of a stream breaks after five characters, and the second attempt resumes the
// stream on another group.
func ExampleNew() {
	now := time.Unix(0, 0)
	r := router.New(router.Config{})
	r.Step(now, router.TargetsSet{Targets: []router.Target{
		{ID: "g1", Pool: "guides", Epoch: 1, Ready: true, Capacity: 8},
		{ID: "g2", Pool: "guides", Epoch: 4, Ready: true, Slow: true, Capacity: 8},
	}})
	req := &router.Request{Pool: "guides", Deadline: now.Add(time.Minute)}
	fmt.Println(describe(r.Step(now, router.Arrived{Ref: 1, Request: req})[0]))
	broken := router.Ended{Ref: 1, Attempt: 1, Ending: router.Broken{}, Delivered: 5, Started: true}
	fmt.Println(describe(r.Step(now, broken)[0]))
	// Output:
	// dispatch ref=1 attempt=1 to=g1 resume=0
	// dispatch ref=1 attempt=2 to=g2 resume=5
}
