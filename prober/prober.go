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
	"amaranthmill/linker"
	"amaranthmill/router"
	"amaranthmill/storeclient"
)

// Config configures a Prober. Instance and FailureDomain are required. The zero value of each other
// field selects the default that its comment states. The functions must not block.
type Config struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain
	OnTargets     func([]router.Target)    // receives the complete set of targets of the failure domain
	OnReports     func([]grouper.Report)   // receives the state of all model endpoints of the failure domain
	OnDigest      func(linker.ProbeDigest) // receives digests for the peers of the failure domain
	HTTP          *http.Client             // for probes; a separate client without proxy
	Interval      time.Duration            // between two probes of an endpoint with up to 5 instances, 3 times as long from 11 on; 500 ms
	Timeout       time.Duration            // of a probe; 1 s
	FreshFor      time.Duration            // how long a status report stays fresh with up to 5 instances, 3 times as long from 11 on; 2 s
	ShareInterval time.Duration            // between two digests of unchanged endpoints; 750 ms
	TransitTime   time.Duration            // added to the age of a peer's report for its transmission; 100 ms
	TickInterval  time.Duration            // between two ticks of the core; 100 ms
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

// SetListings provides the platform's list of instances and endpoints.
func (p *Prober) SetListings(l []storeclient.Listing) { p.step.Submit(Listed{Listings: l}) }

// SetRecords provides all group records of the failure domain.
func (p *Prober) SetRecords(r []grouper.Record) { p.step.Submit(RecordsSet{Records: r}) }

// SetPeers provides the reachable instances of the failure domain, including this one.
func (p *Prober) SetPeers(peers []identifier.Instance) { p.step.Submit(PeersSet{Instances: peers}) }

// AddDigest provides the digest of a peer of the local failure domain.
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
		p.meters.countTargets(a.Targets)
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
	s, err := fetchStatus(ctx, p.cfg.HTTP, a.Endpoint, a.Address)
	p.meters.recordProbe(p.ctx, time.Since(sent), err)
	if err != nil {
		p.cfg.Logger.Debug().Err(err).Str("endpoint", string(a.Endpoint)).Msg("probe failed")
		p.step.Submit(ProbeFailed{Endpoint: a.Endpoint, SentAt: sent, Refused: isRefused(err)})
		return
	}
	p.step.Submit(Probed{Endpoint: a.Endpoint, Status: s, SentAt: sent})
}
