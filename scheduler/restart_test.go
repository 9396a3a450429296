package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// TestRestartedInstanceSpendsRetriesAgain restarts an instance three times within one window of
// the retry budget while every first attempt breaks. A process that knows nothing of its
// predecessor must not spend the slack that the predecessor may have spent.
func TestRestartedInstanceSpendsRetriesAgain(t *testing.T) {
	const ratio, slack, requestsPerProcess, window = 0.2, 20, 50, 10 * time.Second
	is := is.New(t)
	retries := 0
	for process := range 4 {
		core := scheduler.New(scheduler.Config{RetryRatio: ratio, RetrySlack: slack, RetryWindow: window, FirstStart: process == 0})
		now := scripter.Start.Add(time.Duration(process) * window / 4)
		core.Step(now, scheduler.TargetsChanged{Complete: true, Changed: []scheduler.Target{{ID: "a", Pool: "ledger", Slots: 1000}, {ID: "b", Pool: "ledger", Slots: 1000}}})
		for ref := range scheduler.Ref(requestsPerProcess) {
			retries += countRetries(core, now, ref)
		}
	}
	bound := int(ratio*4*requestsPerProcess + slack)
	t.Logf("%d retries, %d allowed", retries, bound)
	is.True(retries <= bound)
	is.True(retries > slack) // the ratio may be spent at once
}

// TestSlackReturnsAfterWindow checks that a restarted instance has its slack again once the
// window in which its predecessor may have spent it is over.
func TestSlackReturnsAfterWindow(t *testing.T) {
	is := is.New(t)
	core := scheduler.New(scheduler.Config{RetryRatio: 0.01, RetrySlack: 5, RetryWindow: 10 * time.Second})
	set := scheduler.TargetsChanged{Complete: true, Changed: []scheduler.Target{{ID: "a", Pool: "ledger", Slots: 1000}, {ID: "b", Pool: "ledger", Slots: 1000}}}
	core.Step(scripter.Start, set)
	is.Equal(countRetries(core, scripter.Start.Add(9*time.Second), 1), 0)
	is.Equal(countRetries(core, scripter.Start.Add(10*time.Second), 2), 1)
}

// countRetries sends a repeatable request whose first attempt breaks, and returns the number of retries.
func countRetries(core *scheduler.Scheduler, now time.Time, ref scheduler.Ref) int {
	core.Step(now, scheduler.Arrived{Ref: ref, Request: scheduler.Request{
		Service: "ledger", Pool: "ledger", Repeatable: true, ArrivedAt: now, Deadline: now.Add(time.Second), MaxAttempts: 2,
	}})
	retries := 0
	for _, a := range core.Step(now, scheduler.Ended{Ref: ref, Attempt: 1, Ending: scheduler.Broken{}}) {
		if _, ok := a.(scheduler.Send); ok {
			retries++
		}
	}
	core.Step(now, scheduler.Ended{Ref: ref, Attempt: 2, Ending: scheduler.Completed{}})
	return retries
}
