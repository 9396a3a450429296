package scheduler_test

import (
	"fmt"
	"time"

	"amaranthmill/scheduler"
)

// A request is sent to the target with the lowest score, here the idle target in the local
// failure domain. If no byte of that attempt was sent, the second target gets the request.
func ExampleScheduler() {
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	s := scheduler.New(scheduler.Config{FailureDomain: "alpine"})
	s.Step(now, scheduler.TargetsChanged{Complete: true, Changed: []scheduler.Target{
		{ID: "ledger-1", Pool: "ledger", FailureDomain: "alpine", Slots: 4},
		{ID: "ledger-2", Pool: "ledger", FailureDomain: "marfa", Slots: 4},
	}})
	show := func(actions []scheduler.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case scheduler.Send:
				fmt.Println("attempt", a.Attempt, "at", a.Target.ID)
			case scheduler.Finish:
				fmt.Printf("%T\n", a.Outcome)
			}
		}
	}
	show(s.Step(now, scheduler.Arrived{Ref: 1, Request: scheduler.Request{
		Service: "ledger", Pool: "ledger", ArrivedAt: now, LatencyGoal: 100 * time.Millisecond,
		Deadline: now.Add(2 * time.Second), Repeatable: true, MaxAttempts: 2,
	}}))
	show(s.Step(now.Add(20*time.Millisecond), scheduler.Ended{Ref: 1, Attempt: 1, Ending: scheduler.NotSent{}}))
	show(s.Step(now.Add(30*time.Millisecond), scheduler.Ended{Ref: 1, Attempt: 2, Ending: scheduler.Completed{}}))
	// Output:
	// attempt 1 at ledger-1
	// attempt 2 at ledger-2
	// scheduler.Delivered
}
