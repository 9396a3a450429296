package runner

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// StopError says that the instance did not stop gracefully.
type StopError struct {
	Reason string
}

// Error says why requests may have been cut off.
func (e *StopError) Error() string {
	return fmt.Sprintf("runner: stopped before all requests ended: %s", e.Reason)
}

// stopper is the actor that waits for a signal and then stops the instance in stages.
type stopper struct {
	notice  time.Duration // between not ready and no new connections
	limit   time.Duration // of the whole stop
	drain   func()        // makes the instance not ready
	finish  func(context.Context) error
	logger  zerolog.Logger
	signals <-chan os.Signal
	done    chan struct{} // closed when another actor has failed
	stopped chan struct{} // closed when the stop has ended
}

// newStopper returns a stopper that takes its signals from a channel.
func newStopper(signals <-chan os.Signal) *stopper {
	return &stopper{signals: signals, done: make(chan struct{}), stopped: make(chan struct{})}
}

// run waits for a signal and stops the instance. It returns nil after a graceful stop.
func (s *stopper) run() error {
	defer close(s.stopped)
	select {
	case <-s.done:
		return nil
	case got := <-s.signals:
		s.logger.Info().Stringer("signal", got).Msg("stop begins")
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.limit)
	defer cancel()
	s.drain()
	finished := make(chan error, 1)
	go func() { finished <- s.stages(ctx) }()
	select {
	case err := <-finished:
		return s.ended(err)
	case got := <-s.signals:
		return &StopError{Reason: "second signal: " + got.String()}
	}
}

// stages passes the notice and then ends what is in flight.
func (s *stopper) stages(ctx context.Context) error {
	t := time.NewTimer(s.notice)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.finish(ctx)
}

func (s *stopper) ended(err error) error {
	if err != nil {
		return &StopError{Reason: err.Error()}
	}
	s.logger.Info().Msg("stop ended, nothing cut off")
	return nil
}

// interrupt ends the actor when another one has failed.
func (s *stopper) interrupt(error) {
	select {
	case <-s.done:
	default:
		close(s.done)
	}
}
