package storeclient

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Config configures a Client. Address is required; any other zero value selects the default given.
type Config struct {
	Address  netip.AddrPort      // of the platform's HTTP API
	Instance identifier.Instance // the writer; part of the names of its writes, as a hash

	HTTP    *http.Client // default: a new client with pooled connections
	Dialect Dialect      // wire format of the calls; default PlainDialect

	ReadsPerSecond  float64 // budget of reads, watches and queries of the list of instances; default 50
	WritesPerSecond float64 // budget of writes and lease calls; default 20
	Burst           int     // burst size of each of the two budgets; default 40

	CallTimeout time.Duration // of one attempt; default 2 s
	Attempts    int           // of one call; default 3
	BackoffBase time.Duration // mean wait before the second attempt, doubled for each later one; default 50 ms
	BackoffMax  time.Duration // longest wait between attempts; default 2 s

	CircuitFailures int           // consecutive failures that open the circuit; default 5
	TrialDelayBase  time.Duration // mean time from opening the circuit to the first trial call, doubled at each failed trial; default 1 s
	TrialDelayMax   time.Duration // longest mean time between trial calls; default 15 s

	WatchWait time.Duration // longest time for which the store holds one watch; default 30 s

	OnRestore func(Era) // the store was restored from an older copy, by the new era; must not block; may be nil

	Random rand.Source      // for jitter and write names; default: seeded by the runtime
	Now    func() time.Time // default time.Now
	Logger zerolog.Logger   // the zero value logs nothing
	Meter  metric.Meter     // default: none
}

// withDefaults returns cfg with its zero values replaced.
func withDefaults(cfg Config) Config {
	defaulter.Set(&cfg.ReadsPerSecond, 50)
	defaulter.Set(&cfg.WritesPerSecond, 20)
	defaulter.Set(&cfg.Burst, 40)
	defaulter.Set(&cfg.CallTimeout, 2*time.Second)
	defaulter.Set(&cfg.Attempts, 3)
	defaulter.Set(&cfg.BackoffBase, 50*time.Millisecond)
	defaulter.Set(&cfg.BackoffMax, 2*time.Second)
	defaulter.Set(&cfg.CircuitFailures, 5)
	defaulter.Set(&cfg.TrialDelayBase, time.Second)
	defaulter.Set(&cfg.TrialDelayMax, defaultTrialDelayMax)
	defaulter.Set(&cfg.WatchWait, defaultWatchWait)
	if cfg.Dialect == nil {
		cfg.Dialect = PlainDialect{}
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
	}
	if cfg.Random == nil {
		cfg.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Meter == nil {
		cfg.Meter = noop.NewMeterProvider().Meter("keeper")
	}
	return cfg
}
