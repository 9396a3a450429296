package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
)

// TestCheckCrashRuns checks that runs later than the bound are found, and that runs of instances
// with a disruption don't count, but those beside faults of engines do.
func TestCheckCrashRuns(t *testing.T) {
	start := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	lateRuns := func(n int) []time.Duration {
		out := []time.Duration{0, time.Second, 2 * time.Second}
		for i := range n {
			out = append(out, 6*time.Second+time.Duration(i)*time.Second)
		}
		return out
	}
	tests := map[string]struct {
		runs        []time.Duration
		disruptions []*disruption
		violated    bool
	}{
		"two engines":        {runs: lateRuns(0)[:2]},
		"three late runs":    {runs: lateRuns(3)},
		"four late runs":     {runs: lateRuns(4), violated: true},
		"other instance":     {runs: lateRuns(4), disruptions: []*disruption{{instance: 1, start: at(0)}}, violated: true},
		"disrupted instance": {runs: lateRuns(4), disruptions: []*disruption{{instance: 0, start: at(6 * time.Second), end: at(7 * time.Second)}}},
		"store disrupted":    {runs: lateRuns(4), disruptions: []*disruption{{instance: allInstances, start: at(6 * time.Second)}}},
		"engines disrupted":  {runs: lateRuns(4), disruptions: []*disruption{{instance: allEngines, start: at(0)}}, violated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &record{disruptions: test.disruptions}
			var runs []hosted.CrashRun
			for i, d := range test.runs {
				id := fmt.Sprintf("crash-%d", i)
				r.requests = append(r.requests, sentRequest{id: id, sentAt: at(d)})
				runs = append(runs, hosted.CrashRun{Engine: fmt.Sprintf("e%d", i), Request: id, At: at(d)})
			}
			is.Equal(r.checkCrashRuns(runs, hosted.CrashesBeforeBound) != "", test.violated)
		})
	}
}
