package runner

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// StopError reports that the instance did not stop gracefully: requests in flight may have
// been aborted.
type StopError struct {
	Reason string
}

// Error returns the reason why requests may have been aborted.
func (e *StopError) Error() string {
	return fmt.Sprintf("runner: stopped before all requests ended: %s", e.Reason)
}

// stopper is the actor that waits for a signal and then stops the instance in stages.
type stopper struct {
	notice      time.Duration               // from the report that the instance is not ready until finish is called
	limit       time.Duration               // maximum duration of the stop
	drain       func()                      // makes the instance not ready
	finish      func(context.Context) error // accepts no more connections and waits until the requests in flight have ended
	logger      zerolog.Logger
	signals     <-chan os.Signal
	interrupted chan struct{} // closed when another actor has ended
	stopped     chan struct{} // closed when the stop has ended
}

// newStopper returns a stopper that receives its signals from a channel. The other fields must
// be set before run.
func newStopper(signals <-chan os.Signal) *stopper {
	return &stopper{signals: signals, interrupted: make(chan struct{}), stopped: make(chan struct{})}
}

// run waits for a signal and stops the instance. It returns nil after a graceful stop.
func (s *stopper) run() error {
	defer close(s.stopped)
	select {
	case <-s.interrupted:
		return nil
	case got := <-s.signals:
		s.logger.Info().Stringer("signal", got).Msg("stop begins")
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.limit)
	defer cancel()
	s.drain()
	finished := make(chan error, 1)
	go func() { finished <- s.runStages(ctx) }()
	select {
	case err := <-finished:
		return s.reportEnd(err)
	case got := <-s.signals:
		return &StopError{Reason: "second signal: " + got.String()}
	}
}

// runStages waits for the notice period and then calls finish, which completes the requests in
// flight.
func (s *stopper) runStages(ctx context.Context) error {
	t := time.NewTimer(s.notice)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.finish(ctx)
}

func (s *stopper) reportEnd(err error) error {
	if err != nil {
		return &StopError{Reason: err.Error()}
	}
	s.logger.Info().Msg("stop ended, no request was aborted")
	return nil
}

// interrupt ends the wait for a signal when another actor has ended.
func (s *stopper) interrupt(error) {
	select {
	case <-s.interrupted:
	default:
		close(s.interrupted)
	}
}
