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

// Store is the part of the platform's key-value store that a Claimer uses. *storeclient.Client
// implements it.
type Store interface {
	Get(ctx context.Context, key string) (storeclient.Entry, error)
	Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	SwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	Delete(ctx context.Context, key string, revision uint64) error
	Grant(ctx context.Context, ttl time.Duration) (storeclient.LeaseID, error)
}

// Limits are the times and sizes that a Core applies. A zero value selects the default given.
type Limits struct {
	AcceptanceWindow time.Duration // age up to which a dated key is accepted; default 24 h
	RequireDated     bool          // reject keys that are not version 7 UUIDs; otherwise their claims never expire
	ClockSkew        time.Duration // largest difference between the clocks of two instances; default 10 s
	LeaseReuse       time.Duration // time for which one lease is attached to new claims; default 1 h
	MaxSendDelay     time.Duration // longest time from a claim to the last send of its call; default 10 s
	DefaultTimeout   time.Duration // time from claim to end of a call without a deadline; default 1 min
	SettleTime       time.Duration // from a call's deadline, or from its latest send if that is later, to its claim's closing time; default 10 s
	MaxRetryAfter    time.Duration // longest retry delay returned to a caller; default 2 s
	AbandonAfter     time.Duration // from a claim's closing time until its claimant stops trying to store the result; default 1 h
	MaxBodySize      int           // largest answer body that is stored, in bytes; default 64 KiB
	RetriesPerTick   int           // settlements retried at each tick; default 10
	MaxAttempts      int           // conflicts and missing claims after which a call is rejected or a settlement waits for a tick; default 4
}

// Config configures a Claimer. Store is required.
type Config struct {
	Store    Store
	Instance identifier.Instance // the claimant named in claims
	Limits   Limits
	Timeout  time.Duration    // of one action at the platform's store, including retries; default 5 s
	Random   rand.Source      // for tokens; default: seeded by the runtime
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
	defaulter.Set(&l.AcceptanceWindow, 24*time.Hour)
	defaulter.Set(&l.ClockSkew, 10*time.Second)
	defaulter.Set(&l.LeaseReuse, time.Hour)
	defaulter.Set(&l.MaxSendDelay, 10*time.Second)
	defaulter.Set(&l.DefaultTimeout, time.Minute)
	defaulter.Set(&l.SettleTime, 10*time.Second)
	defaulter.Set(&l.MaxRetryAfter, 2*time.Second)
	defaulter.Set(&l.AbandonAfter, time.Hour)
	defaulter.Set(&l.MaxBodySize, 64<<10)
	defaulter.Set(&l.RetriesPerTick, 10)
	defaulter.Set(&l.MaxAttempts, 4)
	return l
}
