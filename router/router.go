package router

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// defaultMaxAttempts bounds the attempts of one request.
const defaultMaxAttempts = 3

// Config configures a Router. The zero value is usable.
type Config struct {
	MaxAttempts int // of one request, the first included; zero means 3
}

// Router is the deterministic core of routing. It is not safe for concurrent use; run
// it with a stepper.Stepper. The slice that Step returns is valid until the next Step.
type Router struct {
	cfg      Config
	targets  []target
	remotes  []RemoteSet
	requests map[Ref]*flight
	actions  []Action
}

// target is a Target with what this instance knows of it at once.
type target struct {
	Target
	own int // requests of this instance that run there
}

// flight is one request between its Arrived event and its Finish action.
type flight struct {
	Arrived
	attempt   int
	target    string              // of the running attempt; empty for none
	instance  identifier.Instance // that the running attempt was forwarded to; empty for none
	tried     []string            // targets and instances that earlier attempts used
	mayHave   bool                // an attempt may have run at an endpoint
	delivered int
	started   bool
	refusal   Refused // the last refusal of an endpoint
}

// New returns a Router for cfg.
func New(cfg Config) *Router {
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	return &Router{cfg: cfg, requests: map[Ref]*flight{}}
}

// Step applies e at now and returns the actions that it causes.
func (r *Router) Step(now time.Time, e Event) []Action {
	r.actions = r.actions[:0]
	switch e := e.(type) {
	case TargetsSet:
		r.setTargets(e.Targets)
	case RemoteSet:
		r.setRemote(e)
	case Arrived:
		f := &flight{Arrived: e}
		r.requests[e.Ref] = f
		r.next(now, f)
	case Ended:
		r.ended(now, e)
	case Woken:
		if f := r.requests[e.Ref]; f != nil {
			r.next(now, f)
		}
	}
	return r.actions
}

func (r *Router) setTargets(targets []Target) {
	old := r.targets
	r.targets = make([]target, len(targets))
	for i, t := range targets {
		r.targets[i].Target = t
		if j := slices.IndexFunc(old, func(o target) bool { return o.ID == t.ID }); j >= 0 {
			r.targets[i].own = old[j].own
		}
	}
}

func (r *Router) setRemote(e RemoteSet) {
	i := slices.IndexFunc(r.remotes, func(o RemoteSet) bool { return o.Instance == e.Instance })
	if i < 0 {
		r.remotes = append(r.remotes, e)
		return
	}
	r.remotes[i] = e
}

// next starts the next attempt of f or finishes it.
func (r *Router) next(now time.Time, f *flight) {
	if f.attempt >= r.cfg.MaxAttempts || !now.Before(f.Request.Deadline) {
		r.giveUp(now, f)
		return
	}
	if i := r.choose(f); i >= 0 {
		r.dispatch(f, i)
		return
	}
	if in := r.chooseRemote(f); in != "" {
		f.attempt++
		f.instance = in
		f.tried = append(f.tried, string(in))
		r.actions = append(r.actions, Forward{Ref: f.Ref, Attempt: f.attempt, Instance: in})
		return
	}
	r.giveUp(now, f)
}

func (r *Router) dispatch(f *flight, i int) {
	t := &r.targets[i]
	t.own++
	f.attempt++
	f.target = t.ID
	f.tried = append(f.tried, t.ID)
	r.actions = append(r.actions, Dispatch{Ref: f.Ref, Attempt: f.attempt, Target: t.Target, Resume: f.delivered})
}

// choose returns the index of the usable target with the least load, or -1.
func (r *Router) choose(f *flight) int {
	best := -1
	for i := range r.targets {
		t := &r.targets[i]
		if !t.usable(f) {
			continue
		}
		if best < 0 || t.load() < r.targets[best].load() {
			best = i
		}
	}
	return best
}

// usable reports whether t may take f now.
func (t *target) usable(f *flight) bool {
	return t.Pool == f.Request.Pool && t.Ready && !t.Leaving &&
		(f.Request.Adapter == "" || slices.Contains(t.Adapters, f.Request.Adapter)) &&
		!slices.Contains(f.tried, t.ID)
}

func (t *target) load() float64 {
	return float64(max(t.own, t.InFlight+t.Queued)) / float64(max(t.Capacity, 1))
}

func (r *Router) chooseRemote(f *flight) identifier.Instance {
	if f.Request.Hops > 0 {
		return ""
	}
	for _, remote := range r.remotes {
		if slices.Contains(f.tried, string(remote.Instance)) {
			continue
		}
		for _, p := range remote.Pools {
			if p.Pool == f.Request.Pool && p.Capacity > 0 {
				return remote.Instance
			}
		}
	}
	return ""
}

// ended settles the running attempt of a request.
func (r *Router) ended(now time.Time, e Ended) {
	f := r.requests[e.Ref]
	if f == nil || e.Attempt != f.attempt || (f.target == "" && f.instance == "") {
		return
	}
	r.release(f)
	f.delivered, f.started = e.Delivered, e.Started
	switch end := e.Ending.(type) {
	case Whole:
		r.finish(f, Answered{})
	case NotSent:
		r.next(now, f)
	case Refused:
		f.refusal = end
		r.next(now, f)
	case Broken, Failed, Mismatched:
		f.mayHave = true
		r.retry(now, f)
	case CallerGone:
		r.finish(f, Unknown{Status: statusCallerGone, Reason: "callerGone", Detail: "The caller hung up."})
	case Expired:
		f.mayHave = true
		r.finish(f, f.expired())
	}
}

// retry makes another attempt of a request that may have run, if that is allowed.
func (r *Router) retry(now time.Time, f *flight) {
	if f.Request.Kind == KindNonIdempotent || (f.started && f.delivered == 0) {
		r.giveUp(now, f)
		return
	}
	r.next(now, f)
}

// release takes the running attempt off its target.
func (r *Router) release(f *flight) {
	for i := range r.targets {
		if r.targets[i].ID == f.target {
			r.targets[i].own--
		}
	}
	f.target, f.instance = "", ""
}

func (r *Router) finish(f *flight, o Outcome) {
	delete(r.requests, f.Ref)
	r.actions = append(r.actions, Finish{Ref: f.Ref, Outcome: o})
}
