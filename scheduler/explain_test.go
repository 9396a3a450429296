package scheduler_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// explainWorld drives one Scheduler with random events. It asks for an explanation before each arrival and compares it with
// what the request gets.
type explainWorld struct {
	t       *testing.T
	random  *rand.Rand
	core    *scheduler.Scheduler
	now     time.Time
	wakeAt  time.Time
	targets []scheduler.Target
	lastRef scheduler.Ref
	running []scheduler.Send
	waiting map[scheduler.Ref]scheduler.Wait
	request map[scheduler.Ref]scheduler.Request
	counts  map[string]int // of decisions
}

var explainSeeds = flag.Uint64("explainSeeds", 16, "number of simulated schedulers of TestExplanationIsWhatARequestGets")

const (
	explainEvents = 1200 // of each seed
	dumpInterval  = 10   // explanations of which one is checked for changes of the state, because a dump takes longer than all else
)

// TestExplanationIsWhatARequestGets guards against an explanation that names another target, position or refusal than a
// request gets that arrives at the same moment, and against one that changes the state of the scheduler. It runs over
// targets that are cold, limited, evacuated, closed, leaving, full, stalled and unreachable.
func TestExplanationIsWhatARequestGets(t *testing.T) {
	counts := map[string]int{}
	for seed := range *explainSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			w := newExplainWorld(t, seed, counts)
			for range explainEvents {
				w.advance()
			}
		})
	}
	t.Logf("decisions: %v", counts)
	is := is.New(t)
	for _, kind := range []string{"sent", "peer", "wait full", "wait pastLimits", "wait noTarget", "refused full", "refused evacuated", "refused limited", "refused closed", "refused suspected", "refused quarantined"} {
		is.True(counts[kind] > 0) // each kind of decision is compared
	}
}

func newExplainWorld(t *testing.T, seed uint64, counts map[string]int) *explainWorld {
	w := &explainWorld{t: t, random: rand.New(rand.NewPCG(seed, 11)), now: scripter.Start, counts: counts, waiting: map[scheduler.Ref]scheduler.Wait{}, request: map[scheduler.Ref]scheduler.Request{}}
	w.core = scheduler.New(scheduler.Config{
		Instance: "entry-0", FailureDomain: "d0", FirstStart: true, ColdExcess: coldExcess, ColdSlack: coldSlack, Random: rand.NewPCG(seed, 12),
	})
	var instances []scheduler.Instance
	for i := range 1 + w.random.IntN(5) {
		instances = append(instances, scheduler.Instance{Name: identifier.Instance(fmt.Sprintf("entry-%d", i)), FailureDomain: identifier.FailureDomain(fmt.Sprintf("d%d", i%3))})
	}
	w.step(scheduler.InstancesSet{Instances: instances})
	for i := range 2 + w.random.IntN(9) {
		tg := scheduler.Target{
			ID: identifier.Endpoint(fmt.Sprintf("e%d", i)), Pool: "guides/m1", Group: identifier.Group(fmt.Sprintf("g%d", i)), Slots: 1 + w.random.IntN(8), ProcessStart: 1,
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("d%d", i%3)), SpansFabricDomains: w.oneIn(8), MemberMissing: w.oneIn(8),
		}
		if i%4 == 3 {
			tg.Pool, tg.Group = "ledger", ""
		}
		w.targets = append(w.targets, tg)
	}
	w.step(scheduler.TargetsChanged{Complete: true, Changed: w.targets})
	return w
}

func (w *explainWorld) oneIn(n int) bool { return w.random.IntN(n) == 0 }

func (w *explainWorld) step(e scheduler.Event) []scheduler.Action {
	actions := slices.Clone(w.core.Step(w.now, e))
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.WakeAt:
			w.wakeAt = a.At
		case scheduler.Send:
			w.running = append(w.running, a)
			delete(w.waiting, a.Ref)
		case scheduler.Wait:
			w.waiting[a.Ref] = a
		case scheduler.Finish:
			delete(w.waiting, a.Ref)
		case scheduler.Abandon:
			w.drop(a.Ref, a.Attempt)
		}
	}
	return actions
}

func (w *explainWorld) drop(ref scheduler.Ref, attempt int) {
	w.running = slices.DeleteFunc(w.running, func(s scheduler.Send) bool { return s.Ref == ref && s.Attempt == attempt })
}

// advance applies one random event, after the ticks that are due.
func (w *explainWorld) advance() {
	next := w.now.Add(time.Duration(w.random.ExpFloat64() * float64(5*time.Millisecond)))
	for !w.wakeAt.IsZero() && !w.wakeAt.After(next) {
		w.now, w.wakeAt = w.wakeAt, time.Time{}
		w.step(scheduler.Ticked{})
	}
	w.now = next
	switch n := w.random.IntN(100); {
	case n < 38:
		w.arrive()
	case n < 94:
		w.attemptEvent()
	case n < 97:
		w.state()
	case n < 99:
		w.changeTarget()
	default:
		w.step(scheduler.RestrictionSet{
			Fingerprint: identifier.Fingerprint(1 + w.random.IntN(12)), Restriction: scheduler.Restriction(w.random.IntN(5)), Until: w.now.Add(time.Second), Tied: 1,
		})
	}
}

// attemptEvent lets a running attempt progress or end. Attempts at the first endpoints of some worlds stay silent.
func (w *explainWorld) attemptEvent() {
	if len(w.running) == 0 {
		return
	}
	s := w.running[w.random.IntN(len(w.running))]
	load := scheduler.Load{}
	if s.Target != nil && w.oneIn(2) {
		load = scheduler.Load{Running: w.random.IntN(s.Target.Slots + 1), Slots: s.Target.Slots}
	}
	var ending scheduler.Ending = scheduler.Completed{}
	switch n := w.random.IntN(40); {
	case n < 24:
		w.step(scheduler.Progressed{Ref: s.Ref, Attempt: s.Attempt, Event: true, Load: load})
		return
	case n < 27:
		ending = scheduler.Refused{Status: 503}
	case n < 30:
		ending = scheduler.NotSent{}
	case n == 30:
		ending = scheduler.Broken{}
	case n == 31:
		ending = scheduler.Failed{Status: 500}
	}
	if _, isRefused := ending.(scheduler.Refused); isRefused && s.Peer != "" {
		ending = scheduler.PeerRefused{Reason: scheduler.ReasonFull, RetryAfter: time.Second}
	}
	w.drop(s.Ref, s.Attempt)
	w.step(scheduler.Ended{Ref: s.Ref, Attempt: s.Attempt, Ending: ending, Load: load})
}

// state lets a process state something about itself.
func (w *explainWorld) state() {
	tg := w.targets[w.random.IntN(len(w.targets))]
	e := scheduler.ProcessStated{Process: tg.Process(), SentAt: w.now}
	switch w.random.IntN(8) {
	case 0:
		e.Leaving = w.oneIn(4)
	case 1, 2, 3:
		e.ClosedFor = time.Duration(w.random.IntN(1500)) * time.Millisecond
	case 4, 5:
		e.Limit = scheduler.LimitStatement{IsKnown: true, PerSecond: float64(1 + w.random.IntN(30))}
	case 6:
		e.Limit = scheduler.LimitStatement{IsKnown: true}
	default:
		e.ColdFor = time.Second
	}
	w.step(e)
}

// changeTarget restarts, evacuates or restores a target. Sometimes all are evacuated at once.
func (w *explainWorld) changeTarget() {
	i := w.random.IntN(len(w.targets))
	evacuatesAll, evacuates := w.oneIn(12), w.oneIn(4)
	for j := range w.targets {
		tg := &w.targets[j]
		switch {
		case evacuatesAll:
			tg.Evacuated = true
		case j == i:
			tg.Evacuated = evacuates
			tg.ProcessStart++
			tg.ColdLimit, tg.ColdUntil = coldRate, w.now.Add(time.Duration(w.random.IntN(3))*time.Second)
		case w.oneIn(2):
			tg.Evacuated = false
		}
	}
	w.step(scheduler.TargetsChanged{Complete: true, Changed: w.targets})
}

func (w *explainWorld) drawRequest() scheduler.Request {
	q := scheduler.Request{
		Service: "guides", Pool: "guides/m1", Stream: true, Repeatable: true, ArrivedAt: w.now, PromptTokens: w.random.IntN(2000), LatencyGoal: 250 * time.Millisecond,
		GapGoal: 200 * time.Millisecond, Deadline: w.now.Add(8 * time.Second), MaxAttempts: 2, Priority: w.random.IntN(3),
	}
	switch {
	case w.oneIn(5):
		q.Service, q.Pool, q.Stream, q.Deadline = "ledger", "ledger", false, w.now.Add(1500*time.Millisecond)
	case w.oneIn(60):
		q.Pool = "guides/m9" // no target serves it
	}
	if w.oneIn(3) {
		q.Fingerprint = identifier.Fingerprint(1 + w.random.IntN(12))
	}
	if w.oneIn(20) {
		q.ViaPeer, q.Avoid = true, []identifier.Endpoint{w.targets[0].ID}
	}
	if w.oneIn(80) {
		q.Deadline = w.now.Add(10 * time.Millisecond)
	}
	return q
}

// arrive explains a request and lets it arrive.
func (w *explainWorld) arrive() {
	w.lastRef++
	q := w.drawRequest()
	explanation := w.explain(q)
	d := explanation.Decision
	w.request[w.lastRef] = q
	for _, a := range w.step(scheduler.Arrived{Ref: w.lastRef, Request: q}) {
		if refOf(a) != w.lastRef {
			continue // of a waiting request
		}
		switch a := a.(type) {
		case scheduler.Send:
			w.check(a.Target == d.Target && a.Peer == d.Peer && d.IsSent(), d, a)
			w.checkFirst(q, explanation, a)
			w.count(a)
		case scheduler.Wait:
			w.check(d.Waits() && a.Reason == d.Reason && a.Until.Equal(d.GivenUpAt), d, a)
			w.checkPosition(d)
			w.counts["wait "+string(a.Reason)]++
		case scheduler.Finish:
			o, ok := a.Outcome.(scheduler.NotRun)
			w.check(ok && !d.IsSent() && !d.Waits() && o.Reason == d.Reason && o.RetryAfter == d.RetryAfter, d, a)
			w.counts["refused "+string(o.Reason)]++
		}
	}
}

// refOf returns the request that an action is for, or zero.
func refOf(a scheduler.Action) scheduler.Ref {
	switch a := a.(type) {
	case scheduler.Send:
		return a.Ref
	case scheduler.Wait:
		return a.Ref
	case scheduler.Finish:
		return a.Ref
	}
	return 0
}

// explain returns the explanation of a request and checks that it changes nothing.
func (w *explainWorld) explain(q scheduler.Request) scheduler.Explanation {
	if w.lastRef%dumpInterval != 0 {
		return w.core.Explain(w.now, w.lastRef, q)
	}
	before := dumpState(w.core)
	out := w.core.Explain(w.now, w.lastRef, q)
	if after := dumpState(w.core); after != before {
		w.t.Fatalf("request %d: the explanation changes the state at %s", w.lastRef, firstDifference(before, after))
	}
	return out
}

// checkPosition compares the position of the last request with the requests that wait for its pool.
func (w *explainWorld) checkPosition(d scheduler.Decision) {
	q, position := w.request[w.lastRef], 1
	for ref := range w.waiting {
		o := w.request[ref]
		if ref == w.lastRef || o.Pool != q.Pool {
			continue
		}
		if cmp.Or(cmp.Compare(o.Priority, q.Priority), o.Deadline.Compare(q.Deadline), cmp.Compare(ref, w.lastRef)) < 0 {
			position++
		}
	}
	if d.Position != position {
		w.t.Errorf("request %d: explained at position %d, but waits at position %d", w.lastRef, d.Position, position)
	}
}

func (w *explainWorld) count(s scheduler.Send) {
	if s.Peer != "" {
		w.counts["peer"]++
		return
	}
	w.counts["sent"]++
}

// checkFirst checks that the first candidate is the one that gets the request, unless a copy of the request decides.
func (w *explainWorld) checkFirst(q scheduler.Request, e scheduler.Explanation, s scheduler.Send) {
	if s.Target == nil || q.Fingerprint != 0 {
		return
	}
	if first := e.Candidates[0]; first.Obstacle != "" || first.Target != s.Target {
		w.t.Errorf("request %d: sent to %s, but the first candidate is %s (%s)", s.Ref, s.Target.ID, first.Target.ID, first.Obstacle)
	}
}

func (w *explainWorld) check(ok bool, d scheduler.Decision, a scheduler.Action) {
	if !ok {
		w.t.Errorf("request %d: explained as %+v, but gets %+v", w.lastRef, d, a)
	}
}
