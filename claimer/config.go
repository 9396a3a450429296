package claimer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// Store is what a Claimer needs of the platform's service. *storeclient.Client has it.
type Store interface {
	Get(ctx context.Context, key string) (storeclient.Entry, error)
	Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	SwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	Delete(ctx context.Context, key string, revision uint64) error
	Grant(ctx context.Context, ttl time.Duration) (storeclient.LeaseID, error)
}

// Limits are the times and sizes that a Core decides by. Each zero value means the default named.
type Limits struct {
	Window       time.Duration // time in which a dated key is accepted; default 24 h
	RequireDated bool          // refuse keys that are not version 7 UUIDs; otherwise their claims are kept for good
	ClockSkew    time.Duration // largest difference between two instances' clocks; default 10 s
	LeaseShared  time.Duration // time for which one lease is given to new claims; default 1 h
	SendFor      time.Duration // longest time from a claim to the last send of its call; default 10 s
	MaxOpen      time.Duration // of a call without a deadline, from its claim to its end; default 1 min
	SettleFor    time.Duration // from a call's deadline to its claim's closing time; default 10 s
	RetryAfter   time.Duration // longest wait asked of a caller; default 2 s
	ForgetAfter  time.Duration // from a claim's closing time until its claimant gives up settling it; default 1 h
	BodyLimit    int           // bytes of an answer's body that are kept; default 64 KiB
	Backlog      int           // settlements tried anew at each tick; default 10
	Attempts     int           // conflicts that one call or settlement goes through at once; default 4
}

// Config configures a Claimer. Store is required.
type Config struct {
	Store    Store
	Instance identifier.Instance // the claimant named in claims
	Limits   Limits
	Timeout  time.Duration    // of one action at the platform's service, with its repetitions; default 5 s
	Random   rand.Source      // of tokens; default: seeded by the runtime
	Now      func() time.Time // default time.Now
	Logger   zerolog.Logger   // the zero value logs nothing
	Meter    metric.Meter     // default: none
}

// withDefaults returns cfg with its zero values replaced.
func withDefaults(cfg Config) Config {
	defaulter.Set(&cfg.Timeout, 5*time.Second)
	if cfg.Random == nil {
		cfg.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Meter == nil {
		cfg.Meter = noop.NewMeterProvider().Meter("claimer")
	}
	return cfg
}

// withDefaults returns l with its zero values replaced.
func (l Limits) withDefaults() Limits {
	defaulter.Set(&l.Window, 24*time.Hour)
	defaulter.Set(&l.ClockSkew, 10*time.Second)
	defaulter.Set(&l.LeaseShared, time.Hour)
	defaulter.Set(&l.SendFor, 10*time.Second)
	defaulter.Set(&l.MaxOpen, time.Minute)
	defaulter.Set(&l.SettleFor, 10*time.Second)
	defaulter.Set(&l.RetryAfter, 2*time.Second)
	defaulter.Set(&l.ForgetAfter, time.Hour)
	defaulter.Set(&l.BodyLimit, 64<<10)
	defaulter.Set(&l.Backlog, 10)
	defaulter.Set(&l.Attempts, 4)
	return l
}
