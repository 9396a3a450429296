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
	cfg       Config
	meters    meters
	limiter   *stepper.Stepper[limiter.Event, limiter.Action]
	router    *stepper.Stepper[router.Event, router.Action]
	lastRef   atomic.Uint64
	wakeTimer *time.Timer

	mu    sync.Mutex
	calls map[uint64]*call
}

// call is the state of one request in progress. Each core has at most one action outstanding
// for a call, so that sending on admission and actions does not block.
type call struct {
	ref        uint64
	req        *router.Request
	sink       sink
	sendBefore time.Time // a claimed call may be sent only before this time; zero means no limit
	admission  chan limiter.Action
	actions    chan router.Action
}

// New returns a Dispatcher for cfg. It starts no goroutine.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	d := &Dispatcher{cfg: cfg, meters: newMeters(cfg.Meter), calls: map[uint64]*call{}}
	d.limiter = stepper.New(stepper.Config[limiter.Event, limiter.Action]{
		Core: limiter.New(cfg.Limiter), Handle: d.handleAdmission, Now: cfg.Now,
	})
	d.router = stepper.New(stepper.Config[router.Event, router.Action]{
		Core: router.New(cfg.Router), Handle: d.handleAction, Now: cfg.Now,
	})
	d.wakeTimer = time.AfterFunc(time.Hour, func() { d.limiter.Submit(limiter.Ticked{}) })
	return d
}

// SetTargets replaces the set of targets in the local failure domain.
func (d *Dispatcher) SetTargets(targets []router.Target) {
	d.router.Submit(router.TargetsSet{Targets: targets})
}

// SetInstanceCounts sets how many instances, this one included, serve the local failure domain
// and how many the system has. The instances of the local failure domain share its targets;
// all instances share the client accounts' limits.
func (d *Dispatcher) SetInstanceCounts(own, all int) {
	d.router.Submit(router.InstanceCountSet{Count: own})
	d.limiter.Submit(limiter.InstanceCountSet{Count: all})
}

// SetLimitShare sets the share of an account's limit that this instance may admit. Before
// the first call, and with a share of zero, each instance has an equal share.
func (d *Dispatcher) SetLimitShare(account identifier.ClientAccount, share float64) {
	d.limiter.Submit(limiter.ShareSet{Account: account, Share: share})
}

// SetRemote replaces the capacity that peer reported for its failure domain.
func (d *Dispatcher) SetRemote(peer linker.Peer, load linker.LoadSummary) {
	pools := make([]router.RemotePool, len(load.Services))
	for i, s := range load.Services {
		pools[i] = router.RemotePool{Pool: s.Pool, Free: s.Free, Capacity: s.Capacity}
	}
	d.router.Submit(router.RemoteSet{Instance: peer.Instance, Pools: pools})
}

// SetBundle applies the client accounts and their limits in b.
func (d *Dispatcher) SetBundle(b *bundler.Bundle) {
	accounts := make([]limiter.Account, len(b.Accounts))
	for i, a := range b.Accounts {
		accounts[i] = limiter.Account{Name: a.Name, RequestsPerSecond: a.RequestsPerSecond, Burst: a.Burst}
	}
	d.limiter.Submit(limiter.AccountsSet{Accounts: accounts})
}

// AddSuspicion adds a suspicion announced by a peer.
func (d *Dispatcher) AddSuspicion(s linker.Suspicion) {
	lost := make([]string, len(s.GroupsLost))
	for i, g := range s.GroupsLost {
		lost[i] = string(g)
	}
	d.router.Submit(router.SuspicionReceived{Suspicion: router.Suspicion{Fingerprint: s.Fingerprint, LostTargets: lost, TTL: s.TTL}})
}

// Serve carries out req and writes its answer to w. It returns once the outcome is known:
// Answered only if the complete answer was written to w, NotRun only if no endpoint ran
// the request. If Start was called on w, any outcome except Answered means that the answer
// is truncated and has no end mark. Cancellation of ctx means that the caller hung up.
func (d *Dispatcher) Serve(ctx context.Context, req router.Request, w router.Writer) router.Outcome {
	start := d.cfg.Now()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	c := d.addCall(&req, w)
	defer d.removeCall(c)
	outcome := d.serve(ctx, c)
	d.meters.recordOutcome(ctx, outcome, d.cfg.Now().Sub(start))
	return outcome
}

func (d *Dispatcher) addCall(req *router.Request, w router.Writer) *call {
	c := &call{
		ref: d.lastRef.Add(1), req: req, sink: sink{w: w},
		admission: make(chan limiter.Action, 1), actions: make(chan router.Action, 1),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[c.ref] = c
	return c
}

func (d *Dispatcher) removeCall(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.ref)
}

func (d *Dispatcher) findCall(ref uint64) *call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[ref]
}

// serve admits the call, carries it out and releases its slot.
func (d *Dispatcher) serve(ctx context.Context, c *call) (outcome router.Outcome) {
	if refused := d.awaitAdmission(ctx, c); refused != nil {
		return refused
	}
	defer func() {
		_, answered := outcome.(router.Answered)
		d.limiter.Submit(limiter.Released{Ref: limiter.Ref(c.ref), Completed: answered})
	}()
	if key := idempotencyKey(c.req); key != "" && d.cfg.Claimer != nil {
		return d.serveClaimed(ctx, c, key)
	}
	return d.runAttempts(ctx, c)
}

// awaitAdmission waits until the limiter admits the call and then returns nil. If the call is not admitted, it returns the outcome.
func (d *Dispatcher) awaitAdmission(ctx context.Context, c *call) router.Outcome {
	d.limiter.Submit(limiter.Arrived{
		Ref: limiter.Ref(c.ref), Account: c.req.Account, Pool: c.req.Pool,
		Priority: c.req.Priority, Deadline: c.req.Deadline, CountsTowardLimit: c.req.Hops == 0,
	})
	select {
	case a := <-c.admission:
		return refusalOutcome(a)
	case <-ctx.Done():
	}
	d.limiter.Submit(limiter.Released{Ref: limiter.Ref(c.ref)})
	if errors.Is(ctx.Err(), context.Canceled) {
		return router.CallerGoneOutcome()
	}
	return deadlineExceeded
}

// runAttempts submits the call to the router, carries out the router's actions for it and returns the outcome.
func (d *Dispatcher) runAttempts(ctx context.Context, c *call) router.Outcome {
	ref := router.Ref(c.ref)
	arrived := router.Arrived{Ref: ref, Request: c.req, Fingerprint: router.Fingerprint(c.req)}
	if c.req.Kind == router.KindModel {
		arrived.Prefix = router.PromptBlocks(nil, c.req)
	}
	d.router.Submit(arrived)
	expired := false
	for a := range c.actions {
		switch a := a.(type) {
		case router.Dispatch:
			expired = c.isClaimExpired(d.cfg.Now())
			d.reportEnding(c, a.Attempt, a.Target.ID, d.dispatch(ctx, c, a, expired))
		case router.Forward:
			expired = c.isClaimExpired(d.cfg.Now())
			d.reportEnding(c, a.Attempt, string(a.Instance), d.forward(ctx, c, a, expired))
		case router.Wait:
			d.wait(ctx, ref, a.Until)
		case router.Finish:
			if expired {
				return claimExpired
			}
			return a.Outcome
		}
	}
	panic("dispatcher: request ended without an outcome")
}

// isClaimExpired reports whether the claim of the call permits no more sends. It also compares
// wall clock times, because the monotonic clock may stop while the instance is suspended.
func (c *call) isClaimExpired(now time.Time) bool {
	return !c.sendBefore.IsZero() && !(now.Before(c.sendBefore) && now.Round(0).Before(c.sendBefore.Round(0)))
}

// reportEnding records the ending of an attempt and reports it to the router.
func (d *Dispatcher) reportEnding(c *call, attempt int, target string, end router.Ending) {
	d.meters.recordEnding(end)
	if _, completed := end.(router.Completed); !completed {
		d.cfg.Logger.Warn().Str("request", string(c.req.ID)).Str("target", target).
			Int("attempt", attempt).Str("ending", endingName(end)).Msg("attempt without a complete answer")
	}
	d.router.Submit(router.Ended{
		Ref: router.Ref(c.ref), Attempt: attempt, Ending: end,
		Delivered: c.sink.answer.Delivered(), Started: c.sink.started, Unresumable: c.sink.unresumable,
	})
}

// wait waits until the given time or the end of ctx, and then reports WaitElapsed to the
// router, or WaitCanceled if the caller hung up.
func (d *Dispatcher) wait(ctx context.Context, ref router.Ref, until time.Time) {
	timer := time.NewTimer(until.Sub(d.cfg.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		d.router.Submit(router.WaitCanceled{Ref: ref})
		return
	}
	d.router.Submit(router.WaitElapsed{Ref: ref})
}
