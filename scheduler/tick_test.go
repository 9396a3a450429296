package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// TestEventPostponesDueTick delivers an event at the time of a tick, before the tick. The event
// must not request another tick, because that would replace the one that is due and delay the
// check for stalls.
func TestEventPostponesDueTick(t *testing.T) {
	is := is.New(t)
	core := scheduler.New(scheduler.Config{})
	core.Step(scripter.Start, scheduler.TargetsChanged{Complete: true, Changed: []scheduler.Target{{ID: "a", Pool: "guides", Slots: 4}}})
	request := scheduler.Request{Pool: "guides", Stream: true, ArrivedAt: scripter.Start, Deadline: scripter.Start.Add(8 * time.Second)}
	due := findWakeAt(core.Step(scripter.Start, scheduler.Arrived{Ref: 1, Request: request}))
	is.True(!due.IsZero())
	is.True(findWakeAt(core.Step(due, scheduler.Arrived{Ref: 2, Request: request})).IsZero()) // the event requests no tick
	is.True(findWakeAt(core.Step(due, scheduler.Ticked{})).After(due))
}

// findWakeAt returns the time of the tick that actions request, or zero.
func findWakeAt(actions []scheduler.Action) time.Time {
	for _, a := range actions {
		if w, ok := a.(scheduler.WakeAt); ok {
			return w.At
		}
	}
	return time.Time{}
}
