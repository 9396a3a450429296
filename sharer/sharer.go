package sharer

import (
	"context"
	"time"

	"amaranthmill/internal/stepper"
)

// tickEvery is the time between the ticks of the core.
const tickEvery = 250 * time.Millisecond

// Sharer runs a Core. It is safe for concurrent use.
type Sharer struct {
	step *stepper.Stepper[Event, Action]
}

// New returns a Sharer for cfg. Run must run for demand to be announced.
func New(cfg Config) *Sharer {
	handle := func(a Action) {
		switch a := a.(type) {
		case Announce:
			cfg.Announce(a)
		case SetRate:
			cfg.SetRate(a)
		}
	}
	core := NewCore(cfg.Instance, cfg.Settings)
	return &Sharer{step: stepper.New(stepper.Config[Event, Action]{Core: core, Handle: handle, Now: cfg.Now})}
}

// Submit tells the core what happened. Ticked is submitted by Run.
func (s *Sharer) Submit(e Event) { s.step.Submit(e) }

// Run lets time pass until ctx ends, and returns the error of ctx.
func (s *Sharer) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.step.Submit(Ticked{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
