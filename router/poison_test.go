package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/router"
)

// fleet simulates three instances that share the groups of one failure domain. A group
// that runs a request with the poison fingerprint crashes after crashAfter and is ready
// again after restartAfter.
type fleet struct {
	t            *rapid.T
	now          time.Time
	queue        []task
	cores        []*router.Router
	groups       []router.Target
	runs         map[runKey]run
	lost         int            // number of groups crashed by the poison request
	ended        map[int]string // by request
	relayDelay   func() time.Duration
	next         router.Ref
	fingerprints map[router.Ref]uint64
	onEnd        map[router.Ref]func(router.Outcome)
}

type task struct {
	at time.Time
	do func()
}

type runKey struct {
	core int
	ref  router.Ref
}

type run struct {
	group   string
	attempt int
}

const (
	poison       = 666
	crashAfter   = 200 * time.Millisecond
	restartAfter = 5 * time.Second
	runTime      = 2 * time.Second
)

func newFleet(t *rapid.T, relayDelay func() time.Duration) *fleet {
	f := &fleet{t: t, now: scripter.Start, runs: map[runKey]run{}, fingerprints: map[router.Ref]uint64{}, onEnd: map[router.Ref]func(router.Outcome){}, relayDelay: relayDelay}
	for i := range 8 {
		f.groups = append(f.groups, router.Target{ID: fmt.Sprint("g", i), Pool: "guides", Epoch: 1, Ready: true, Capacity: 8})
	}
	for range 3 {
		f.cores = append(f.cores, router.New(router.Config{RetryBurst: 1000}))
	}
	f.report()
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.queue = append(f.queue, task{f.now.Add(d), do})
}

// runTasks carries out the tasks in the order of their times.
func (f *fleet) runTasks() {
	for len(f.queue) > 0 {
		i := 0
		for j := range f.queue {
			if f.queue[j].at.Before(f.queue[i].at) {
				i = j
			}
		}
		next := f.queue[i]
		f.queue = slices.Delete(f.queue, i, i+1)
		f.now = next.at
		next.do()
	}
}

func (f *fleet) report() {
	for i := range f.groups {
		f.groups[i].ReportedAt = f.now
	}
	for core := range f.cores {
		f.step(core, router.TargetsSet{Targets: slices.Clone(f.groups)})
	}
}

func (f *fleet) send(core int, fingerprint uint64, onEnd func(router.Outcome)) {
	f.next++
	ref := f.next
	f.fingerprints[ref], f.onEnd[ref] = fingerprint, onEnd
	req := &router.Request{Pool: "guides", Deadline: f.now.Add(time.Minute)}
	f.step(core, router.Arrived{Ref: ref, Request: req, Fingerprint: fingerprint})
}

func (f *fleet) step(core int, e router.Event) {
	for _, a := range slices.Clone(f.cores[core].Step(f.now, e)) {
		switch a := a.(type) {
		case router.Dispatch:
			f.begin(core, a)
		case router.Wait:
			f.after(a.Until.Sub(f.now), func() { f.step(core, router.WaitElapsed{Ref: a.Ref}) })
		case router.Suspect:
			for other := range f.cores {
				if other != core {
					f.after(f.relayDelay(), func() { f.step(other, router.SuspicionReceived(a)) })
				}
			}
		case router.Finish:
			f.onEnd[a.Ref](a.Outcome)
		}
	}
}

func (f *fleet) begin(core int, a router.Dispatch) {
	key := runKey{core, a.Ref}
	r := run{a.Target.ID, a.Attempt}
	group := f.find(r.group)
	if !group.Ready {
		f.after(time.Millisecond, func() { f.end(key, r, router.NotSent{}) })
		return
	}
	f.runs[key] = r
	f.after(runTime, func() {
		if f.runs[key] == r {
			f.end(key, r, router.Completed{})
		}
	})
	if f.fingerprints[a.Ref] == poison {
		epoch := group.Epoch
		f.after(crashAfter, func() { f.crash(r.group, epoch) })
	}
}

func (f *fleet) find(id string) *router.Target {
	i := slices.IndexFunc(f.groups, func(t router.Target) bool { return t.ID == id })
	return &f.groups[i]
}

func (f *fleet) end(key runKey, r run, ending router.Ending) {
	delete(f.runs, key)
	f.step(key.core, router.Ended{Ref: key.ref, Attempt: r.attempt, Ending: ending})
}

// crash ends the attempts that run on a group and makes the group not ready until restartAfter.
func (f *fleet) crash(id string, epoch identifier.Epoch) {
	group := f.find(id)
	if !group.Ready || group.Epoch != epoch {
		return
	}
	f.lost++
	group.Ready = false
	var broken []runKey
	for key, r := range f.runs {
		if r.group == id {
			broken = append(broken, key)
		}
	}
	slices.SortFunc(broken, func(a, b runKey) int { return int(a.ref) - int(b.ref) })
	for _, key := range broken {
		f.end(key, f.runs[key], router.Broken{})
	}
	f.after(time.Second, f.report)
	f.after(restartAfter, func() {
		group.Epoch++
		group.Ready = true
		f.report()
	})
}

// TestPoisonLosesTwoGroups checks that a request which crashes each group that runs it
// brings down at most two groups, and that all other requests are eventually answered. Two
// callers send the poison request to random instances and again after each failure.
func TestPoisonLosesTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relayDelay := func() time.Duration {
			return time.Duration(rapid.IntRange(1, 240).Draw(t, "relay")) * time.Millisecond
		}
		f := newFleet(t, relayDelay)
		anyInstance := func() int { return rapid.IntRange(0, 2).Draw(t, "instance") }
		tries := 0
		var resend func(router.Outcome)
		resend = func(router.Outcome) {
			if tries++; tries < 12 {
				wait := time.Duration(rapid.IntRange(0, 3000).Draw(t, "resend")) * time.Millisecond
				f.after(wait, func() { f.send(anyInstance(), poison, resend) })
			}
		}
		for range 2 {
			wait := time.Duration(rapid.IntRange(1000, 3000).Draw(t, "first")) * time.Millisecond
			f.after(wait, func() { f.send(anyInstance(), poison, resend) })
		}
		answered, benign := 0, 60
		for i := range benign {
			var ended func(router.Outcome)
			try := func() { f.send(anyInstance(), uint64(1000+i), ended) }
			ended = func(o router.Outcome) {
				switch o := o.(type) {
				case router.Answered:
					answered++
				case router.NotRun:
					f.after(max(o.RetryAfter, time.Second), try)
				case router.Unknown:
					f.after(max(o.RetryAfter, time.Second), try)
				}
			}
			f.after(time.Duration(i)*100*time.Millisecond, try)
		}
		f.runTasks()
		if f.lost > 2 {
			t.Fatalf("%d groups lost", f.lost)
		}
		if answered != benign {
			t.Fatalf("%d of %d benign requests answered", answered, benign)
		}
	})
}
