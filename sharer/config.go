package sharer

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Config configures a Sharer. Instance, Announce and SetRate are required. The functions
// must not block and must not call the Sharer.
type Config struct {
	Instance identifier.Instance
	Settings Settings
	Announce func(Announce)
	SetRate  func(SetRate)
	Now      func() time.Time // default time.Now
}

// Settings are what a Core decides by. Each zero value means the default named.
type Settings struct {
	// Divergence is the time of an account's whole limit by which the demand of all instances
	// together may differ from what they announced; default 1 s.
	Divergence time.Duration
	// Least is the fewest requests by which the demand at one instance may differ from what it
	// announced, so that small accounts are not announced at each chance cluster of requests; default 4.
	Least float64
	// EqualPart is the part of a limit that is divided equally, in (0, 1]; default 0.1.
	EqualPart float64
	// Smoothing is the time constant of the predicted demand; default 1 s.
	Smoothing time.Duration
	// Pause is the shortest time between two announcements; default 250 ms.
	Pause time.Duration
	// Refresh is the longest time between two announcements; default 1 min.
	Refresh time.Duration
}

// withDefaults returns s with its zero values replaced.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Divergence, time.Second)
	setDefault(&s.Least, 4)
	setDefault(&s.EqualPart, 0.1)
	setDefault(&s.Smoothing, time.Second)
	setDefault(&s.Pause, 250*time.Millisecond)
	setDefault(&s.Refresh, time.Minute)
	return s
}

// setDefault sets *v to def if it is zero.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
