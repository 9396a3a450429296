package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// demandSession steps a Scheduler and collects its demand reports.
type demandSession struct {
	core    *scheduler.Scheduler
	now     time.Time
	ref     scheduler.Ref
	reports []scheduler.DemandReport
}

func newDemandSession() *demandSession {
	s := &demandSession{core: scheduler.New(scheduler.Config{FirstStart: true}), now: scripter.Start}
	s.step(scheduler.TargetsChanged{Complete: true, Changed: []scheduler.Target{{ID: "a", Pool: "guides/m0", Slots: 4}}})
	return s
}

func (s *demandSession) step(e scheduler.Event) {
	for _, a := range s.core.Step(s.now, e) {
		if r, ok := a.(scheduler.DemandReport); ok {
			s.reports = append(s.reports, r)
		}
	}
}

func (s *demandSession) arrive(pool identifier.Pool, promptTokens int, viaPeer bool) scheduler.Ref {
	s.ref++
	s.step(scheduler.Arrived{Ref: s.ref, Request: scheduler.Request{
		Service: "guides", Pool: pool, Repeatable: true, Stream: true, ArrivedAt: s.now, PromptTokens: promptTokens,
		LatencyGoal: time.Second, GapGoal: time.Second, Deadline: s.now.Add(20 * time.Second), MaxAttempts: 1, ViaPeer: viaPeer,
	}})
	return s.ref
}

// run delivers ticks for d.
func (s *demandSession) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(40 * time.Millisecond)
		s.step(scheduler.Ticked{})
	}
}

// TestDemandCountsWhatArrived guards against a report that leaves out requests that wait or were refused, which are the
// work that lacks engines, and against one that counts a request at two instances.
func TestDemandCountsWhatArrived(t *testing.T) {
	is := is.New(t)
	s := newDemandSession()
	first := s.arrive("guides/m0", 100, false)
	s.arrive("guides/m0", 0, false) // its prompt tokens are not known
	s.arrive("guides/m0", 900, true)
	s.arrive("guides/m1", 50, false) // waits and is then refused, because its pool has no target
	for range 7 {
		s.step(scheduler.Progressed{Ref: first, Attempt: 1, Event: true})
	}
	s.step(scheduler.Ended{Ref: first, Attempt: 1, Ending: scheduler.Completed{}})
	s.run(2 * time.Second)
	is.Equal(s.reports, []scheduler.DemandReport{{Elapsed: 2 * time.Second, Pools: []scheduler.PoolDemand{
		{Pool: "guides/m0", Requests: 2, Prompts: 1, PromptTokens: 100, Answers: 1, AnswerEvents: 7, Judged: 1},
		{Pool: "guides/m1", Requests: 1, Prompts: 1, PromptTokens: 50, Judged: 1, MissedGoal: 1},
	}}})
}

// TestDemandReportCoversQuietTime guards against an instance that serves one request in a while and reports it as the work of two seconds.
func TestDemandReportCoversQuietTime(t *testing.T) {
	is := is.New(t)
	s := newDemandSession()
	s.arrive("guides/m0", 10, false)
	s.run(8 * time.Second)
	is.Equal(len(s.reports), 1) // the quiet time since then has nothing to report
	s.arrive("guides/m0", 10, false)
	s.run(40 * time.Millisecond)
	is.Equal(len(s.reports), 2)
	is.Equal(s.reports[1].Elapsed, 6040*time.Millisecond)
}

// TestBrokenStreamIsNotMeasured guards against estimates of answers that failures make too short.
func TestBrokenStreamIsNotMeasured(t *testing.T) {
	is := is.New(t)
	s := newDemandSession()
	ref := s.arrive("guides/m0", 10, false)
	s.step(scheduler.Progressed{Ref: ref, Attempt: 1, Event: true})
	s.step(scheduler.Ended{Ref: ref, Attempt: 1, Ending: scheduler.Broken{}})
	s.arrive("guides/m0", 10, false)
	s.run(2 * time.Second)
	is.Equal(len(s.reports), 1)
	is.Equal(s.reports[0].Pools[0].Requests, 2)
	is.Equal(s.reports[0].Pools[0].Answers, 0)
}

// TestDemandReportsAreSpreadInLargeFleets guards against reports that use up the budget for control traffic of the
// instance that forms groups.
func TestDemandReportsAreSpreadInLargeFleets(t *testing.T) {
	is := is.New(t)
	s := newDemandSession()
	instances := make([]scheduler.Instance, 370)
	for i := range instances {
		instances[i] = scheduler.Instance{Name: identifier.Instance(rune('A' + i)), FailureDomain: "here"}
	}
	s.step(scheduler.InstancesSet{Instances: instances})
	for range 62 {
		s.arrive("guides/m0", 10, false)
		s.run(time.Second)
	}
	is.True(len(s.reports) <= 6) // 370 instances send at most 36 reports per second
	is.True(len(s.reports) >= 5)
}

// TestInstanceWithoutRequestsReports guards against an instance that never reports because it gets no requests, and is therefore
// assumed to get as much work as the others. Its reports and those of its first requests cover each moment once.
func TestInstanceWithoutRequestsReports(t *testing.T) {
	is := is.New(t)
	s := newDemandSession()
	due := func(n int) {
		for range n {
			s.step(scheduler.DemandDue{})
			s.now = s.now.Add(time.Second)
		}
	}
	due(10)
	is.Equal(s.reports, []scheduler.DemandReport{{Elapsed: 2 * time.Second}, {Elapsed: 2 * time.Second}, {Elapsed: 2 * time.Second}, {Elapsed: 2 * time.Second}})
	s.arrive("guides/m0", 10, false)
	due(1)
	is.Equal(len(s.reports), 5)
	is.Equal(s.reports[4].Elapsed, 2*time.Second)
	is.Equal(s.reports[4].Pools, []scheduler.PoolDemand{{Pool: "guides/m0", Requests: 1, Prompts: 1, PromptTokens: 10}})
}

// TestIdleReportsAreSpreadInLargeFleets guards against reports without work that come more often than others.
func TestIdleReportsAreSpreadInLargeFleets(t *testing.T) {
	is := is.New(t)
	s := newDemandSession()
	s.step(scheduler.InstancesSet{Instances: make([]scheduler.Instance, 370)})
	for range 62 {
		s.step(scheduler.DemandDue{})
		s.now = s.now.Add(time.Second)
	}
	is.Equal(len(s.reports), 5) // one each 10.36 s, seen at the next second
}
