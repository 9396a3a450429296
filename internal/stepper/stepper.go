package stepper

import (
	"sync"
	"time"
)

// Core is a deterministic state machine with events E and actions A. Step applies e at time
// now and returns the resulting actions.
type Core[E, A any] interface {
	Step(now time.Time, e E) []A
}

// Config configures a Stepper. Core and Handle are required; a nil Now means time.Now.
type Config[E, A any] struct {
	Core   Core[E, A]
	Handle func(A) // Handle carries out an action. It must not block and must not call Submit.
	Now    func() time.Time
}

// Stepper serialises the events of one core. It is safe for concurrent use.
type Stepper[E, A any] struct {
	mu  sync.Mutex
	cfg Config[E, A]
}

// New returns a Stepper for cfg.
func New[E, A any](cfg Config[E, A]) *Stepper[E, A] {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Stepper[E, A]{cfg: cfg}
}

// Submit applies e to the core and handles the resulting actions, in order, before it returns.
func (s *Stepper[E, A]) Submit(e E) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.cfg.Core.Step(s.cfg.Now(), e) {
		s.cfg.Handle(a)
	}
}

// Inspect calls read while no event is applied. read must not call Submit.
func (s *Stepper[E, A]) Inspect(read func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read()
}
