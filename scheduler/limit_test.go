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

// Bounds on what an endpoint that names a limit may get, as the users state them.
const (
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitSlack       = 5
	limitStableTime  = 3 * time.Second        // after the limit was first named
	limitToldTime    = 500 * time.Millisecond // after an instance had an answer that names it
	limitStep        = 10 * time.Millisecond
	limitAnswerTime  = 60 * time.Millisecond // until the first event
	limitServeTime   = 500 * time.Millisecond
	limitSilentTime  = 700 * time.Millisecond // of an endpoint that is silent, which leads to hedges
	limitNamedAfter  = 5 * time.Second
	limitWorldLength = 40 * time.Second
	limitListLostAt  = 20 * time.Second // from the start of the world
	limitListLostFor = 2 * time.Second
)

// limitWorld is a fleet of schedulers with endpoints of which each names the same limit.
type limitWorld struct {
	t         *testing.T
	random    *rand.Rand
	cfg       limitCase
	now       time.Time
	instances []*limitInstance
	endpoints []*limitEndpoint
	pending   []func() bool // work of the endpoints; returns true when it is done
	requests  map[limitFlight]scheduler.Request
	origins   map[limitFlight]limitOrigin // of the requests that instances send to endpoints for others
}

// limitFlight is a request at an instance.
type limitFlight struct {
	in  *limitInstance
	ref scheduler.Ref
}

// limitOrigin is the attempt of another instance that a request belongs to.
type limitOrigin struct {
	limitFlight
	attempt, life int
}

type limitCase struct {
	instances, endpoints int
	perSecond            float64 // limit of each endpoint
	demand               float64 // requests per second of all callers, as a multiple of all limits
	restarts             bool    // an instance starts again each two seconds, one after the other
	shedding, silences   bool    // endpoints refuse requests; endpoints fall silent
	listLost             bool    // the entries of the instances expire in an outage of the store, and come back one after the other
}

func (c limitCase) String() string {
	return fmt.Sprintf("instances=%d,endpoints=%d,limit=%v,demand=%v,restarts=%t,shedding=%t,silences=%t,listLost=%t", c.instances, c.endpoints, c.perSecond, c.demand, c.restarts, c.shedding, c.silences, c.listLost)
}

type limitInstance struct {
	name    identifier.Instance
	core    *scheduler.Scheduler
	wakeAt  time.Time
	lastRef scheduler.Ref
	life    int // number of the process
	news    []scheduler.LimitNews
	toldAt  map[int]time.Time // when an answer of an endpoint first named its limit, by endpoint
}

type limitEndpoint struct {
	index       int
	silentUntil time.Time
	arrivals    []time.Time // from instances that had been told
	all         int         // arrivals from stableTime on
}

func newLimitWorld(t *testing.T, c limitCase, seed uint64) *limitWorld {
	w := &limitWorld{t: t, random: rand.New(rand.NewPCG(seed, 0)), cfg: c, now: scripter.Start, requests: map[limitFlight]scheduler.Request{}, origins: map[limitFlight]limitOrigin{}}
	for i := range c.endpoints {
		w.endpoints = append(w.endpoints, &limitEndpoint{index: i})
	}
	for i := range c.instances {
		w.instances = append(w.instances, &limitInstance{name: identifier.Instance(fmt.Sprintf("entry-%d", i))})
	}
	for _, in := range w.instances {
		w.startInstance(in)
	}
	return w
}

// startInstance starts a process of an instance, which knows nothing of an earlier one.
func (w *limitWorld) startInstance(in *limitInstance) {
	in.core = scheduler.New(scheduler.Config{Instance: in.name, FailureDomain: "here", RetryRatio: 1, RetrySlack: 1000, FirstStart: true})
	in.wakeAt, in.toldAt, in.news = time.Time{}, map[int]time.Time{}, nil
	in.life++
	var targets []scheduler.Target
	for _, e := range w.endpoints {
		targets = append(targets, scheduler.Target{ID: limitEndpointID(e.index), Pool: "guides", FailureDomain: "here", Slots: 14, ProcessStart: 1})
	}
	w.listInstances(in, len(w.instances))
	w.step(in, scheduler.TargetsChanged{Complete: true, Changed: targets})
}

// listInstances shows an instance the first n instances.
func (w *limitWorld) listInstances(in *limitInstance, n int) {
	var instances []scheduler.Instance
	for _, other := range w.instances[:n] {
		instances = append(instances, scheduler.Instance{Name: other.name, FailureDomain: "here"})
	}
	w.step(in, scheduler.InstancesSet{Instances: instances})
}

func limitEndpointID(i int) identifier.Endpoint { return identifier.Endpoint(fmt.Sprintf("e%d", i)) }

func (w *limitWorld) step(in *limitInstance, e scheduler.Event) {
	for _, a := range slices.Clone(in.core.Step(w.now, e)) {
		switch a := a.(type) {
		case scheduler.WakeAt:
			in.wakeAt = a.At
		case scheduler.Send:
			if a.Peer != "" {
				w.sendThroughPeer(in, a)
				continue
			}
			w.serve(in, a)
		case scheduler.Finish:
			w.finish(in, a)
		case scheduler.Probe:
			w.pending = append(w.pending, func() bool {
				w.step(in, scheduler.Probed{Target: a.Target, Answered: !w.now.Before(w.endpointOf(a.Target).silentUntil)})
				return true
			})
		case scheduler.LimitReport:
			w.exchangeNews(in, a)
		}
	}
}

// sendThroughPeer lets another instance send a request to endpoints.
func (w *limitWorld) sendThroughPeer(in *limitInstance, a scheduler.Send) {
	index := slices.IndexFunc(w.instances, func(o *limitInstance) bool { return o.name == a.Peer })
	peer := w.instances[index]
	peer.lastRef++
	request := w.requests[limitFlight{in, a.Ref}]
	request.ViaPeer, request.MaxAttempts = true, 1
	w.origins[limitFlight{peer, peer.lastRef}] = limitOrigin{limitFlight: limitFlight{in, a.Ref}, attempt: a.Attempt, life: in.life}
	w.step(peer, scheduler.Arrived{Ref: peer.lastRef, Request: request})
}

// finish tells the instance that sent a request through this one how it ended.
func (w *limitWorld) finish(in *limitInstance, a scheduler.Finish) {
	origin, ok := w.origins[limitFlight{in, a.Ref}]
	if !ok || origin.life != origin.in.life {
		return
	}
	var ending scheduler.Ending = scheduler.Broken{}
	switch o := a.Outcome.(type) {
	case scheduler.Delivered:
		ending = scheduler.Completed{}
	case scheduler.NotRun:
		ending = scheduler.PeerRefused{Reason: o.Reason, RetryAfter: o.RetryAfter}
	}
	w.step(origin.in, scheduler.Ended{Ref: origin.ref, Attempt: origin.attempt, Ending: ending})
}

// endpointOf returns the endpoint of a target.
func (w *limitWorld) endpointOf(t *scheduler.Target) *limitEndpoint {
	var index int
	_, _ = fmt.Sscanf(string(t.ID), "e%d", &index)
	return w.endpoints[index]
}

// exchangeNews lets an instance exchange what it knows about limits with another one.
func (w *limitWorld) exchangeNews(in *limitInstance, r scheduler.LimitReport) {
	other := w.instances[w.random.IntN(len(w.instances))]
	if other == in {
		return
	}
	in.news = r.News
	news := other.news
	w.pending = append(w.pending, func() bool {
		w.step(other, scheduler.LimitsReported{News: r.News})
		w.step(in, scheduler.LimitsReported{News: news})
		return true
	})
}

// serve lets an endpoint receive an attempt and answer it.
func (w *limitWorld) serve(in *limitInstance, a scheduler.Send) {
	e := w.endpointOf(a.Target)
	if at, told := in.toldAt[e.index]; told && w.now.Sub(at) >= limitToldTime {
		e.arrivals = append(e.arrivals, w.now)
	}
	if w.now.Sub(scripter.Start) > limitNamedAfter+limitStableTime {
		e.all++
	}
	sentAt, life, hasEvent := w.now, in.life, false
	refused := w.cfg.shedding && w.random.IntN(4) == 0
	w.pending = append(w.pending, func() bool {
		switch {
		case in.life != life:
			return true
		case w.now.Before(e.silentUntil):
			return false
		case !hasEvent && w.now.Sub(sentAt) >= limitAnswerTime:
			hasEvent = true
			w.answer(in, e, a, sentAt, refused)
			return refused
		case w.now.Sub(sentAt) >= limitServeTime:
			w.step(in, scheduler.Ended{Ref: a.Ref, Attempt: a.Attempt, Ending: scheduler.Completed{}})
			return true
		}
		return false
	})
}

// answer sends the header of an answer with the first event, or a refusal.
func (w *limitWorld) answer(in *limitInstance, e *limitEndpoint, a scheduler.Send, sentAt time.Time, refused bool) {
	if w.now.Sub(scripter.Start) >= limitNamedAfter {
		if _, told := in.toldAt[e.index]; !told {
			in.toldAt[e.index] = w.now
		}
		limit := scheduler.LimitStatement{IsKnown: true, PerSecond: w.cfg.perSecond}
		w.step(in, scheduler.ProcessStated{Process: a.Target.Process(), Limit: limit, SentAt: sentAt})
	}
	if refused {
		w.step(in, scheduler.Ended{Ref: a.Ref, Attempt: a.Attempt, Ending: scheduler.Refused{Status: 503}})
		return
	}
	w.step(in, scheduler.Progressed{Ref: a.Ref, Attempt: a.Attempt, Event: true})
	if origin, ok := w.origins[limitFlight{in, a.Ref}]; ok && origin.life == origin.in.life {
		w.step(origin.in, scheduler.Progressed{Ref: origin.ref, Attempt: origin.attempt, Event: true})
	}
}

// play lets the world go on for a time.
func (w *limitWorld) play(length time.Duration) {
	perStep := w.cfg.demand * w.cfg.perSecond * float64(w.cfg.endpoints) * limitStep.Seconds()
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(limitStep) {
		for _, in := range w.instances {
			if !in.wakeAt.IsZero() && !w.now.Before(in.wakeAt) {
				in.wakeAt = time.Time{}
				w.step(in, scheduler.Ticked{})
			}
		}
		work := w.pending
		w.pending = nil
		for _, do := range work {
			if !do() {
				w.pending = append(w.pending, do)
			}
		}
		for n := perStep; n > 0 && (n >= 1 || w.random.Float64() < n); n-- {
			w.arrive()
		}
		w.disturb()
	}
}

// arrive lets a request arrive at an instance.
func (w *limitWorld) arrive() {
	in := w.instances[w.random.IntN(len(w.instances))]
	in.lastRef++
	request := scheduler.Request{
		Service: "guides", Pool: "guides", Repeatable: true, Stream: true, ArrivedAt: w.now, Deadline: w.now.Add(6 * time.Second), LatencyGoal: 400 * time.Millisecond, GapGoal: 200 * time.Millisecond, MaxAttempts: 3,
	}
	w.requests[limitFlight{in, in.lastRef}] = request
	w.step(in, scheduler.Arrived{Ref: in.lastRef, Request: request})
}

// disturb restarts instances and silences endpoints.
func (w *limitWorld) disturb() {
	elapsed := w.now.Sub(scripter.Start)
	if w.cfg.restarts && elapsed%(2*time.Second) == 0 {
		w.startInstance(w.instances[int(elapsed/(2*time.Second))%len(w.instances)])
	}
	if since := elapsed - limitListLostAt; w.cfg.listLost && since >= 0 && since <= limitListLostFor {
		for _, in := range w.instances {
			w.listInstances(in, int(int64(len(w.instances))*int64(since)/int64(limitListLostFor)))
		}
	}
	if w.cfg.silences && elapsed%(3*time.Second) == 0 {
		w.endpoints[int(elapsed/(3*time.Second))%len(w.endpoints)].silentUntil = w.now.Add(limitSilentTime)
	}
}

// TestEndpointGetsNoMoreThanItsLimit plays fleets whose endpoints name a limit of requests per second
// for all instances together, with more demand than that. First attempts, retries after refusals,
// hedges and resumed streams all count. Nothing read the limit; a limit that each instance divides
// by their number is broken by the first requests of all of them at the same moment.
func TestEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	for _, c := range []limitCase{
		{instances: 4, endpoints: 5, perSecond: 2.8, demand: 3},
		{instances: 4, endpoints: 5, perSecond: 0.3, demand: 9, restarts: true},
		{instances: 4, endpoints: 3, perSecond: 12, demand: 2, restarts: true, shedding: true, silences: true},
		{instances: 4, endpoints: 5, perSecond: 2.8, demand: 6, listLost: true},
		{instances: 35, endpoints: 12, perSecond: 3, demand: 6, listLost: true},
		{instances: 35, endpoints: 12, perSecond: 2, demand: 2, shedding: true, silences: true},
		{instances: 78, endpoints: 5, perSecond: 1, demand: 6, restarts: true},
		{instances: 78, endpoints: 40, perSecond: 2, demand: 3, shedding: true, silences: true},
		{instances: 78, endpoints: 5, perSecond: 20, demand: 2, restarts: true, shedding: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s,seed=%d", c, seed), func(t *testing.T) {
				t.Parallel()
				w := newLimitWorld(t, c, seed)
				w.play(limitWorldLength)
				w.check(seed)
			})
		}
	}
}

// check reports the endpoints that got more than their limit allows in some window, and those that got so
// little that the limit was not used.
func (w *limitWorld) check(seed uint64) {
	w.t.Helper()
	allowed := int(limitFactor*w.cfg.perSecond*limitWindow.Seconds() + limitSlack)
	from := scripter.Start.Add(limitNamedAfter + limitStableTime)
	total := 0
	for _, e := range w.endpoints {
		total += e.all
		worst := 0
		for first, last := 0, 0; last < len(e.arrivals); last++ {
			for e.arrivals[last].Sub(e.arrivals[first]) >= limitWindow {
				first++
			}
			if !e.arrivals[first].Before(from) {
				worst = max(worst, last-first+1)
			}
		}
		if worst > allowed {
			w.t.Errorf("%s, seed %d: endpoint %d got %d requests in %v, allowed %d", w.cfg, seed, e.index, worst, limitWindow, allowed)
		}
	}
	length := limitWorldLength - limitNamedAfter - limitStableTime
	if half := w.cfg.perSecond * float64(w.cfg.endpoints) * length.Seconds() / 2; float64(total) < half {
		w.t.Errorf("%s, seed %d: the endpoints got %d requests, less than half of what they take (%.0f)", w.cfg, seed, total, 2*half)
	}
}
