package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// coldFleet returns a Scheduler with cold targets in a fleet of instances, and one of the targets.
func coldFleet(instances, targets int) (*scheduler.Scheduler, scheduler.Target) {
	s := scheduler.New(scheduler.Config{Instance: "entry-0", FailureDomain: "here", ColdExcess: coldExcess, ColdSlack: coldSlack})
	var list []scheduler.Instance
	for i := range instances {
		list = append(list, scheduler.Instance{Name: identifier.Instance(fmt.Sprintf("entry-%d", i)), FailureDomain: "here"})
	}
	s.Step(scripter.Start, scheduler.InstancesSet{Instances: list})
	all := scheduler.TargetsChanged{Complete: true}
	for i := range targets {
		all.Changed = append(all.Changed, scheduler.Target{ID: identifier.Endpoint(fmt.Sprintf("e%d", i)), Pool: "guides", FailureDomain: "here", Slots: 34, ColdLimit: coldRate, ColdUntil: scripter.Start.Add(time.Hour)})
	}
	s.Step(scripter.Start, all)
	return s, all.Changed[0]
}

// TestColdHeartbeatCostsTheSameInAnyFleet checks that a change of the end of a cold time, which may come with each write of
// an entry, costs the same in a fleet of 370 instances and 1,200 targets as in one of 4 and 3: no share is computed again.
func TestColdHeartbeatCostsTheSameInAnyFleet(t *testing.T) {
	is := is.New(t)
	allocations := func(instances, targets int) float64 {
		s, t := coldFleet(instances, targets)
		return testing.AllocsPerRun(200, func() {
			t.ColdUntil = t.ColdUntil.Add(time.Millisecond)
			s.Step(scripter.Start.Add(10*time.Second), scheduler.TargetsChanged{Changed: []scheduler.Target{t}})
		})
	}
	is.Equal(allocations(370, 1200), allocations(4, 3))
}

// BenchmarkColdHeartbeat measures one change of the end of a target's cold time.
func BenchmarkColdHeartbeat(b *testing.B) {
	for _, size := range []struct{ instances, targets int }{{4, 3}, {370, 1200}} {
		b.Run(fmt.Sprintf("instances=%d,targets=%d", size.instances, size.targets), func(b *testing.B) {
			s, t := coldFleet(size.instances, size.targets)
			for b.Loop() {
				t.ColdUntil = t.ColdUntil.Add(time.Millisecond)
				s.Step(scripter.Start.Add(10*time.Second), scheduler.TargetsChanged{Changed: []scheduler.Target{t}})
			}
		})
	}
}

// TestNoColdRateChangesNothing checks that targets without a cold limit are never treated as cold, whatever their entries and
// answers say.
func TestNoColdRateChangesNothing(t *testing.T) {
	is := is.New(t)
	s := scheduler.New(scheduler.Config{Instance: "entry-0", FailureDomain: "here", ColdExcess: coldExcess, ColdSlack: coldSlack})
	s.Step(scripter.Start, scheduler.TargetsChanged{Complete: true, Changed: []scheduler.Target{{ID: "e", Pool: "guides", Slots: 34, ColdUntil: scripter.Start.Add(time.Minute)}}})
	s.Step(scripter.Start, scheduler.ProcessStated{Process: identifier.Process{Endpoint: "e"}, ColdFor: time.Minute})
	for ref := range scheduler.Ref(30) {
		actions := s.Step(scripter.Start, scheduler.Arrived{Ref: ref + 1, Request: scheduler.Request{Service: "guides", Pool: "guides", ArrivedAt: scripter.Start, Deadline: scripter.Start.Add(time.Minute), MaxAttempts: 1}})
		_, isSent := actions[0].(scheduler.Send)
		is.True(isSent)
	}
}
