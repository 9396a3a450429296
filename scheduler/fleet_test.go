package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// fleet simulates instances, each with a Scheduler, that share engines. An engine works in steps: a step reads at most
// one prompt and makes a token of each running request, so that latency grows with load.
type fleet struct {
	now       time.Time
	events    fleetEvents
	serial    int
	instances []*fleetInstance
	engines   []*fleetEngine
	random    *rand.Rand
	delay     time.Duration
	requests  map[scheduler.Ref]*fleetRequest
	results   []*fleetRequest
	onAction  func(scheduler.Action) // called for each action; may be nil
}

// fleetConfig describes a fleet and its load.
type fleetConfig struct {
	instances, engines, slots int
	domains                   int
	learns                    bool // the schedulers learn limits; else they choose by load alone, as before
	goals                     []time.Duration
	promptTokens, tokens      int           // means
	delay                     time.Duration // from an instance to an engine
	seed                      uint64
}

type fleetInstance struct {
	core   *scheduler.Scheduler
	wakeAt time.Time
	domain identifier.FailureDomain
}

// fleetEngine is an engine. Its slowness at a time multiplies the time of each step.
type fleetEngine struct {
	id       identifier.Endpoint
	slots    int
	pace     float64
	slowness func(at time.Duration) float64 // nil for 1
	failing  func(at time.Duration) bool    // fails every second request; nil for never
	kneeAt   int                            // running requests from which each further one costs ten times as much; zero for none
	running  []*fleetRequest
	waiting  []*fleetRequest
	isBusy   bool
	got      []time.Duration // times at which requests arrived, since the start
}

type fleetRequest struct {
	scheduler.Request
	ref       scheduler.Ref
	instance  *fleetInstance
	tokens    int
	attempt   int
	engine    *fleetEngine
	done      int
	firstAt   time.Time
	lastAt    time.Time
	maxGap    time.Duration
	outcome   scheduler.Outcome
	sentCount int
}

// inTime reports whether r met its goals.
func (r *fleetRequest) inTime() bool {
	_, delivered := r.outcome.(scheduler.Delivered)
	return delivered && r.firstAt.Sub(r.ArrivedAt) <= r.LatencyGoal && r.maxGap <= r.GapGoal
}

type fleetEvent struct {
	at     time.Time
	serial int
	do     func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int { return len(q) }
func (q fleetEvents) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}
func (q fleetEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(c fleetConfig) *fleet {
	f := &fleet{delay: c.delay, now: scripter.Start, random: rand.New(rand.NewPCG(c.seed, 1)), requests: map[scheduler.Ref]*fleetRequest{}}
	domains := max(c.domains, 1)
	var targets []scheduler.Target
	for i := range c.engines {
		e := &fleetEngine{id: identifier.Endpoint(fmt.Sprintf("e%d", i)), slots: c.slots, pace: 1}
		f.engines = append(f.engines, e)
		t := scheduler.Target{ID: e.id, Pool: "guides", Slots: c.slots, FailureDomain: identifier.FailureDomain(fmt.Sprint(i % domains))}
		if c.learns {
			t.Group = identifier.Group("g" + e.id)
		}
		targets = append(targets, t)
	}
	for i := range c.instances {
		in := &fleetInstance{domain: identifier.FailureDomain(fmt.Sprint(i % domains))}
		in.core = scheduler.New(scheduler.Config{Instance: identifier.Instance(fmt.Sprintf("i%d", i)), FailureDomain: in.domain, RetryRatio: 0.2, RetrySlack: 100, FirstStart: true})
		f.instances = append(f.instances, in)
		f.step(in, scheduler.TargetsChanged{Complete: true, Changed: targets})
	}
	return f
}

func (f *fleet) since() time.Duration { return f.now.Sub(scripter.Start) }

func (f *fleet) schedule(after time.Duration, do func()) {
	f.serial++
	heap.Push(&f.events, fleetEvent{f.now.Add(after), f.serial, do})
}

// addLoad lets requests arrive from a time on for a length, at a rate over all instances.
func (f *fleet) addLoad(c fleetConfig, from, length time.Duration, perSecond float64) {
	at := from
	for {
		at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= from+length {
			return
		}
		r := &fleetRequest{
			ref: scheduler.Ref(len(f.results) + 1), instance: f.instances[f.random.IntN(len(f.instances))],
			tokens: 1 + int(f.random.ExpFloat64()*float64(c.tokens)),
			Request: scheduler.Request{
				Service: "guides", Pool: "guides", Repeatable: true, Stream: true, MaxAttempts: 2,
				PromptTokens: 1 + int(f.random.ExpFloat64()*float64(c.promptTokens)),
				LatencyGoal:  c.goals[f.random.IntN(len(c.goals))], GapGoal: 300 * time.Millisecond,
			},
		}
		f.results = append(f.results, r)
		f.requests[r.ref] = r
		f.schedule(at, func() {
			r.ArrivedAt, r.Deadline = f.now, f.now.Add(8*time.Second)
			f.step(r.instance, scheduler.Arrived{Ref: r.ref, Request: r.Request})
		})
	}
}

func (f *fleet) run(length time.Duration) {
	end := scripter.Start.Add(length)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
	}
}

func (f *fleet) step(in *fleetInstance, e scheduler.Event) {
	var later []func()
	for _, a := range in.core.Step(f.now, e) {
		switch a := a.(type) {
		case scheduler.WakeAt:
			in.wakeAt = a.At
			later = append(later, func() {
				f.schedule(a.At.Sub(f.now), func() {
					if in.wakeAt.Equal(f.now) {
						in.wakeAt = time.Time{}
						f.step(in, scheduler.Ticked{})
					}
				})
			})
		case scheduler.Send:
			later = append(later, func() { f.send(f.requests[a.Ref], a) })
		case scheduler.Abandon:
			later = append(later, func() { f.drop(f.requests[a.Ref], a.Attempt) })
		case scheduler.Finish:
			f.requests[a.Ref].outcome = a.Outcome
		}
		if f.onAction != nil {
			f.onAction(a)
		}
	}
	for _, do := range later {
		do()
	}
}

// send starts an attempt. A hedge replaces the attempt that it hedges, which is enough here.
func (f *fleet) send(r *fleetRequest, s scheduler.Send) {
	if r.engine != nil {
		f.drop(r, r.attempt)
	}
	var e *fleetEngine
	for _, o := range f.engines {
		if o.id == s.Target.ID {
			e = o
		}
	}
	r.attempt, r.engine, r.done, r.lastAt = s.Attempt, e, 0, time.Time{}
	r.sentCount++
	f.schedule(f.delay, func() {
		if r.engine != e || r.attempt != s.Attempt {
			return
		}
		e.got = append(e.got, f.since())
		if e.failing != nil && e.failing(f.since()) && len(e.got)%2 == 0 {
			r.engine = nil
			f.step(r.instance, scheduler.Ended{Ref: r.ref, Attempt: r.attempt, Ending: scheduler.Failed{Status: 500}})
			return
		}
		e.waiting = append(e.waiting, r)
		f.work(e)
	})
}

// drop removes the attempt of r from its engine.
func (f *fleet) drop(r *fleetRequest, attempt int) {
	if r.engine == nil || r.attempt != attempt {
		return
	}
	e := r.engine
	r.engine = nil
	without := func(list []*fleetRequest) (out []*fleetRequest) {
		for _, o := range list {
			if o != r {
				out = append(out, o)
			}
		}
		return out
	}
	e.running, e.waiting = without(e.running), without(e.waiting)
}

// work begins a step of e unless one runs or nothing is to be done.
func (f *fleet) work(e *fleetEngine) {
	if e.isBusy || len(e.running)+len(e.waiting) == 0 {
		return
	}
	ms := 6.07 + 0.241*float64(len(e.running))
	if e.kneeAt > 0 {
		ms += 2.4 * float64(max(len(e.running)-e.kneeAt, 0))
	}
	if len(e.waiting) > 0 && len(e.running) < e.slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		ms += float64(r.PromptTokens) / 46
	}
	if e.slowness != nil {
		ms *= e.slowness(f.since())
	}
	e.isBusy = true
	f.schedule(time.Duration(ms*e.pace*float64(time.Millisecond)), func() {
		e.isBusy = false
		load := scheduler.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots}
		for _, r := range append([]*fleetRequest(nil), e.running...) {
			if r.engine == e {
				f.produce(r, load)
			}
		}
		f.work(e)
	})
}

// produce sends the next event of r, and the end after the last one. Only the first event has the header with the load.
func (f *fleet) produce(r *fleetRequest, load scheduler.Load) {
	if r.done > 0 {
		load = scheduler.Load{}
	}
	r.done++
	if r.firstAt.IsZero() {
		r.firstAt = f.now
	}
	if !r.lastAt.IsZero() {
		r.maxGap = max(r.maxGap, f.now.Sub(r.lastAt))
	}
	r.lastAt = f.now
	attempt := r.attempt
	f.step(r.instance, scheduler.Progressed{Ref: r.ref, Attempt: attempt, Event: true, Load: load})
	if r.done >= r.tokens && r.engine != nil && r.attempt == attempt {
		f.drop(r, attempt)
		f.step(r.instance, scheduler.Ended{Ref: r.ref, Attempt: attempt, Ending: scheduler.Completed{}})
	}
}

// score returns the parts of the requests that arrived in a time that met their goals, and that were rejected.
func (f *fleet) score(from, to time.Duration) (inTime, rejected float64) {
	n := 0
	for _, r := range f.results {
		if at := r.ArrivedAt.Sub(scripter.Start); at < from || at >= to {
			continue
		}
		n++
		if r.inTime() {
			inTime++
		}
		if _, ok := r.outcome.(scheduler.NotRun); ok {
			rejected++
		}
	}
	return inTime / float64(n), rejected / float64(n)
}

// received returns the requests that e got in a time.
func (e *fleetEngine) received(from, to time.Duration) int {
	n := 0
	for _, at := range e.got {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
