package scheduler_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// Delays of a simulated world.
const (
	networkDelay = time.Millisecond     // from a Send until the request reaches the endpoint
	cancelDelay  = 3 * time.Millisecond // from an Abandon until the attempt ends
	breakDelay   = 4 * time.Second      // from the end of an endpoint until the connections to it break
)

// world simulates endpoints and the driver of a Scheduler: several attempts of a request may
// run at once, and the events of each are relayed as package forwarder does it. It reports a
// test error for each promise that the Scheduler breaks.
type world struct {
	t         rapid.TB
	core      *scheduler.Scheduler
	ratio     float64
	slack     float64
	now       time.Time
	queue     []task    // sorted by time
	wakeAt    time.Time // when the next tick is due; zero for never
	endpoints []*simEndpoint
	requests  []*simRequest
	arrivals  int
	retries   int
	onRelay   func(a *simAttempt) // called before an event is relayed; may be nil
}

type task struct {
	at time.Time
	do func()
}

// interval is a time during which an endpoint is silent.
type interval struct{ from, to time.Time }

// simEndpoint is an endpoint that runs as many attempts as other instances leave it slots, and refuses others.
type simEndpoint struct {
	id       identifier.Endpoint
	slots    int
	taken    int        // slots that requests of other instances use
	silences []interval // in order, without overlaps
	refuses  []int      // numbers of the attempts, by arrival, that the endpoint refuses in any case
	removals int        // removals from the targets that are in force
	arrived  int
	running  int
	goneAt   time.Time // from when on the endpoint is gone; zero for never
}

// timeAfter returns the time at which the endpoint has worked for d from now on. It does not work while it is silent.
func (e *simEndpoint) timeAfter(now time.Time, d time.Duration) time.Time {
	for _, s := range e.silences {
		if !s.to.After(now) {
			continue
		}
		if !s.from.Before(now.Add(d)) {
			break
		}
		d -= max(s.from.Sub(now), 0)
		now = s.to
	}
	return now.Add(d)
}

// simRequest is a request and what its caller has received.
type simRequest struct {
	scheduler.Request
	ref        scheduler.Ref
	events     int           // events of the complete answer; zero if it is not a stream
	gap        time.Duration // time between two events
	firstEvent time.Duration // time from its start to the first event or to the complete answer
	attempts   []*simAttempt
	relayed    int // number of the last event that the caller received
	ran        int // attempts that have run
	outcome    scheduler.Outcome
}

// simAttempt is an attempt of a request at an endpoint.
type simAttempt struct {
	request  *simRequest
	number   int
	endpoint *simEndpoint
	sentAt   time.Time
	next     int // number of the next event
	live     bool
	accepted bool
	ran      bool
}

// newWorld returns a world whose Scheduler has a retry budget of ratio and slack.
func newWorld(t rapid.TB, ratio, slack float64) *world {
	return &world{
		t: t, core: scheduler.New(scheduler.Config{RetryRatio: ratio, RetrySlack: slack, FirstStart: true}),
		ratio: ratio, slack: slack, now: scripter.Start,
	}
}

// addEndpoint adds an endpoint that is no target until setTargets is called.
func (w *world) addEndpoint(slots int) *simEndpoint {
	e := &simEndpoint{id: identifier.Endpoint(fmt.Sprintf("e%d", len(w.endpoints))), slots: slots}
	w.endpoints = append(w.endpoints, e)
	return e
}

// end makes the endpoint fall silent for ever at a time. Connections to it break later.
func (w *world) end(e *simEndpoint, at time.Time) {
	e.goneAt = at
	e.silences = append(e.silences, interval{at, at.Add(time.Hour)})
	w.schedule(at.Add(breakDelay), func() {
		for _, r := range w.requests {
			w.endAttempts(r, scheduler.Broken{}, func(a *simAttempt) bool { return a.endpoint == e && a.sentAt.Before(at) })
		}
	})
}

// addRequest lets a request arrive at r.ArrivedAt.
func (w *world) addRequest(r *simRequest) {
	r.ref = scheduler.Ref(len(w.requests) + 1)
	r.Service, r.Pool = "guides", "guides"
	r.LatencyGoal, r.GapGoal = 400*time.Millisecond, 200*time.Millisecond
	w.requests = append(w.requests, r)
	w.schedule(r.ArrivedAt, func() {
		w.arrivals++
		w.step(scheduler.Arrived{Ref: r.ref, Request: r.Request})
	})
	w.schedule(r.Deadline, func() {
		w.endAttempts(r, scheduler.Expired{}, func(*simAttempt) bool { return true })
	})
}

// remove removes an endpoint, which goes on, from the targets for a time.
func (w *world) remove(e *simEndpoint, at time.Time, d time.Duration) {
	w.schedule(at, func() {
		e.removals++
		w.setTargets()
	})
	w.schedule(at.Add(d), func() {
		e.removals--
		w.setTargets()
	})
}

// setTargets tells the Scheduler the endpoints that are not removed.
func (w *world) setTargets() {
	var targets []scheduler.Target
	for _, e := range w.endpoints {
		if e.removals == 0 {
			targets = append(targets, scheduler.Target{ID: e.id, Pool: "guides", Slots: e.slots})
		}
	}
	w.step(scheduler.TargetsChanged{Complete: true, Changed: targets})
}

func (w *world) schedule(at time.Time, do func()) {
	t := task{at, do}
	i, _ := slices.BinarySearchFunc(w.queue, t, func(a, b task) int { return cmp.Or(a.at.Compare(b.at), -1) })
	w.queue = slices.Insert(w.queue, i, t)
}

// run carries out the tasks of the given time and checks that each request has ended.
func (w *world) run(length time.Duration) {
	for end := scripter.Start.Add(length); len(w.queue) > 0 && w.queue[0].at.Before(end); {
		w.runNext()
	}
	for _, r := range w.requests {
		if r.outcome == nil {
			w.errorf(r, "has no outcome")
		}
	}
}

// runNext carries out the next task, or the next tick if that is due at the same time or earlier.
func (w *world) runNext() {
	next := w.queue[0]
	if !w.wakeAt.IsZero() && !w.wakeAt.After(next.at) {
		w.now, w.wakeAt = w.wakeAt, time.Time{}
		w.step(scheduler.Ticked{})
		return
	}
	w.queue = w.queue[1:]
	w.now = next.at
	next.do()
}

func (w *world) step(e scheduler.Event) {
	for _, a := range w.core.Step(w.now, e) {
		w.carryOut(a)
	}
}

// carryOut carries out an action. It only schedules further events, because the next Step reuses the actions.
func (w *world) carryOut(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.WakeAt:
		w.wakeAt = a.At
	case scheduler.Send:
		w.send(w.find(a.Ref), a)
	case scheduler.Abandon:
		for _, o := range w.find(a.Ref).attempts {
			if o.number == a.Attempt {
				w.cancel(o)
			}
		}
	case scheduler.Finish:
		w.finish(w.find(a.Ref), a.Outcome)
	}
}

func (w *world) find(ref scheduler.Ref) *simRequest { return w.requests[ref-1] }

func (w *world) send(r *simRequest, s scheduler.Send) {
	i := slices.IndexFunc(w.endpoints, func(e *simEndpoint) bool { return e.id == s.Target.ID })
	a := &simAttempt{request: r, number: s.Attempt, endpoint: w.endpoints[i], sentAt: w.now, next: r.relayed + 1, live: true}
	r.attempts = append(r.attempts, a)
	w.checkSend(a)
	w.schedule(a.endpoint.timeAfter(w.now, networkDelay), func() { w.receive(a) })
	if !a.endpoint.goneAt.IsZero() && !w.now.Before(a.endpoint.goneAt) {
		w.schedule(w.now.Add(breakDelay), func() { w.endAttempt(a, scheduler.Broken{}) })
	}
}

// receive lets the endpoint of a accept or refuse it.
func (w *world) receive(a *simAttempt) {
	if !a.live {
		return
	}
	e := a.endpoint
	e.arrived++
	if e.running+e.taken >= e.slots || slices.Contains(e.refuses, e.arrived) {
		w.endAttempt(a, scheduler.Refused{Status: 503})
		return
	}
	e.running++
	a.accepted = true
	if !a.request.Stream {
		w.recordRun(a)
	}
	w.schedule(e.timeAfter(w.now, a.request.firstEvent), func() { w.produce(a) })
}

// produce lets the endpoint of a send the next event, or the end of the answer after the last event.
func (w *world) produce(a *simAttempt) {
	if !a.live {
		return
	}
	r := a.request
	if a.next > r.events {
		w.endAttempt(a, scheduler.Completed{})
		return
	}
	w.recordRun(a)
	w.step(scheduler.Progressed{Ref: r.ref, Attempt: a.number, Event: true})
	if a.live {
		w.relay(a)
	}
	a.next++
	w.schedule(a.endpoint.timeAfter(w.now, r.gap), func() { w.produce(a) })
}

// relay sends the next event of a to the caller unless the caller already has it.
func (w *world) relay(a *simAttempt) {
	r := a.request
	for _, o := range r.attempts {
		if o != a && o.live {
			w.errorf(r, "gets an event of attempt %d while attempt %d may also send events", a.number, o.number)
		}
	}
	if w.onRelay != nil {
		w.onRelay(a)
	}
	if a.next <= r.relayed {
		return
	}
	if a.next != r.relayed+1 {
		w.errorf(r, "gets event %d of attempt %d after event %d", a.next, a.number, r.relayed)
	}
	r.relayed = a.next
}

// endAttempts ends the running attempts of r that match.
func (w *world) endAttempts(r *simRequest, ending scheduler.Ending, matches func(*simAttempt) bool) {
	for _, a := range slices.Clone(r.attempts) {
		if matches(a) {
			w.endAttempt(a, ending)
		}
	}
}

func (w *world) endAttempt(a *simAttempt, ending scheduler.Ending) {
	if !a.live {
		return
	}
	a.live = false
	w.releaseSlot(a)
	w.step(scheduler.Ended{Ref: a.request.ref, Attempt: a.number, Ending: ending})
}

// cancel ends a running attempt from the driver's side.
func (w *world) cancel(a *simAttempt) {
	if !a.live {
		return
	}
	a.live = false
	w.releaseSlot(a)
	w.schedule(w.now.Add(cancelDelay), func() {
		w.step(scheduler.Ended{Ref: a.request.ref, Attempt: a.number, Ending: scheduler.Abandoned{}})
	})
}

// releaseSlot frees the slot of a once its endpoint notices the end. A silent endpoint notices it after its silence.
func (w *world) releaseSlot(a *simAttempt) {
	if a.accepted {
		w.schedule(a.endpoint.timeAfter(w.now, networkDelay), func() { a.endpoint.running-- })
	}
}

func (w *world) finish(r *simRequest, o scheduler.Outcome) {
	if r.outcome != nil {
		w.errorf(r, "ends twice")
	}
	r.outcome = o
	w.checkOutcome(r)
	for _, a := range r.attempts {
		w.cancel(a)
	}
}
