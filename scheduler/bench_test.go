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

// BenchmarkQueue measures one arrival, one end and one tick while all targets are full and requests
// wait, so that the end places a waiting request.
func BenchmarkQueue(b *testing.B) {
	for _, targets := range []int{20, 200} {
		for _, waiting := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) {
				q := newBenchQueue(targets, waiting)
				b.ReportAllocs()
				for b.Loop() {
					q.turnOver()
				}
				if q.refused > 0 {
					b.Fatalf("%d requests were refused", q.refused)
				}
			})
		}
	}
}

// benchSlots is the number of slots of a target in benchmarks of the queue.
const benchSlots = 10

// benchTargets returns n targets of one pool.
func benchTargets(n int) []scheduler.Target {
	var out []scheduler.Target
	for i := range n {
		out = append(out, scheduler.Target{ID: identifier.Endpoint(fmt.Sprintf("e%03d", i)), Pool: "guides", Slots: benchSlots})
	}
	return out
}

// benchQueue drives a Scheduler with full targets. Requests arrive at the rate at which others end.
type benchQueue struct {
	core    *scheduler.Scheduler
	now     time.Time
	lastRef scheduler.Ref
	running []scheduler.Send // in the order in which they began
	refused int
}

func newBenchQueue(targets, waiting int) *benchQueue {
	q := &benchQueue{core: scheduler.New(scheduler.Config{RetrySlack: 10, MaxTargetWait: time.Hour}), now: scripter.Start}
	q.step(scheduler.TargetsChanged{Complete: true, Changed: benchTargets(targets)})
	for range targets*(benchSlots+1) + waiting {
		q.arrive()
	}
	return q
}

func (q *benchQueue) step(e scheduler.Event) {
	for _, a := range q.core.Step(q.now, e) {
		switch a := a.(type) {
		case scheduler.Send:
			q.running = append(q.running, a)
		case scheduler.Finish:
			if _, ok := a.Outcome.(scheduler.NotRun); ok {
				q.refused++
			}
		}
	}
}

func (q *benchQueue) arrive() {
	q.lastRef++
	q.step(scheduler.Arrived{Ref: q.lastRef, Request: scheduler.Request{
		Service: "guides", Pool: "guides", Repeatable: true, Stream: true, ArrivedAt: q.now, LatencyGoal: 400 * time.Hour,
		Deadline: q.now.Add(300 * time.Hour), MaxAttempts: 2, Priority: int(q.lastRef % 3),
	}})
}

// turnOver lets one request arrive and the oldest attempt end, and delivers a tick.
func (q *benchQueue) turnOver() {
	q.now = q.now.Add(10 * time.Millisecond)
	oldest := q.running[0]
	q.running = q.running[1:]
	q.arrive()
	q.step(scheduler.Ended{Ref: oldest.Ref, Attempt: oldest.Attempt, Ending: scheduler.Completed{}})
	q.step(scheduler.Ticked{})
}

// BenchmarkShares computes the shares of all targets of a pool, each of which names a limit, after a
// change of the instances. An instance does so at most once a second while limits are named.
func BenchmarkShares(b *testing.B) {
	for _, size := range []struct{ instances, targets int }{{4, 20}, {78, 130}, {370, 300}} {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size.instances, size.targets), func(b *testing.B) {
			core := scheduler.New(scheduler.Config{Instance: "entry-0"})
			now := scripter.Start
			targets := benchTargets(size.targets)
			core.Step(now, scheduler.TargetsChanged{Complete: true, Changed: targets})
			var instances []scheduler.Instance
			for i := range size.instances {
				instances = append(instances, scheduler.Instance{Name: identifier.Instance(fmt.Sprintf("entry-%d", i))})
			}
			for _, t := range targets {
				core.Step(now, scheduler.ProcessStated{Process: t.Process(), Limit: scheduler.LimitStatement{IsKnown: true, PerSecond: 3}, SentAt: now})
			}
			b.ReportAllocs()
			ref := scheduler.Ref(0)
			for b.Loop() {
				now = now.Add(2 * time.Second)
				instances[0].FailureDomain = identifier.FailureDomain(fmt.Sprint(ref % 2)) // changes the list
				core.Step(now, scheduler.InstancesSet{Instances: instances})
				ref++
				core.Step(now, scheduler.Arrived{Ref: ref, Request: scheduler.Request{Service: "guides", Pool: "guides", Stream: true, ArrivedAt: now, Deadline: now.Add(time.Second)}})
				core.Step(now, scheduler.CallerLeft{Ref: ref})
			}
		})
	}
}

// BenchmarkReach measures one tick of an instance that is cut off from all targets, with a request through a peer and a probe
// that fails.
func BenchmarkReach(b *testing.B) {
	for _, size := range []struct{ instances, targets int }{{4, 22}, {78, 130}, {370, 300}} {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size.instances, size.targets), func(b *testing.B) {
			core := scheduler.New(scheduler.Config{Instance: "entry-0", FailureDomain: "d0", FirstStart: true})
			now := scripter.Start
			core.Step(now, scheduler.TargetsChanged{Complete: true, Changed: benchTargets(size.targets)})
			var instances []scheduler.Instance
			for i := range size.instances {
				instances = append(instances, scheduler.Instance{Name: identifier.Instance(fmt.Sprintf("entry-%d", i)), FailureDomain: identifier.FailureDomain(fmt.Sprintf("d%d", i%10))})
			}
			core.Step(now, scheduler.InstancesSet{Instances: instances})
			ref := scheduler.Ref(0)
			arrive := func() []scheduler.Action {
				ref++
				return core.Step(now, scheduler.Arrived{Ref: ref, Request: scheduler.Request{Service: "guides", Pool: "guides", ArrivedAt: now, Deadline: now.Add(time.Minute)}})
			}
			for range 4 {
				for _, a := range arrive() {
					if send, ok := a.(scheduler.Send); ok && send.Peer == "" {
						core.Step(now, scheduler.Ended{Ref: ref, Attempt: send.Attempt, Ending: scheduler.NotSent{}})
					}
				}
			}
			core.Step(now, scheduler.Ticked{})
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(40 * time.Millisecond)
				for _, a := range arrive() {
					if send, ok := a.(scheduler.Send); ok && send.Peer == "" {
						b.Fatal("a request goes to a target that can't be reached")
					}
				}
				core.Step(now, scheduler.CallerLeft{Ref: ref})
				for _, a := range core.Step(now, scheduler.Ticked{}) {
					if p, ok := a.(scheduler.Probe); ok {
						core.Step(now, scheduler.Probed{Target: p.Target})
					}
				}
			}
		})
	}
}
