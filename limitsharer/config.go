package limitsharer

import (
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Config configures a Core. Instance is required; every other zero value means the default named.
type Config struct {
	Instance identifier.Instance

	// MaxDivergence is the time of an account's whole limit by which the demand of all instances
	// together may differ from what they announced; default 1 s.
	MaxDivergence time.Duration
	// MinBound is the fewest requests by which the demand at one instance may differ from what it
	// announced, so that small accounts are not announced at each chance cluster of requests; default 4.
	MinBound float64
	// EqualShare is the part of a limit that is divided equally, in (0, 1]; default 0.1.
	EqualShare float64
	// Smoothing is the time constant of the predicted demand; default 1 s.
	Smoothing time.Duration
	// MinInterval is the shortest time between two announcements; default 250 ms.
	MinInterval time.Duration
	// RefreshInterval is the longest time between two announcements; default 1 min.
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
