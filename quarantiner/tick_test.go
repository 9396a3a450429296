package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/scripter"
	"amaranthmill/quarantiner"
)

// TestEventsDoNotReplaceTheDueTick checks that an event at the time of a tick that is due and has
// not come yet requests no other tick, which would come later.
func TestEventsDoNotReplaceTheDueTick(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(quarantiner.Config{})
	report := quarantiner.ReportReceived{Report: quarantiner.Report{Fingerprint: 1, Losses: benchLosses(1)}}
	due := lastWakeAt(q.Step(scripter.Start, report))
	is.True(!due.IsZero())
	is.True(lastWakeAt(q.Step(due, report)).IsZero())
	is.True(lastWakeAt(q.Step(due.Add(time.Millisecond), quarantiner.Ticked{})).After(due))
}

// lastWakeAt returns the time of the tick that actions request, or zero.
func lastWakeAt(actions []quarantiner.Action) time.Time {
	var at time.Time
	for _, a := range actions {
		if w, ok := a.(quarantiner.WakeAt); ok {
			at = w.At
		}
	}
	return at
}
