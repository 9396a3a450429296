package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// TestRewrittenEntryGivesNoSecondBucket checks that an entry which is written with an earlier or no start, and with the right one again, while
// the process goes on, gives its senders no further tokens, also if it was missing in between. Each was taken for a new process with a full bucket: 33
// requests in a second where 27.5 are allowed. A process with a later start gets a full bucket.
func TestRewrittenEntryGivesNoSecondBucket(t *testing.T) {
	const instances = 31
	for name, starts := range map[string][]identifier.ProcessStart{"earlier": {7, 5}, "none": {7, 0}, "to and fro": {7, 5, 7, 0, 7}, "missing": {7, -1, 5, -1, 7}} {
		t.Run(name, func(t *testing.T) {
			f := rewriteFleet{now: scripter.Start}
			var list []scheduler.Instance
			for i := range instances {
				list = append(list, scheduler.Instance{Name: identifier.Instance(fmt.Sprintf("entry-%d", i))})
			}
			for _, in := range list {
				f.cores = append(f.cores, scheduler.New(scheduler.Config{Instance: in.Name, FirstStart: true, ColdExcess: coldExcess, ColdSlack: coldSlack}))
				f.step(scheduler.InstancesSet{Instances: list})
			}
			f.now = f.now.Add(10 * time.Second)
			for i := range 10 {
				if i < len(starts) {
					f.list(starts[i])
				}
				f.burst()
				f.now = f.now.Add(100 * time.Millisecond)
			}
			if allowed := coldRate*coldExcess + coldSlack; float64(f.sent) > allowed {
				t.Errorf("%d requests in a second, allowed %.1f", f.sent, allowed)
			}
			before := f.sent
			f.list(8)
			f.burst()
			if n := f.sent - before; n < 11 {
				t.Errorf("%d requests to a new process, want one from each of 11 senders", n)
			}
		})
	}
}

// rewriteFleet is a fleet of schedulers with one endpoint, which is cold for a long time.
type rewriteFleet struct {
	cores   []*scheduler.Scheduler
	now     time.Time
	lastRef scheduler.Ref
	sent    int
}

// step applies an event at each instance, and counts the requests that are sent.
func (f *rewriteFleet) step(e scheduler.Event) {
	for _, core := range f.cores {
		for _, a := range core.Step(f.now, e) {
			if _, ok := a.(scheduler.Send); ok {
				f.sent++
			}
		}
	}
}

// list lists the endpoint with a start, or lists it no more if that is below zero. An entry without a start
// states no cold time either.
func (f *rewriteFleet) list(start identifier.ProcessStart) {
	if start < 0 {
		f.step(scheduler.TargetsChanged{Removed: []identifier.Endpoint{"e"}})
		return
	}
	t := scheduler.Target{ID: "e", Pool: "guides", Slots: 1000, ProcessStart: start, ColdLimit: coldRate, ColdUntil: scripter.Start.Add(time.Hour)}
	if start == 0 {
		t.ColdUntil = time.Time{}
	}
	f.step(scheduler.TargetsChanged{Changed: []scheduler.Target{t}})
}

// burst lets requests arrive at each instance.
func (f *rewriteFleet) burst() {
	for range 5 {
		f.lastRef++
		f.step(scheduler.Arrived{Ref: f.lastRef, Request: scheduler.Request{Service: "guides", Pool: "guides", Repeatable: true, ArrivedAt: f.now, Deadline: f.now.Add(50 * time.Millisecond), MaxAttempts: 1}})
	}
}
