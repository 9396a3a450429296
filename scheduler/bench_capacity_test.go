package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// BenchmarkLearnedPlacement measures one arrival, its first event and one end while limits are learned: at half load, where each
// request is placed at once.
func BenchmarkLearnedPlacement(b *testing.B) {
	for _, targets := range []int{20, 200} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			q := newLearnedQueue(targets, targets*benchSlots/2)
			b.ReportAllocs()
			for b.Loop() {
				q.turnOverLearned(false)
			}
		})
	}
}

// BenchmarkLearnedQueue measures the same with a tick while all targets are full and requests wait.
func BenchmarkLearnedQueue(b *testing.B) {
	for _, targets := range []int{20, 200} {
		for _, waiting := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) {
				q := newLearnedQueue(targets, targets*(benchSlots+1)+waiting)
				b.ReportAllocs()
				for b.Loop() {
					q.turnOverLearned(true)
				}
				if q.refused > 0 {
					b.Fatalf("%d requests were refused", q.refused)
				}
			})
		}
	}
}

// newLearnedQueue returns a benchQueue of groups with requests, of which those that run have had their first event.
func newLearnedQueue(targets, requests int) *benchQueue {
	q := &benchQueue{now: scripter.Start, core: scheduler.New(scheduler.Config{
		RetrySlack: 10, MaxTargetWait: time.Hour, MinStreamStall: time.Hour, MinFirstEventStall: time.Hour, // most streams have only one event
	})}
	list := benchTargets(targets)
	for i := range list {
		list[i].Group = identifier.Group(list[i].ID)
	}
	q.step(scheduler.TargetsChanged{Complete: true, Changed: list})
	for range requests {
		q.arrive()
	}
	q.now = q.now.Add(50 * time.Millisecond)
	for _, s := range q.running {
		q.step(scheduler.Progressed{Ref: s.Ref, Attempt: s.Attempt, Event: true, Load: scheduler.Load{Running: 5, Slots: benchSlots}})
	}
	return q
}

// turnOverLearned lets one request arrive and the oldest attempt end, delivers the first event of the request that was
// sent last and, if ticks is set, a tick.
func (q *benchQueue) turnOverLearned(ticks bool) {
	q.now = q.now.Add(10 * time.Millisecond)
	oldest := q.running[0]
	q.running = q.running[1:]
	q.arrive()
	q.step(scheduler.Ended{Ref: oldest.Ref, Attempt: oldest.Attempt, Ending: scheduler.Completed{}})
	last := q.running[len(q.running)-1]
	q.step(scheduler.Progressed{Ref: last.Ref, Attempt: last.Attempt, Event: true})
	if ticks {
		q.step(scheduler.Ticked{})
	}
}

// BenchmarkHeldRequests measures one arrival, one end and one tick while all targets are past their limits, so that the largest number of requests is held.
func BenchmarkHeldRequests(b *testing.B) {
	for _, targets := range []int{20, 200} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			q := newLearnedQueue(targets, targets*benchSlots/2)
			arrive := func() {
				q.lastRef++
				q.step(scheduler.Arrived{Ref: q.lastRef, Request: scheduler.Request{
					Service: "guides", Pool: "guides", Repeatable: true, Stream: true, ArrivedAt: q.now, LatencyGoal: 400 * time.Millisecond,
					Deadline: q.now.Add(300 * time.Hour), MaxAttempts: 2,
				}})
			}
			for range 2 * targets { // their first events are late, at loads from 0.5
				arrive()
			}
			q.now = q.now.Add(600 * time.Millisecond)
			for _, s := range q.running[targets*benchSlots/2:] {
				q.step(scheduler.Progressed{Ref: s.Ref, Attempt: s.Attempt, Event: true, Load: scheduler.Load{Running: 7, Slots: benchSlots}})
			}
			b.ReportAllocs()
			for b.Loop() {
				q.now = q.now.Add(2 * time.Millisecond)
				arrive()
				if len(q.running) > 7*targets {
					oldest := q.running[0]
					q.running = q.running[1:]
					q.step(scheduler.Ended{Ref: oldest.Ref, Attempt: oldest.Attempt, Ending: scheduler.Completed{}})
				}
				q.step(scheduler.Ticked{})
			}
		})
	}
}
