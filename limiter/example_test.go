package limiter_test

import (
	"fmt"
	"time"

	"amaranthmill/limiter"
)

// A pool with one slot admits the first request. The second waits until the first is released.
func Example() {
	now := time.Date(2026, time.January, 5, 20, 0, 0, 0, time.UTC)
	l := limiter.New(limiter.Config{})
	l.Step(now, limiter.SlotsSet{Pool: "guides", Slots: 1})
	for ref := limiter.Ref(1); ref <= 2; ref++ {
		actions := l.Step(now, limiter.Arrived{Ref: ref, Account: "observatory", Pool: "guides", Deadline: now.Add(time.Minute)})
		show(ref, actions)
	}
	show(1, l.Step(now.Add(time.Second), limiter.Released{Ref: 1, Completed: true}))
	// Output:
	// after 1: admit 1
	// after 2: wait
	// after 1: admit 2
}

func show(ref limiter.Ref, actions []limiter.Action) {
	for _, a := range actions {
		if admit, ok := a.(limiter.Admit); ok {
			fmt.Printf("after %d: admit %d\n", ref, admit.Ref)
			return
		}
	}
	fmt.Printf("after %d: wait\n", ref)
}
