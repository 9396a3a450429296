package scheduler

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// latencyReportInterval is the time between two latency reports.
const latencyReportInterval = time.Second

// latencyCounter counts requests by pool and by whether they met their latency goal.
type latencyCounter struct {
	reportedAt time.Time
	reports    map[identifier.Pool]LatencyReport
}

// count counts a request that got its first event or complete answer, or ended as NotRun or Unknown.
func (c *latencyCounter) count(f *flight, missedGoal bool) {
	if c.reports == nil {
		c.reports = map[identifier.Pool]LatencyReport{}
	}
	report := c.reports[f.Pool]
	report.Pool, report.service = f.Pool, f.Service
	report.Requests++
	if missedGoal {
		report.MissedGoal++
	}
	c.reports[f.Pool] = report
}

// reportLatency emits the latency reports of the last interval once it is over.
func (s *Scheduler) reportLatency(now time.Time) {
	if now.Sub(s.latency.reportedAt) < latencyReportInterval {
		return
	}
	s.latency.reportedAt = now
	for _, pool := range slices.Sorted(maps.Keys(s.latency.reports)) {
		report := s.latency.reports[pool]
		report.RetriesLeft = s.budget.available(report.service)
		s.emit(report)
	}
	clear(s.latency.reports)
}
