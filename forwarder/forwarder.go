package forwarder

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/evictor"
	"amaranthmill/internal/bodyreader"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
	"amaranthmill/quarantiner"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// defaultBodyLimit is the maximum size of a request's body in bytes if the configuration sets none.
const defaultBodyLimit = 4 << 20

// Config configures a Forwarder. Resolver, Requester and Dialect are required.
type Config struct {
	Resolver        *resolver.Resolver
	Requester       *requester.Requester
	Dialect         Dialect
	Scheduler       scheduler.Config
	Memory          *evictor.Memory                  // for the bodies of requests; nil means one of the default size
	HeldBytes       int64                            // bytes that the held answers of all requests may use beyond the first 64 KiB of each; zero means 64 MiB
	OnStalled       func(t scheduler.Target)         // called when a target stalls; must not block
	OnLimits        func(news []scheduler.LimitNews) // what this instance knows about the limits of endpoints, named and cold, once a second while there is something; must not block
	OnLimitQuery    func()                           // other instances are to be asked what they know about the limits of endpoints; must not block
	OnLeaving       func(p identifier.Process)       // called once when a process says that it leaves; must not block
	OnLatencyReport func(p scheduler.LatencyReport)  // called about once a second for each pool with requests; must not block
	OnDemand        func(r scheduler.DemandReport)   // the work that arrived at this instance, about every two seconds while there is some or RequestDemand is called; must not block; nil means that nobody needs it
	OnAttempt       func(e quarantiner.Event)        // called for each attempt and for each request that a restriction refuses, before the scheduler learns of it; must not block
	OnReach         func(isCutOff bool)              // called with true once it is confirmed that this instance has lost its links to most endpoints, and with false when it has them again; must not block

	PeerAddress func(identifier.Instance) (netip.AddrPort, bool)   // where a peer serves PeerHandler, or false if it is not known; nil means no peers
	Probe       func(ctx context.Context, t scheduler.Target) bool // reports whether anything comes from the endpoint of a target over a new connection; nil means that nothing does

	Random rand.Source // source for the split of routes over services; nil means a randomly seeded source
	Logger zerolog.Logger
	Meter  metric.Meter // nil disables metrics
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
	held     heldBudget

	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	exchanges map[scheduler.Ref]*exchange
	stop      Stop
	bodies    map[*bodyreader.Body]bool
	limited   map[identifier.Process]bool // processes that name a limit
	cold      map[identifier.Process]bool // processes that are cold
}

// New returns a Forwarder for cfg.
func New(cfg Config) *Forwarder {
	if cfg.Random == nil {
		cfg.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if cfg.PeerAddress == nil {
		cfg.PeerAddress = func(identifier.Instance) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
	}
	if cfg.Probe == nil {
		cfg.Probe = func(context.Context, scheduler.Target) bool { return false }
	}
	if cfg.OnAttempt == nil {
		cfg.OnAttempt = func(quarantiner.Event) {}
	}
	if cfg.Memory == nil {
		cfg.Memory = evictor.NewMemory(evictor.MemoryConfig{Logger: cfg.Logger, Meter: cfg.Meter})
	}
	defaulter.Set(&cfg.HeldBytes, defaultHeldBytes)
	f := &Forwarder{cfg: cfg, core: scheduler.New(cfg.Scheduler), random: rand.New(cfg.Random), exchanges: map[scheduler.Ref]*exchange{}, bodies: map[*bodyreader.Body]bool{}, limited: map[identifier.Process]bool{}, cold: map[identifier.Process]bool{}}
	f.held.left.Store(cfg.HeldBytes)
	f.step = stepper.New(stepper.Config[scheduler.Event, scheduler.Action]{Core: f.core, Handle: f.handle})
	f.meters = newMeters(cfg.Meter, cfg.Scheduler.FailureDomain)
	f.observeCapacity(cfg.Meter)
	f.tick = time.AfterFunc(time.Hour, func() { f.step.Submit(scheduler.Ticked{}) })
	return f
}

// ChangeTargets changes the set of targets.
func (f *Forwarder) ChangeTargets(c scheduler.TargetsChanged) { f.step.Submit(c) }

// SetInstances replaces the instances that share the retry budget and the limits of endpoints.
func (f *Forwarder) SetInstances(instances []scheduler.Instance) {
	f.step.Submit(scheduler.InstancesSet{Instances: instances})
}

// ReportLimits passes on what another instance knows about the limits of endpoints.
func (f *Forwarder) ReportLimits(news []scheduler.LimitNews) {
	f.step.Submit(scheduler.LimitsReported{News: news})
}

// RequestDemand asks for a report of the work that arrived, also if nothing has arrived, if the interval since the last report is over.
func (f *Forwarder) RequestDemand() { f.step.Submit(scheduler.DemandDue{}) }

// ReportProcessEnded reports that a process of an endpoint has ended.
func (f *Forwarder) ReportProcessEnded(p identifier.Process) {
	f.step.Submit(scheduler.ProcessEnded{Process: p})
}

// SetRetryBudget changes the retry budget that all instances share: ratio is the number of
// retries that each request allows, and slack the number that may accumulate.
func (f *Forwarder) SetRetryBudget(ratio, slack float64) {
	f.step.Submit(scheduler.RetryBudgetSet{Ratio: ratio, Slack: slack})
}

// SetRestriction replaces the restriction of the requests with a fingerprint.
func (f *Forwarder) SetRestriction(r scheduler.RestrictionSet) { f.step.Submit(r) }

// Requests returns the number of requests accepted for scheduling so far.
func (f *Forwarder) Requests() uint64 { return f.lastRef.Load() }

// drawFraction returns a random number in [0, 1).
func (f *Forwarder) drawFraction() float64 {
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

// handle executes one action of the scheduler. It must not block.
func (f *Forwarder) handle(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		f.startAttempt(a)
	case scheduler.Finish:
		f.deliver(a.Ref, a)
	case scheduler.Wait:
		if x := f.find(a.Ref); x != nil {
			x.hasWaited.Store(true)
			f.logWait(x, a)
		}
	case scheduler.Abandon:
		if x := f.find(a.Ref); x != nil {
			f.logAbandon(x, a)
			x.abandon(a)
		}
	case scheduler.Stalled:
		f.handleStalled(a)
	case scheduler.Recovered:
		f.cfg.Logger.Info().Str("endpoint", string(a.Target.ID)).Str("group", string(a.Target.Group)).Msg("target moves again")
	case scheduler.ReachChanged:
		f.logReach(a)
		f.meters.setCutOff(a.CutOff)
		if f.cfg.OnReach != nil && a.CutOff == a.Confirmed {
			f.cfg.OnReach(a.CutOff)
		}
	case scheduler.Probe:
		go f.probe(a.Target)
	case scheduler.LeavingStated:
		f.handleLeaving(a.Process)
	case scheduler.LimitChanged:
		f.changeLimit(a)
	case scheduler.ColdChanged:
		f.changeCold(a)
	case scheduler.ColdSkipped:
		f.meters.countColdSkip(a)
	case scheduler.LimitQuery:
		if f.cfg.OnLimitQuery != nil {
			f.cfg.OnLimitQuery()
		}
	case scheduler.LimitReport:
		if f.cfg.OnLimits != nil {
			f.cfg.OnLimits(a.News)
		}
	case scheduler.DemandReport:
		if f.cfg.OnDemand != nil {
			f.cfg.OnDemand(a)
		}
	case scheduler.CapacityChanged:
		f.logCapacity(a)
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

func (f *Forwarder) handleStalled(a scheduler.Stalled) {
	f.logStalled(a)
	f.meters.countStall(a.Target)
	if f.cfg.OnStalled != nil {
		f.cfg.OnStalled(*a.Target)
	}
}

func (f *Forwarder) handleLeaving(p identifier.Process) {
	f.cfg.Logger.Info().Str("endpoint", string(p.Endpoint)).Int64("processStart", int64(p.Start)).Msg("endpoint says that it leaves; it gets no more requests")
	f.meters.countLeaving()
	if f.cfg.OnLeaving != nil {
		f.cfg.OnLeaving(p)
	}
}

// probeTimeout bounds one probe of a target; endpoints answer within milliseconds.
const probeTimeout = 300 * time.Millisecond

// probe probes a target and reports the result.
func (f *Forwarder) probe(t *scheduler.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	f.step.Submit(scheduler.Probed{Target: t, Answered: f.cfg.Probe(ctx, *t)})
}

// Reach returns which endpoints and peers this instance reaches.
func (f *Forwarder) Reach() scheduler.ReachStatus {
	var out scheduler.ReachStatus
	f.step.Inspect(func() { out = f.core.Reach() })
	return out
}

// changeLimit records and logs the limit of a process, or that it names none any more.
func (f *Forwarder) changeLimit(a scheduler.LimitChanged) {
	f.mu.Lock()
	if a.PerSecond > 0 {
		f.limited[a.Process] = true
	} else {
		delete(f.limited, a.Process)
	}
	count := len(f.limited)
	f.mu.Unlock()
	f.meters.setLimited(count)
	f.logLimit(a)
}

// startAttempt starts an attempt: one that hedges another in a goroutine of its own, any other
// in the goroutine that serves the request.
func (f *Forwarder) startAttempt(a scheduler.Send) {
	x := f.find(a.Ref)
	if x == nil {
		return
	}
	t := x.begin(a)
	if a.Hedges == "" {
		f.deliver(a.Ref, a)
		return
	}
	x.hedges.Go(func() { f.runAttempt(x, t) })
}

func (f *Forwarder) deliver(ref scheduler.Ref, a scheduler.Action) {
	if x := f.find(ref); x != nil {
		x.inbox <- a // the capacity suffices: at most one Send or Finish is pending, and a Finish may follow it
	}
}
