package prober

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/grouper"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
	"amaranthmill/keeper"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// Config configures a Prober. Instance and FailureDomain are required; the zero value of
// each other field takes the default named. The functions must not block.
type Config struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain
	OnTargets     func([]router.Target)    // gets the whole set of the failure domain's targets
	OnReports     func([]grouper.Report)   // gets the state of all model endpoints of the failure domain
	OnDigest      func(linker.ProbeDigest) // gets what peers of the failure domain should know
	HTTP          *http.Client             // for probes; a client of its own without proxy
	Interval      time.Duration            // between two probes of an endpoint among up to 5 instances, 3 times as long from 11 on; 500 ms
	Timeout       time.Duration            // of a probe; 1 s
	FreshFor      time.Duration            // how long an endpoint's own account counts among up to 5 instances, 3 times as long from 11 on; 2 s
	ShareInterval time.Duration            // between two digests of what did not change; 750 ms
	TransitTime   time.Duration            // added to the age of a peer's account for its way here; 100 ms
	TickInterval  time.Duration            // between two decisions; 100 ms
	Logger        zerolog.Logger           // the zero value logs nothing
	Meter         metric.Meter             // nil measures nothing
}

func (c Config) withDefaults() Config {
	defaulter.Set(&c.Interval, 500*time.Millisecond)
	defaulter.Set(&c.Timeout, time.Second)
	defaulter.Set(&c.FreshFor, 2*time.Second)
	defaulter.Set(&c.ShareInterval, 750*time.Millisecond)
	defaulter.Set(&c.TransitTime, 100*time.Millisecond)
	defaulter.Set(&c.TickInterval, 100*time.Millisecond)
	return c
}

// Prober probes the endpoints of one failure domain. It is safe for concurrent use.
type Prober struct {
	cfg    Config
	step   *stepper.Stepper[Event, Action]
	meters meters
	ctx    context.Context // of probes; set by Run before the first tick
	work   sync.WaitGroup
}

// New returns a Prober for cfg. It does nothing until Run.
func New(cfg Config) *Prober {
	cfg = cfg.withDefaults()
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}
	}
	p := &Prober{cfg: cfg, meters: newMeters(cfg.Meter)}
	p.step = stepper.New(stepper.Config[Event, Action]{Core: NewCore(cfg), Handle: p.handle})
	return p
}

// SetListings gives the platform's list of instances.
func (p *Prober) SetListings(l []keeper.Listing) { p.step.Submit(Listed{Listings: l}) }

// SetRecords gives all group records of the failure domain.
func (p *Prober) SetRecords(r []grouper.Record) { p.step.Submit(RecordsSet{Records: r}) }

// SetPeers gives the instances of the failure domain that are in reach, with this one.
func (p *Prober) SetPeers(peers []identifier.Instance) { p.step.Submit(PeersSet{Instances: peers}) }

// AddDigest gives what a peer of the own failure domain saw.
func (p *Prober) AddDigest(from identifier.Instance, d linker.ProbeDigest) {
	p.step.Submit(DigestReceived{From: from, Digest: d})
}

// Run probes until ctx ends. It returns nil.
func (p *Prober) Run(ctx context.Context) error {
	p.ctx = ctx
	t := time.NewTicker(p.cfg.TickInterval)
	defer t.Stop()
	for {
		p.step.Submit(Tick{})
		select {
		case <-ctx.Done():
			p.work.Wait()
			return nil
		case <-t.C:
		}
	}
}

func (p *Prober) handle(a Action) {
	switch a := a.(type) {
	case Probe:
		p.work.Go(func() { p.probe(a) })
	case Publish:
		p.meters.targets(a.Targets)
		if p.cfg.OnTargets != nil {
			p.cfg.OnTargets(a.Targets)
		}
	case Report:
		if p.cfg.OnReports != nil {
			p.cfg.OnReports(a.Reports)
		}
	case Share:
		if p.cfg.OnDigest != nil {
			p.cfg.OnDigest(a.Digest)
		}
	}
}

func (p *Prober) probe(a Probe) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.Timeout)
	defer cancel()
	sent := time.Now()
	s, err := fetch(ctx, p.cfg.HTTP, a.Endpoint, a.Address)
	p.meters.probe(p.ctx, time.Since(sent), err)
	if err != nil {
		p.cfg.Logger.Debug().Err(err).Str("endpoint", string(a.Endpoint)).Msg("probe failed")
		p.step.Submit(ProbeFailed{Endpoint: a.Endpoint, SentAt: sent, Refused: refused(err)})
		return
	}
	p.step.Submit(Probed{Endpoint: a.Endpoint, Status: s, SentAt: sent})
}
