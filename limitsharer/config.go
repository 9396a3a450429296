package limitsharer

import (
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Config configures a Core. Instance is required; any other zero value selects the default given.
type Config struct {
	Instance identifier.Instance

	// MaxDivergence bounds the difference between the demand of all instances together and the
	// demand that they announced. The bound is the number of requests that an account's limit
	// admits in this time; default 1 s.
	MaxDivergence time.Duration
	// MinBound is the smallest bound, in requests, on the difference between the demand at one
	// instance and its announcement. With a smaller bound, small accounts would be announced at
	// each random cluster of requests; default 4.
	MinBound float64
	// EqualShare is the fraction of a limit that is divided equally, in (0, 1]. Each instance's
	// part of it is added to its demand before the limit is divided; default 0.1.
	EqualShare float64
	// Smoothing is the time constant of the predicted demand; default 1 s.
	Smoothing time.Duration
	// MinInterval is the shortest time between two announcements; default 250 ms.
	MinInterval time.Duration
	// RefreshInterval is the time between announcements of all accounts, which are sent even if
	// no demand diverges; default 1 min.
	RefreshInterval time.Duration
}

// withDefaults returns cfg with its zero values replaced.
func withDefaults(cfg Config) Config {
	defaulter.Set(&cfg.MaxDivergence, time.Second)
	defaulter.Set(&cfg.MinBound, 4)
	defaulter.Set(&cfg.EqualShare, 0.1)
	defaulter.Set(&cfg.Smoothing, time.Second)
	defaulter.Set(&cfg.MinInterval, 250*time.Millisecond)
	defaulter.Set(&cfg.RefreshInterval, time.Minute)
	return cfg
}
