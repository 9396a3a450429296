package dispatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
	"amaranthmill/limiter"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// Dispatcher serves requests: it runs the cores of limiter and router, sends attempts
// to endpoints and peers, and streams the answers. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	meters  meters
	admit   *stepper.Stepper[limiter.Event, limiter.Action]
	step    *stepper.Stepper[router.Event, router.Action]
	lastRef atomic.Uint64
	tick    *time.Timer

	mu    sync.Mutex
	calls map[uint64]*call
}

// call is one request under way. Each core has at most one action outstanding for it.
type call struct {
	ref        uint64
	req        *router.Request
	sink       sink
	sendBefore time.Time // of a claimed call; zero for no bound
	admission  chan limiter.Action
	actions    chan router.Action
}

// New returns a Dispatcher for cfg. It starts no goroutine.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	d := &Dispatcher{cfg: cfg, meters: newMeters(cfg.Meter), calls: map[uint64]*call{}}
	d.admit = stepper.New(stepper.Config[limiter.Event, limiter.Action]{
		Core: limiter.New(cfg.Limiter), Handle: d.handleAdmission, Now: cfg.Now,
	})
	d.step = stepper.New(stepper.Config[router.Event, router.Action]{
		Core: router.New(cfg.Router), Handle: d.handle, Now: cfg.Now,
	})
	d.tick = time.AfterFunc(time.Hour, func() { d.admit.Submit(limiter.Ticked{}) })
	return d
}

// SetTargets replaces the set of targets of the own failure domain.
func (d *Dispatcher) SetTargets(targets []router.Target) {
	d.step.Submit(router.TargetsSet{Targets: targets})
}

// SetInstances says how many instances of the system serve the own failure domain and
// how many there are in all, this one included. The first share the targets, and all
// share the client accounts' limits.
func (d *Dispatcher) SetInstances(own, all int) {
	d.step.Submit(router.InstancesSet{Count: own})
	d.admit.Submit(limiter.InstancesSet{Count: all})
}

// SetLimitShare says which part of an account's limit this instance may admit. Until then, and
// with a part of zero, it is an equal part.
func (d *Dispatcher) SetLimitShare(account identifier.ClientAccount, part float64) {
	d.admit.Submit(limiter.ShareSet{Account: account, Share: part})
}

// SetRemote replaces what peer last said of the load that its failure domain can take.
func (d *Dispatcher) SetRemote(peer linker.Peer, load linker.LoadSummary) {
	pools := make([]router.RemotePool, len(load.Services))
	for i, s := range load.Services {
		pools[i] = router.RemotePool{Pool: s.Pool, Free: s.Free, Capacity: s.Capacity}
	}
	d.step.Submit(router.RemoteSet{Instance: peer.Instance, Pools: pools})
}

// SetBundle takes the client accounts and their limits from b.
func (d *Dispatcher) SetBundle(b *bundler.Bundle) {
	accounts := make([]limiter.Account, len(b.Accounts))
	for i, a := range b.Accounts {
		accounts[i] = limiter.Account{Name: a.Name, RequestsPerSecond: a.RequestsPerSecond, Burst: a.Burst}
	}
	d.admit.Submit(limiter.AccountsSet{Accounts: accounts})
}

// AddSuspicion takes in a peer's suspicion.
func (d *Dispatcher) AddSuspicion(s linker.Suspicion) {
	lost := make([]string, len(s.GroupsLost))
	for i, g := range s.GroupsLost {
		lost[i] = string(g)
	}
	d.step.Submit(router.SuspicionReceived{Suspicion: router.Suspicion{Fingerprint: s.Fingerprint, LostTargets: lost, TTL: s.For}})
}

// Serve carries req out and writes its answer to w. It returns once the outcome is
// known: Answered only if the whole answer went to w, NotRun only if no endpoint ran
// the request. After Start was called on w, any outcome but Answered means that the
// answer was cut off and has no end mark. A done ctx means that the caller hung up.
func (d *Dispatcher) Serve(ctx context.Context, req router.Request, w router.Writer) router.Outcome {
	began := d.cfg.Now()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	c := d.newCall(&req, w)
	defer d.forget(c)
	outcome := d.serve(ctx, c)
	d.meters.finished(ctx, outcome, d.cfg.Now().Sub(began))
	return outcome
}

func (d *Dispatcher) newCall(req *router.Request, w router.Writer) *call {
	c := &call{
		ref: d.lastRef.Add(1), req: req, sink: sink{w: w},
		admission: make(chan limiter.Action, 1), actions: make(chan router.Action, 1),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[c.ref] = c
	return c
}

func (d *Dispatcher) forget(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.ref)
}

func (d *Dispatcher) find(ref uint64) *call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[ref]
}

// serve admits the call, carries it out and releases its slot.
func (d *Dispatcher) serve(ctx context.Context, c *call) (outcome router.Outcome) {
	if refused := d.enter(ctx, c); refused != nil {
		return refused
	}
	defer func() {
		_, ran := outcome.(router.Answered)
		d.admit.Submit(limiter.Released{Ref: limiter.Ref(c.ref), Completed: ran})
	}()
	if key := idempotencyKey(c.req); key != "" && d.cfg.Claimer != nil {
		return d.serveClaimed(ctx, c, key)
	}
	return d.route(ctx, c)
}

// enter waits until the limiter admits the call, and returns nil, or its outcome if it was not admitted.
func (d *Dispatcher) enter(ctx context.Context, c *call) router.Outcome {
	d.admit.Submit(limiter.Arrived{
		Ref: limiter.Ref(c.ref), Account: c.req.Account, Pool: c.req.Pool,
		Priority: c.req.Priority, Deadline: c.req.Deadline, CountsTowardLimit: c.req.Hops == 0,
	})
	select {
	case a := <-c.admission:
		return refusalOutcome(a)
	case <-ctx.Done():
	}
	d.admit.Submit(limiter.Released{Ref: limiter.Ref(c.ref)})
	if errors.Is(ctx.Err(), context.Canceled) {
		return router.CallerGoneOutcome()
	}
	return tooLate
}

// route runs the attempts of the call that the router decides on.
func (d *Dispatcher) route(ctx context.Context, c *call) router.Outcome {
	ref := router.Ref(c.ref)
	arrived := router.Arrived{Ref: ref, Request: c.req, Fingerprint: router.Fingerprint(c.req)}
	if c.req.Kind == router.KindModel {
		arrived.Prefix = router.PromptBlocks(nil, c.req)
	}
	d.step.Submit(arrived)
	lapsed := false
	for a := range c.actions {
		switch a := a.(type) {
		case router.Dispatch:
			lapsed = c.isLapsed(d.cfg.Now())
			d.ended(c, a.Attempt, a.Target.ID, d.dispatch(ctx, c, a, lapsed))
		case router.Forward:
			lapsed = c.isLapsed(d.cfg.Now())
			d.ended(c, a.Attempt, string(a.Instance), d.forward(ctx, c, a, lapsed))
		case router.Wait:
			d.wait(ctx, ref, a.Until)
		case router.Finish:
			if lapsed {
				return claimLapsed
			}
			return a.Outcome
		}
	}
	panic("dispatcher: a request without an outcome")
}

// isLapsed reports whether the claim of the call allows no more sends. It compares the
// wall clock also, since the monotonic one may stop while the instance is suspended.
func (c *call) isLapsed(now time.Time) bool {
	return !c.sendBefore.IsZero() && !(now.Before(c.sendBefore) && now.Round(0).Before(c.sendBefore.Round(0)))
}

func (d *Dispatcher) ended(c *call, attempt int, target string, end router.Ending) {
	d.meters.attempted(end)
	if _, whole := end.(router.Completed); !whole {
		d.cfg.Logger.Warn().Str("request", string(c.req.ID)).Str("target", target).
			Int("attempt", attempt).Str("ending", endingName(end)).Msg("attempt without a whole answer")
	}
	d.step.Submit(router.Ended{
		Ref: router.Ref(c.ref), Attempt: attempt, Ending: end,
		Delivered: c.sink.answer.Delivered(), Started: c.sink.started, Unresumable: c.sink.fixed,
	})
}

// wait wakes the router at until, or tells it that the caller hung up.
func (d *Dispatcher) wait(ctx context.Context, ref router.Ref, until time.Time) {
	timer := time.NewTimer(until.Sub(d.cfg.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		d.step.Submit(router.WaitCanceled{Ref: ref})
		return
	}
	d.step.Submit(router.WaitElapsed{Ref: ref})
}
