package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// TestStartedInstanceLearnsOfRestoredTarget checks that an instance which starts after an evacuation has ended asks others, learns that the
// endpoint is cold, and sends nothing there until it is settled. It took the endpoint for warm: 38 requests in 0.3 s from one
// such instance, where 27.5 a second are allowed from all.
func TestStartedInstanceLearnsOfRestoredTarget(t *testing.T) {
	is := is.New(t)
	now := scripter.Start
	start := func(name identifier.Instance, firstStart bool) *scheduler.Scheduler {
		s := scheduler.New(scheduler.Config{Instance: name, FirstStart: firstStart, ColdExcess: coldExcess, ColdSlack: coldSlack})
		s.Step(now, scheduler.InstancesSet{Instances: []scheduler.Instance{{Name: "a1"}, {Name: "b1"}}})
		return s
	}
	warm := scheduler.Target{ID: "e", Pool: "guides", Slots: 34, ColdLimit: coldRate}
	request := func(s *scheduler.Scheduler, ref scheduler.Ref) []scheduler.Action {
		return slices.Clone(s.Step(now, scheduler.Arrived{Ref: ref, Request: scheduler.Request{Service: "guides", Pool: "guides", Repeatable: true, ArrivedAt: now, Deadline: now.Add(6 * time.Second), MaxAttempts: 2}}))
	}

	witness := start("a1", true)
	for _, a := range witness.Step(now, scheduler.TargetsChanged{Complete: true, Changed: []scheduler.Target{warm}}) {
		_, asks := a.(scheduler.LimitQuery)
		is.True(!asks) // nothing has happened before the first start of all
	}
	restored := warm
	restored.RestoredUntil = now.Add(3 * time.Second)
	restored.ColdUntil = restored.RestoredUntil
	witness.Step(now, scheduler.TargetsChanged{Changed: []scheduler.Target{restored}})
	request(witness, 1)
	now = now.Add(50 * time.Millisecond)
	var news []scheduler.LimitNews
	for _, a := range witness.Step(now, scheduler.Ticked{}) {
		if r, ok := a.(scheduler.LimitReport); ok {
			news = r.News
		}
	}
	is.Equal(len(news), 1)
	is.Equal(news[0].Source, scheduler.LimitColdRestored)

	started := start("b1", false)
	is.True(slices.Contains(started.Step(now, scheduler.TargetsChanged{Complete: true, Changed: []scheduler.Target{warm}}), scheduler.Action(scheduler.LimitQuery{})))
	for _, a := range started.Step(now, scheduler.TargetsChanged{Changed: []scheduler.Target{warm}}) {
		_, asks := a.(scheduler.LimitQuery)
		is.True(!asks) // once
	}
	started.Step(now, scheduler.LimitsReported{News: news})
	started.Step(now, scheduler.TargetsChanged{Changed: []scheduler.Target{warm}}) // the entry, written anew, does not say it
	sent := 0
	for ref := range scheduler.Ref(38) {
		for _, a := range request(started, ref+1) {
			if _, ok := a.(scheduler.Send); ok {
				sent++
			}
		}
	}
	is.Equal(sent, 0)
	now = now.Add(3 * time.Second)
	is.True(slices.ContainsFunc(request(started, 100), func(a scheduler.Action) bool { _, ok := a.(scheduler.Send); return ok })) // it is warm
}
