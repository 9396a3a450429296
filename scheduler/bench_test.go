package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// BenchmarkRequest measures placing and completing one request while four requests per target run.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{6, 30, 300} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			now := scripter.Start
			s := scheduler.New(scheduler.Config{FailureDomain: "d0", RetryRatio: 0.2, RetrySlack: 10})
			var targets []scheduler.Target
			for i := range n {
				targets = append(targets, scheduler.Target{
					ID: identifier.Endpoint(fmt.Sprintf("e%03d", i)), Pool: "guides", Slots: 17,
					FailureDomain: identifier.FailureDomain(fmt.Sprintf("d%d", i%3)),
				})
			}
			s.Step(now, scheduler.TargetsChanged{Complete: true, Changed: targets})
			arrive := func(ref scheduler.Ref) {
				s.Step(now, scheduler.Arrived{Ref: ref, Request: scheduler.Request{
					Service: "guides", Pool: "guides", Repeatable: true, Stream: true, ArrivedAt: now, LatencyGoal: 400 * time.Millisecond,
					GapGoal: 200 * time.Millisecond, Deadline: now.Add(8 * time.Second), MaxAttempts: 2,
				}})
			}
			ref := scheduler.Ref(0)
			for range 4 * n {
				ref++
				arrive(ref)
			}
			b.ReportAllocs()
			for b.Loop() {
				ref++
				now = now.Add(time.Millisecond)
				arrive(ref)
				s.Step(now, scheduler.Ended{Ref: ref - scheduler.Ref(4*n), Attempt: 1, Ending: scheduler.Completed{}})
			}
		})
	}
}
