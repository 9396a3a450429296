package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// defaultBodyLimit bounds a request's body, in bytes, while no configuration does.
const defaultBodyLimit = 4 << 20

// answerLimit bounds an answer that is held, in bytes.
const answerLimit = 16 << 20

// Config configures a Forwarder. Resolver, Requester and Dialect are required.
type Config struct {
	Resolver        *resolver.Resolver
	Requester       *requester.Requester
	Dialect         Dialect
	Scheduler       scheduler.Config
	OnStalled       func(t scheduler.Target)        // a target stands still; must not block
	OnLatencyReport func(p scheduler.LatencyReport) // how the requests of a pool fared in the last second; must not block
	Random          rand.Source                     // of the split of routes over services; nil is seeded by the runtime
	Logger          zerolog.Logger
	Meter           metric.Meter // nil records nothing
}

// Forwarder serves callers' requests. It is safe for concurrent use.
type Forwarder struct {
	cfg      Config
	core     *scheduler.Scheduler
	step     *stepper.Stepper[scheduler.Event, scheduler.Action]
	tick     *time.Timer
	meters   *meters
	lastRef  atomic.Uint64
	draining atomic.Bool

	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	exchanges map[scheduler.Ref]*exchange
}

// New returns a Forwarder for cfg.
func New(cfg Config) *Forwarder {
	if cfg.Random == nil {
		cfg.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	f := &Forwarder{cfg: cfg, core: scheduler.New(cfg.Scheduler), random: rand.New(cfg.Random), exchanges: map[scheduler.Ref]*exchange{}}
	f.step = stepper.New(stepper.Config[scheduler.Event, scheduler.Action]{Core: f.core, Handle: f.handle})
	f.meters = newMeters(cfg.Meter, cfg.Scheduler.FailureDomain)
	f.tick = time.AfterFunc(time.Hour, func() { f.step.Submit(scheduler.Ticked{}) })
	return f
}

// SetTargets replaces the targets.
func (f *Forwarder) SetTargets(t []scheduler.Target) { f.step.Submit(scheduler.TargetsSet{Targets: t}) }

// SetInstanceCount says how many instances share the retry budget, this one included.
func (f *Forwarder) SetInstanceCount(n int) { f.step.Submit(scheduler.InstanceCountSet{Count: n}) }

// SetRetryBudget changes the bound on repeats that all instances share: a share of the requests, and a stock.
func (f *Forwarder) SetRetryBudget(share, stock float64) {
	f.step.Submit(scheduler.RetryBudgetSet{Ratio: share, Slack: stock})
}

// Drain asks callers to open no further requests on their connections. Requests are still answered.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// Requests returns the number of requests that arrived so far.
func (f *Forwarder) Requests() uint64 { return f.lastRef.Load() }

// draw returns a number from 0 to 1.
func (f *Forwarder) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *Forwarder) add(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchanges[x.ref] = x
}

func (f *Forwarder) remove(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.exchanges, x.ref)
}

func (f *Forwarder) find(ref scheduler.Ref) *exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exchanges[ref]
}

// handle carries out one action of the scheduler. It must not block.
func (f *Forwarder) handle(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		f.deliver(a.Ref, a)
	case scheduler.Finish:
		f.deliver(a.Ref, a)
	case scheduler.Wait:
		if x := f.find(a.Ref); x != nil {
			x.waited.Store(true)
			f.logWait(x, a)
		}
	case scheduler.Abandon:
		if x := f.find(a.Ref); x != nil {
			f.logAbandon(x, a)
			x.abandon(a)
		}
	case scheduler.Stalled:
		f.logStalled(a)
		f.meters.stalled(a.Target)
		if f.cfg.OnStalled != nil {
			f.cfg.OnStalled(*a.Target)
		}
	case scheduler.Recovered:
		f.cfg.Logger.Info().Str("endpoint", string(a.Target.ID)).Str("group", string(a.Target.Group)).Msg("target moves again")
	case scheduler.LatencyReport:
		service, _ := SplitPool(a.Pool)
		f.meters.setBudget(service, a.RetriesLeft)
		if f.cfg.OnLatencyReport != nil {
			f.cfg.OnLatencyReport(a)
		}
	case scheduler.WakeAt:
		f.tick.Reset(time.Until(a.At))
	}
}

func (f *Forwarder) deliver(ref scheduler.Ref, a scheduler.Action) {
	if x := f.find(ref); x != nil {
		x.inbox <- a // holds at most one Send or Finish and a Finish after it
	}
}

// exchange is one caller's request from its arrival to its outcome.
type exchange struct {
	ref      scheduler.Ref
	arrived  time.Time
	match    resolver.Match
	said     RequestFields
	request  *http.Request
	body     []byte
	hasBody  bool
	service  identifier.Service
	pool     identifier.Pool
	deadline time.Time
	inbox    chan scheduler.Action
	waited   atomic.Bool // for a target, before its first attempt
	relay    relay

	mu        sync.Mutex // guards the fields below
	attempt   int
	cancel    context.CancelFunc
	abandoned scheduler.Reason // why the running attempt was given up; empty if it was not
}

// abandon gives up the running attempt. A request that must not be repeated goes on after
// its caller has left, because it may be half done.
func (x *exchange) abandon(a scheduler.Abandon) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.attempt != a.Attempt || x.cancel == nil {
		return
	}
	if a.Reason == scheduler.ReasonCallerGone && x.match.Route.Kind == resolver.KindNonIdempotent {
		return
	}
	x.abandoned = a.Reason
	x.cancel()
}

// begin notes that an attempt runs and returns its context.
func (x *exchange) begin(ctx context.Context, attempt int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt, x.cancel, x.abandoned = attempt, cancel, ""
	return ctx, cancel
}

// isAbandoned reports whether the running attempt was given up.
func (x *exchange) isAbandoned() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.abandoned != ""
}
