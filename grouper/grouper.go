package grouper

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/bundler"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/ranker"
	"amaranthmill/internal/stepper"
	"amaranthmill/leaser"
	"amaranthmill/storeclient"
)

// candidatesPerDomain is how many instances of a failure domain compete for the repair lease
// of a fabric domain.
const candidatesPerDomain = 2

// Platform is the part of the platform's API that a Grouper uses. *storeclient.Client implements
// it.
type Platform interface {
	leaser.Platform
	List(ctx context.Context, prefix string) ([]storeclient.Entry, error)
	Watch(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error)
	Swap(ctx context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error)
}

// Config configures a Grouper. Platform, Instance and Policy.FailureDomain are required; every
// other field has the default named if it is zero.
type Config struct {
	Platform     Platform
	Instance     identifier.Instance
	Policy       Policy
	OnRecords    func([]Record) // receives all records of the failure domain after a change; must not block
	OnNote       func(Note)     // receives the decisions; must not block
	HTTP         *http.Client   // sends orders; by default a new client without a proxy
	TickInterval time.Duration  // time between two decisions; 250 ms
	Logger       zerolog.Logger // the zero value logs nothing
	Meter        metric.Meter   // nil disables metrics
}

// Grouper manages the replica groups of one failure domain. It is safe for concurrent use.
type Grouper struct {
	cfg    Config
	step   *stepper.Stepper[Event, Action]
	meters meters
	ctx    context.Context // context of saves and orders; set by Run before the first tick
	work   sync.WaitGroup

	publishMu sync.Mutex // held so that all receivers get the records in the same order

	mu            sync.Mutex
	peers         []identifier.Instance
	fabricDomains map[identifier.FabricDomain]bool
	leases        map[identifier.FabricDomain]context.CancelFunc
	holds         map[identifier.FabricDomain]leaseHold
	records       map[string]StoredRecord // by platform key
}

// leaseHold says until when a lease may be acted on, and whether the records were read since
// the lease was acquired.
type leaseHold struct {
	until       time.Time
	recordsRead bool
}

// New returns a Grouper for cfg. It does nothing until Run is called.
func New(cfg Config) *Grouper {
	cfg.Policy = cfg.Policy.withDefaults()
	defaulter.Set(&cfg.TickInterval, 250*time.Millisecond)
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	}
	if cfg.OnRecords == nil {
		cfg.OnRecords = func([]Record) {}
	}
	if cfg.OnNote == nil {
		cfg.OnNote = func(Note) {}
	}
	g := &Grouper{
		cfg:           cfg,
		meters:        newMeters(cfg.Meter),
		peers:         []identifier.Instance{cfg.Instance},
		fabricDomains: map[identifier.FabricDomain]bool{},
		leases:        map[identifier.FabricDomain]context.CancelFunc{},
		holds:         map[identifier.FabricDomain]leaseHold{},
		records:       map[string]StoredRecord{},
	}
	g.step = stepper.New(stepper.Config[Event, Action]{Core: NewCore(cfg.Policy), Handle: g.handle})
	return g
}

// SetBundle sets the bundle in force.
func (g *Grouper) SetBundle(b *bundler.Bundle) { g.step.Submit(BundleSet{Bundle: b}) }

// SetReports sets the reports of all model endpoints of the failure domain.
func (g *Grouper) SetReports(reports []Report) {
	g.step.Submit(ReportsReceived{Reports: reports})
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, rep := range reports {
		g.fabricDomains[rep.FabricDomain] = true
	}
}

// SetPeers sets the reachable instances of the local failure domain, including this instance.
// For each fabric domain all instances select the same candidatesPerDomain of them to compete
// for the lease.
func (g *Grouper) SetPeers(peers []identifier.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = peers
}

// Run manages the groups until ctx ends, then releases the leases. It returns nil.
func (g *Grouper) Run(ctx context.Context) error {
	effects, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.ctx = effects
	g.work.Go(func() { g.watch(ctx) })
	g.tickLoop(ctx)
	abortTimer := time.AfterFunc(g.cfg.Policy.OrderTTL, cancel) // pending saves and orders may finish, but must not delay the shutdown further
	defer abortTimer.Stop()
	g.work.Wait()
	return nil
}

func (g *Grouper) tickLoop(ctx context.Context) {
	t := time.NewTicker(g.cfg.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.campaign(ctx)
			g.step.Submit(Tick{})
		}
	}
}

// campaign runs a leaser for each fabric domain for which this instance is a candidate.
func (g *Grouper) campaign(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for fd := range g.fabricDomains {
		g.step.Submit(PreferenceChanged{FabricDomain: fd, Preferred: ranker.IsTopRanked(fd, g.peers, g.cfg.Instance, 1)})
		chosen := ranker.IsTopRanked(fd, g.peers, g.cfg.Instance, candidatesPerDomain)
		stop, running := g.leases[fd]
		switch {
		case chosen && !running:
			g.leases[fd] = g.startLeaser(ctx, fd)
		case !chosen && running:
			stop()
			delete(g.leases, fd)
		}
	}
}

// startLeaser starts a leaser for fd and returns a function that stops it.
func (g *Grouper) startLeaser(ctx context.Context, fd identifier.FabricDomain) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	l := leaser.New(leaser.Config{
		Platform: g.cfg.Platform,
		Key:      "leases/repair/" + string(fd),
		Token:    string(g.cfg.Instance),
		TTL:      g.cfg.Policy.LeaseTTL,
		OnHold:   func(h leaser.Hold) { g.setHold(fd, h.Until) },
	})
	g.work.Go(func() { _ = l.Run(ctx) })
	return stop
}

// setHold passes to the core until when the lease of fd may be acted on. A new holder reads
// the records first, so that it does not act on outdated ones.
func (g *Grouper) setHold(fd identifier.FabricDomain, until time.Time) {
	g.mu.Lock()
	h := g.holds[fd]
	h.until = until
	h.recordsRead = h.recordsRead && !until.IsZero()
	g.holds[fd] = h
	g.mu.Unlock()
	if until.IsZero() || h.recordsRead {
		g.step.Submit(LeaseChanged{FabricDomain: fd, Until: until})
		return
	}
	g.work.Go(func() { g.activateHold(fd, until) })
}

// activateHold reads the records and then passes the hold to the core, unless the hold has
// changed meanwhile.
func (g *Grouper) activateHold(fd identifier.FabricDomain, until time.Time) {
	if _, err := g.readRecords(g.ctx); err != nil {
		g.cfg.Logger.Warn().Err(err).Str("fabricDomain", string(fd)).Msg("group records not read; the repair lease stays unused")
		return
	}
	g.mu.Lock()
	current := g.holds[fd].until.Equal(until)
	if current {
		g.holds[fd] = leaseHold{until: until, recordsRead: true}
	}
	g.mu.Unlock()
	if current {
		g.step.Submit(LeaseChanged{FabricDomain: fd, Until: until})
	}
}

func (g *Grouper) handle(a Action) {
	switch a := a.(type) {
	case Save:
		g.work.Go(func() { g.save(a) })
	case Send:
		g.work.Go(func() { g.send(a.Order) })
	case Note:
		g.meters.countDecision(g.ctx, a)
		g.cfg.Logger.Info().Str("fabricDomain", string(a.FabricDomain)).Str("group", string(a.Group)).
			Str("endpoint", string(a.Endpoint)).Str("decision", string(a.Decision)).Msg("replica group changed")
		g.cfg.OnNote(a)
	}
}

// send sends an order to an endpoint, unless the deadline of the order has passed.
func (g *Grouper) send(o Order) {
	ctx, cancel := context.WithDeadline(g.ctx, o.Deadline)
	defer cancel()
	if ctx.Err() != nil {
		return
	}
	start, err := postOrder(ctx, g.cfg.HTTP, o)
	g.meters.countOrder(g.ctx, o, err)
	if err != nil {
		g.cfg.Logger.Warn().Err(err).Str("endpoint", string(o.Endpoint)).Str("kind", string(o.Kind)).Msg("order to the endpoint failed")
	}
	g.step.Submit(OrderDone{Order: o, Accepted: err == nil, ProcessStart: start})
}
