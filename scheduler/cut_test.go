package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// Times and sizes of a cutWorld.
const (
	cutStep       = 10 * time.Millisecond
	cutFirstEvent = 60 * time.Millisecond // until the first event of a stream
	cutEventGap   = 40 * time.Millisecond
	cutEvents     = 10
	cutBeginsAt   = 4 * time.Second
	cutSettles    = 3 * time.Second // the users' time from which the cut instances must serve
	cutLasts      = 8 * time.Second
	cutLength     = 16 * time.Second
	cutSlots      = 14
	cutPerSecond  = 12 // requests at each instance
)

// cutCase is a fleet of which some instances lose their links to endpoints for a time.
type cutCase struct {
	instances, endpoints int
	cutOff               int     // the first instances
	lost                 float64 // fraction of the endpoints that these lose
	refused              bool    // connections are refused instead of silent
	restarts             bool    // an instance that is not cut off starts again each second
}

func (c cutCase) String() string {
	return fmt.Sprintf("instances=%d,endpoints=%d,cutOff=%d,lost=%v,refused=%t,restarts=%t", c.instances, c.endpoints, c.cutOff, c.lost, c.refused, c.restarts)
}

// cutWorld is a fleet of schedulers, with endpoints that run requests and links between the two.
type cutWorld struct {
	t         *testing.T
	cfg       cutCase
	random    *rand.Rand
	now       time.Time
	instances []*cutInstance
	runs      map[int]int // by request
	arrivals  int         // at endpoints, beyond the first of each request
	requests  []*cutRequest
	refusals  int // of peers
	work      []*cutAttempt
}

// cutInstance is an instance of a cutWorld.
type cutInstance struct {
	index   int
	core    *scheduler.Scheduler
	wakeAt  time.Time
	lastRef scheduler.Ref
	life    int
	flights map[scheduler.Ref]*cutFlight
}

// cutRequest is a request of a caller.
type cutRequest struct {
	id         int
	instance   int
	sentAt     time.Time
	repeatable bool
	outcome    scheduler.Outcome
}

// cutFlight is a request at an instance: a caller's, or that of another instance's attempt.
type cutFlight struct {
	request *cutRequest
	spec    scheduler.Request
	origin  *cutAttempt // nil for a caller's request
}

// cutAttempt is an attempt at an endpoint or through a peer.
type cutAttempt struct {
	in       *cutInstance
	life     int
	flight   *cutFlight
	send     scheduler.Send
	endpoint int
	sentAt   time.Time
	started  bool // the endpoint has begun to run it
	events   int
	isOver   bool
}

func newCutWorld(t *testing.T, c cutCase, seed uint64) *cutWorld {
	w := &cutWorld{t: t, cfg: c, random: rand.New(rand.NewPCG(seed, 0)), now: scripter.Start, runs: map[int]int{}}
	for i := range c.instances {
		w.instances = append(w.instances, &cutInstance{index: i})
	}
	for _, in := range w.instances {
		w.startInstance(in)
	}
	return w
}

func cutInstanceName(i int) identifier.Instance {
	return identifier.Instance(fmt.Sprintf("entry-%d", i))
}

// startInstance starts a process of an instance.
func (w *cutWorld) startInstance(in *cutInstance) {
	in.core = scheduler.New(scheduler.Config{Instance: cutInstanceName(in.index), FailureDomain: cutDomain(in.index), RetryRatio: 0.2, RetrySlack: 100, FirstStart: true})
	in.life++
	in.wakeAt, in.flights = time.Time{}, map[scheduler.Ref]*cutFlight{}
	var targets []scheduler.Target
	for i := range w.cfg.endpoints {
		targets = append(targets, scheduler.Target{ID: identifier.Endpoint(fmt.Sprintf("e%d", i)), Pool: "guides", FailureDomain: cutDomain(i), Slots: cutSlots, ProcessStart: 1})
	}
	var list []scheduler.Instance
	for i := range w.instances {
		list = append(list, scheduler.Instance{Name: cutInstanceName(i), FailureDomain: cutDomain(i)})
	}
	w.step(in, scheduler.InstancesSet{Instances: list})
	w.step(in, scheduler.TargetsChanged{Complete: true, Changed: targets})
}

func cutDomain(i int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("d%d", i%3))
}

// isCut reports whether an instance has no link to an endpoint now.
func (w *cutWorld) isCut(in *cutInstance, endpoint int) bool {
	at := w.now.Sub(scripter.Start)
	return in.index < w.cfg.cutOff && at >= cutBeginsAt && at < cutBeginsAt+cutLasts && float64(endpoint) < w.cfg.lost*float64(w.cfg.endpoints)
}

func (w *cutWorld) step(in *cutInstance, e scheduler.Event) {
	for _, a := range slices.Clone(in.core.Step(w.now, e)) {
		switch a := a.(type) {
		case scheduler.WakeAt:
			in.wakeAt = a.At
		case scheduler.Send:
			w.send(in, a)
		case scheduler.Abandon:
			w.abandon(in, a)
		case scheduler.Finish:
			w.finish(in, a)
		case scheduler.Probe:
			w.step(in, scheduler.Probed{Target: a.Target, Answered: !w.isCut(in, endpointNumber(a.Target))})
		}
	}
}

func endpointNumber(t *scheduler.Target) int {
	var n int
	_, _ = fmt.Sscanf(string(t.ID), "e%d", &n)
	return n
}

func (w *cutWorld) send(in *cutInstance, a scheduler.Send) {
	f := in.flights[a.Ref]
	t := &cutAttempt{in: in, life: in.life, flight: f, send: a, sentAt: w.now}
	if a.Peer == "" {
		t.endpoint = endpointNumber(a.Target)
		w.work = append(w.work, t)
		return
	}
	if f.origin != nil {
		w.t.Errorf("%s: request %d goes through a second peer", w.cfg, f.request.id)
		return
	}
	index := slices.IndexFunc(w.instances, func(o *cutInstance) bool { return cutInstanceName(o.index) == a.Peer })
	spec := f.spec
	spec.ViaPeer, spec.MaxAttempts = true, 1
	w.accept(w.instances[index], &cutFlight{request: f.request, spec: spec, origin: t})
}

// accept lets a request arrive at an instance.
func (w *cutWorld) accept(in *cutInstance, f *cutFlight) {
	in.lastRef++
	in.flights[in.lastRef] = f
	w.step(in, scheduler.Arrived{Ref: in.lastRef, Request: f.spec})
}

// abandon ends an attempt, and what a peer does for it.
func (w *cutWorld) abandon(in *cutInstance, a scheduler.Abandon) {
	f := in.flights[a.Ref]
	for _, t := range w.work {
		if t.in == in && t.life == in.life && t.flight == f && t.send.Attempt == a.Attempt {
			t.isOver = true
		}
	}
	if f == nil {
		return
	}
	for _, peer := range w.instances {
		for ref, o := range peer.flights {
			if o.origin != nil && o.origin.flight == f && o.origin.send.Attempt == a.Attempt {
				o.origin.isOver = true
				w.step(peer, scheduler.CallerLeft{Ref: ref})
			}
		}
	}
}

func (w *cutWorld) finish(in *cutInstance, a scheduler.Finish) {
	f := in.flights[a.Ref]
	delete(in.flights, a.Ref)
	if f.origin == nil {
		f.request.outcome = a.Outcome
		return
	}
	var ending scheduler.Ending = scheduler.Broken{}
	switch o := a.Outcome.(type) {
	case scheduler.Delivered:
		ending = scheduler.Completed{}
	case scheduler.NotRun:
		w.refusals++
		ending = scheduler.PeerRefused{Reason: o.Reason, RetryAfter: o.RetryAfter}
	}
	w.end(f.origin, ending)
}

// end reports the end of an attempt, unless the instance has started again or the attempt is over.
func (w *cutWorld) end(t *cutAttempt, e scheduler.Ending) {
	if t.isOver || t.life != t.in.life {
		return
	}
	t.isOver = true
	for ref, f := range t.in.flights {
		if f == t.flight {
			w.step(t.in, scheduler.Ended{Ref: ref, Attempt: t.send.Attempt, Ending: e})
			return
		}
	}
}

// progress reports an event of an attempt, also to the instance that sent the request through this one.
func (w *cutWorld) progress(t *cutAttempt) {
	if t.isOver || t.life != t.in.life {
		return
	}
	for ref, f := range t.in.flights {
		if f != t.flight {
			continue
		}
		w.step(t.in, scheduler.Progressed{Ref: ref, Attempt: t.send.Attempt, Event: true})
		if f.origin != nil {
			w.step(f.origin.in, scheduler.PeerAnswered{Process: t.send.Target.Process()})
			w.progress(f.origin)
		}
		return
	}
}

// serve lets an endpoint go on with an attempt.
func (w *cutWorld) serve(t *cutAttempt) {
	isCut := w.isCut(t.in, t.endpoint)
	switch {
	case t.life != t.in.life:
		t.isOver = true
	case isCut && w.cfg.refused && !t.started:
		w.end(t, scheduler.NotSent{})
	case isCut:
	case !t.started:
		t.started = true
		if w.runs[t.flight.request.id]++; w.runs[t.flight.request.id] > 1 {
			w.arrivals++
		}
	case w.now.Sub(t.sentAt) >= cutFirstEvent+time.Duration(t.events)*cutEventGap:
		t.events++
		w.progress(t)
		if t.events == cutEvents {
			w.end(t, scheduler.Completed{})
		}
	}
}

func (w *cutWorld) play() {
	for end := w.now.Add(cutLength); w.now.Before(end); w.now = w.now.Add(cutStep) {
		for _, in := range w.instances {
			if !in.wakeAt.IsZero() && !w.now.Before(in.wakeAt) {
				in.wakeAt = time.Time{}
				w.step(in, scheduler.Ticked{})
			}
			if w.random.Float64() < cutPerSecond*cutStep.Seconds() && w.now.Before(end.Add(-3*time.Second)) {
				w.arrive(in)
			}
		}
		for _, t := range slices.Clone(w.work) {
			if !t.isOver {
				w.serve(t)
			}
		}
		w.work = slices.DeleteFunc(w.work, func(t *cutAttempt) bool { return t.isOver })
		if elapsed := w.now.Sub(scripter.Start); w.cfg.restarts && elapsed%time.Second == 0 {
			w.restart(w.instances[w.cfg.cutOff+int(elapsed/time.Second)%(w.cfg.instances-w.cfg.cutOff)])
		}
	}
}

// restart starts an instance again. Its callers' requests are lost, and attempts through it break.
func (w *cutWorld) restart(in *cutInstance) {
	lost := in.flights
	w.startInstance(in)
	for _, f := range lost {
		if f.origin != nil {
			w.end(f.origin, scheduler.Broken{})
		} else {
			f.request.outcome = scheduler.CallerGone{}
		}
	}
}

func (w *cutWorld) arrive(in *cutInstance) {
	r := &cutRequest{id: len(w.requests), instance: in.index, sentAt: w.now, repeatable: w.random.IntN(5) > 0}
	w.requests = append(w.requests, r)
	spec := scheduler.Request{
		Service: "guides", Pool: "guides", Repeatable: r.repeatable, Stream: true, ArrivedAt: w.now, Deadline: w.now.Add(6 * time.Second),
		LatencyGoal: 300 * time.Millisecond, GapGoal: 200 * time.Millisecond, MaxAttempts: 2,
	}
	w.accept(in, &cutFlight{request: r, spec: spec})
}

// check reports the promises that were broken.
func (w *cutWorld) check(seed uint64) {
	w.t.Helper()
	served, sent := [2]int{}, [2]int{} // at the instances that are cut off, and at the others, from cutSettles on
	for _, r := range w.requests {
		w.checkRequest(seed, r)
		at := r.sentAt.Sub(scripter.Start)
		if at < cutBeginsAt+cutSettles || at >= cutBeginsAt+cutLasts {
			continue
		}
		side := 0
		if r.instance >= w.cfg.cutOff {
			side = 1
		}
		sent[side]++
		if _, ok := r.outcome.(scheduler.Delivered); ok {
			served[side]++
		}
	}
	if failed := sent[0] - served[0]; w.cfg.cutOff < w.cfg.instances && failed > 10+(sent[0]+sent[1])/50 {
		w.t.Errorf("%s, seed %d: %d of %d served at the instances that are cut off, %d of %d at the others", w.cfg, seed, served[0], sent[0], served[1], sent[1])
	}
	if allowed := 0.2*float64(len(w.requests)) + 100; float64(w.arrivals) > allowed {
		w.t.Errorf("%s, seed %d: %d retries, allowed %.0f", w.cfg, seed, w.arrivals, allowed)
	}
	// An instance that is cut off asks each peer in reach of its choice once a second in vain, and those requests that arrive at the same moment.
	if allowed := 8 * w.cfg.cutOff * int(cutLasts/time.Second) * 2; w.refusals > allowed {
		w.t.Errorf("%s, seed %d: peers refused %d requests, allowed %d", w.cfg, seed, w.refusals, allowed)
	}
}

func (w *cutWorld) checkRequest(seed uint64, r *cutRequest) {
	w.t.Helper()
	runs := w.runs[r.id]
	switch o := r.outcome.(type) {
	case nil:
		w.t.Errorf("%s, seed %d: request %d has no outcome", w.cfg, seed, r.id)
	case scheduler.NotRun:
		if runs > 0 {
			w.t.Errorf("%s, seed %d: request %d ended as not run (%s) and ran %d times", w.cfg, seed, r.id, o.Reason, runs)
		}
		if o.RetryAfter <= 0 {
			w.t.Errorf("%s, seed %d: request %d is refused (%s) without a time to return", w.cfg, seed, r.id, o.Reason)
		}
	}
	if !r.repeatable && runs > 1 || runs > 2 {
		w.t.Errorf("%s, seed %d: request %d ran %d times (repeatable: %t)", w.cfg, seed, r.id, runs, r.repeatable)
	}
}

// TestCutInstancesServeThroughPeers plays fleets of which some instances lose their links to most endpoints. Their callers are
// served within the users' bound, no request goes through two peers, runs too often or is called not run although it ran, the
// retries stay within the budget, and what peers refuse does not grow with the fleet.
func TestCutInstancesServeThroughPeers(t *testing.T) {
	for _, c := range []cutCase{
		{instances: 4, endpoints: 22, cutOff: 1, lost: 1},
		{instances: 4, endpoints: 22, cutOff: 3, lost: 1},
		{instances: 4, endpoints: 22, cutOff: 3, lost: 1, refused: true},
		{instances: 4, endpoints: 22, cutOff: 2, lost: 0.5},
		{instances: 4, endpoints: 22, cutOff: 2, lost: 0.9, restarts: true},
		{instances: 4, endpoints: 3, cutOff: 2, lost: 1},
		{instances: 4, endpoints: 22, cutOff: 4, lost: 1},
		{instances: 1, endpoints: 22, cutOff: 1, lost: 1},
		{instances: 36, endpoints: 100, cutOff: 18, lost: 1},
		{instances: 36, endpoints: 100, cutOff: 18, lost: 1, refused: true, restarts: true},
		{instances: 78, endpoints: 160, cutOff: 52, lost: 0.95},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s,seed=%d", c, seed), func(t *testing.T) {
				t.Parallel()
				w := newCutWorld(t, c, seed)
				w.play()
				w.check(seed)
			})
		}
	}
}
