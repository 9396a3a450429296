package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Intervals of demand reports.
const (
	demandInterval = 2 * time.Second       // between two reports in a small fleet
	demandSpacing  = 28 * time.Millisecond // between the reports of different instances on average, which lengthens the interval from 72 instances on, so that the instance that forms groups receives less than 13 KB/s
	demandMaxAge   = time.Minute           // counts that cover a longer time are reported as if they covered this time
)

// PoolDemand counts the work of a pool that arrived at this instance from callers. Requests that wait
// or were refused count. Requests that a peer accepted count at that peer.
type PoolDemand struct {
	Pool         identifier.Pool
	Requests     int
	Prompts      int // of Requests, those with a known number of prompt tokens
	PromptTokens int // of these
	Answers      int // streams that were delivered in full since the last report
	AnswerEvents int // of these; an event may hold several tokens
	Judged       int // requests that got their first event or complete answer, or ended as NotRun or Unknown
	MissedGoal   int // of these, those after their latency goal, and those that ended as NotRun or Unknown
}

// DemandReport reports the work that arrived since the last report, sorted by pool. It comes about every two
// seconds, less often in a large fleet. Without pools it says that nothing arrived, and comes only after DemandDue.
type DemandReport struct {
	Elapsed time.Duration // time that the counts cover
	Pools   []PoolDemand
}

func (DemandReport) action() {}

// demandCounter counts the work that arrives, by pool.
type demandCounter struct {
	since time.Time // when the counts begin; zero before the first request and the first DemandDue
	pools map[identifier.Pool]*PoolDemand
}

func (c *demandCounter) of(pool identifier.Pool) *PoolDemand {
	if c.pools == nil {
		c.pools = map[identifier.Pool]*PoolDemand{}
	}
	if c.pools[pool] == nil {
		c.pools[pool] = &PoolDemand{Pool: pool}
	}
	return c.pools[pool]
}

// countArrival counts a request that arrives.
func (c *demandCounter) countArrival(now time.Time, f *flight) {
	if f.ViaPeer {
		return
	}
	if c.since.IsZero() {
		c.since = now
	}
	d := c.of(f.Pool)
	d.Requests++
	if f.PromptTokens > 0 {
		d.Prompts++
		d.PromptTokens += f.PromptTokens
	}
}

// countGoal counts a request by whether it met its latency goal.
func (c *demandCounter) countGoal(f *flight, missedGoal bool) {
	d := c.of(f.Pool)
	d.Judged++
	if missedGoal {
		d.MissedGoal++
	}
}

// countAnswer counts the events of a stream that ended. A stream that was not delivered in full does not count, because
// its events understate the work of a request.
func (c *demandCounter) countAnswer(f *flight, o Outcome) {
	if _, ok := o.(Delivered); !ok || f.ViaPeer || !f.Stream || f.events == 0 {
		return
	}
	d := c.of(f.Pool)
	d.Answers++
	d.AnswerEvents += f.events
}

// reportDemand emits a demand report once the interval is over. Without anything to report, it emits an empty one if isDue is set, and
// otherwise the next report covers the time as well.
func (s *Scheduler) reportDemand(now time.Time, isDue bool) {
	c := &s.demand
	interval := max(demandInterval, time.Duration(len(s.instances.listed))*demandSpacing)
	if isDue && c.since.IsZero() {
		c.since = now
	}
	if len(c.pools) == 0 && !isDue || now.Sub(c.since) < interval {
		return
	}
	report := DemandReport{Elapsed: min(now.Sub(c.since), demandMaxAge)}
	for _, d := range slices.SortedFunc(maps.Values(c.pools), func(a, b *PoolDemand) int { return cmp.Compare(a.Pool, b.Pool) }) {
		report.Pools = append(report.Pools, *d)
	}
	c.since = now
	clear(c.pools)
	s.emit(report)
}
