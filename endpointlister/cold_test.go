package endpointlister_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
)

// TestWarmAtFollowsEntries checks that the end of a cold time counts from when an entry was received, that the writes of a cold
// endpoint, which differ only in what is left of the same time, change nothing, and that another time does. A list that changes
// with each write costs each instance the work of a change for each cold endpoint and second.
func TestWarmAtFollowsEntries(t *testing.T) {
	l := endpointlister.New(endpointlister.Config{})
	now := scripter.Start
	for _, step := range []struct {
		name    string
		after   time.Duration // since the start
		start   identifier.ProcessStart
		warmup  time.Duration
		warmAt  time.Duration // since the start; zero if the list does not change
		isReset bool          // the list says that the endpoint is warm
	}{
		{name: "the entry of a new process", after: 0, start: 1, warmup: 3 * time.Second, warmAt: 3 * time.Second},
		{name: "a write that took 200 ms less", after: 800 * time.Millisecond, start: 1, warmup: 2 * time.Second},
		{name: "a write that took longer", after: 1500 * time.Millisecond, start: 1, warmup: 1600 * time.Millisecond, warmAt: 3100 * time.Millisecond},
		{name: "a stuck value, which lasts from each write", after: 2 * time.Second, start: 1, warmup: 1600 * time.Millisecond, warmAt: 3600 * time.Millisecond},
		{name: "a much shorter time", after: 2500 * time.Millisecond, start: 1, warmup: 500 * time.Millisecond, warmAt: 3 * time.Second},
		{name: "warm in time", after: 3100 * time.Millisecond, start: 1},
		{name: "cold again without a start", after: 4 * time.Second, start: 1, warmup: 3 * time.Second, warmAt: 7 * time.Second},
		{name: "warm early", after: 5 * time.Second, start: 1, isReset: true},
		{name: "another process", after: 6 * time.Second, start: 2, warmup: time.Second, warmAt: 7 * time.Second},
		{name: "another process that is warm", after: 6500 * time.Millisecond, start: 3, isReset: true},
	} {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			e := endpointlister.Endpoint{ID: "e", Warmup: step.warmup, ProcessStart: step.start}
			actions := l.Step(now.Add(step.after), endpointlister.EntryWritten{Endpoint: e})
			if step.warmAt == 0 && !step.isReset {
				is.Equal(len(actions), 0)
				return
			}
			is.Equal(len(actions), 1)
			got := actions[0].(endpointlister.EndpointListed).Endpoint.WarmAt
			if step.isReset {
				is.True(got.IsZero())
				return
			}
			is.Equal(got, now.Add(step.warmAt))
		})
	}
}
