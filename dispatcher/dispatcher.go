package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/stepper"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// Dispatcher serves requests: it runs the router's core, sends attempts to endpoints
// and peers, and streams the answers. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	step    *stepper.Stepper[router.Event, router.Action]
	lastRef atomic.Uint64

	mu    sync.Mutex
	calls map[router.Ref]chan router.Action
}

// New returns a Dispatcher for cfg. It starts no goroutine.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	d := &Dispatcher{cfg: cfg, calls: map[router.Ref]chan router.Action{}}
	d.step = stepper.New(stepper.Config[router.Event, router.Action]{
		Core:   router.New(cfg.Router),
		Handle: d.handle,
		Now:    cfg.Now,
	})
	return d
}

// SetTargets replaces the set of targets of the own failure domain.
func (d *Dispatcher) SetTargets(targets []router.Target) {
	d.step.Submit(router.TargetsSet{Targets: targets})
}

// SetRemote replaces what peer last said of the load that its failure domain can take.
func (d *Dispatcher) SetRemote(peer linker.Peer, load linker.LoadSummary) {
	pools := make([]router.RemotePool, len(load.Services))
	for i, s := range load.Services {
		pools[i] = router.RemotePool{Pool: s.Pool, Free: s.Free, Capacity: s.Capacity}
	}
	d.step.Submit(router.RemoteSet{Instance: peer.Instance, FailureDomain: load.FailureDomain, Pools: pools})
}

// SetBundle takes the client accounts and their limits from b.
func (d *Dispatcher) SetBundle(*bundler.Bundle) {}

// Serve carries req out and writes its answer to w. It returns once the outcome is
// known: Answered only if the whole answer went to w, NotRun only if no endpoint ran
// the request. After Start was called on w, any outcome but Answered means that the
// answer was cut off and has no end mark. A done ctx means that the caller hung up.
func (d *Dispatcher) Serve(ctx context.Context, req router.Request, w router.Writer) router.Outcome {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if key := idempotencyKey(&req); key != "" && d.cfg.Claims != nil {
		return d.serveClaimed(ctx, &req, key, w)
	}
	return d.route(ctx, &req, &sink{w: w})
}

// route runs the attempts of req that the router decides on.
func (d *Dispatcher) route(ctx context.Context, req *router.Request, s *sink) router.Outcome {
	ref := router.Ref(d.lastRef.Add(1))
	actions := make(chan router.Action, 1)
	d.mu.Lock()
	d.calls[ref] = actions
	d.mu.Unlock()
	defer d.forget(ref)
	d.step.Submit(router.Arrived{Ref: ref, Request: req})
	for a := range actions {
		switch a := a.(type) {
		case router.Dispatch:
			end := d.attempt(ctx, req, a, s)
			d.log(req, a, end)
			d.step.Submit(router.Ended{Ref: ref, Attempt: a.Attempt, Ending: end, Delivered: s.delivered, Started: s.started})
		case router.Forward:
			end := d.forward(ctx, req, a, s)
			d.step.Submit(router.Ended{Ref: ref, Attempt: a.Attempt, Ending: end, Delivered: s.delivered, Started: s.started})
		case router.Wait:
			sleep(ctx, a.Until.Sub(d.cfg.Now()))
			d.step.Submit(router.Woken{Ref: ref})
		case router.Finish:
			return a.Outcome
		}
	}
	panic("dispatcher: a request without an outcome")
}

// handle hands an action to the goroutine of its request, which has at most one outstanding.
func (d *Dispatcher) handle(a router.Action) {
	switch a := a.(type) {
	case router.Dispatch:
		d.call(a.Ref) <- a
	case router.Forward:
		d.call(a.Ref) <- a
	case router.Wait:
		d.call(a.Ref) <- a
	case router.Finish:
		d.call(a.Ref) <- a
	}
}

func (d *Dispatcher) call(ref router.Ref) chan router.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[ref]
}

func (d *Dispatcher) forget(ref router.Ref) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, ref)
}

func (d *Dispatcher) log(req *router.Request, a router.Dispatch, end router.Ending) {
	if _, ok := end.(router.Whole); ok {
		return
	}
	d.cfg.Logger.Warn().Str("request", string(req.ID)).Str("target", a.Target.ID).
		Int("attempt", a.Attempt).Type("ending", end).Msg("attempt did not give the whole answer")
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
