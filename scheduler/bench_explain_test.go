package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/scheduler"
)

// BenchmarkExplain measures one explanation while all targets are full and requests wait, during which no request is placed.
func BenchmarkExplain(b *testing.B) {
	for _, targets := range []int{20, 200} {
		for _, waiting := range []int{10, 1000} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) {
				q := newBenchQueue(targets, waiting)
				b.ReportAllocs()
				for b.Loop() {
					q.core.Explain(q.now, q.lastRef+1, scheduler.Request{
						Service: "guides", Pool: "guides", ArrivedAt: q.now, LatencyGoal: 400 * time.Millisecond, Deadline: q.now.Add(8 * time.Second), MaxAttempts: 2,
					})
				}
			})
		}
	}
}
