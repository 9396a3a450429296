package runner

import (
	"context"
	"errors"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// stopSession drives a stopper from a script and records what the stopper did and when. The
// script sets the times of the signals and how long the requests in flight take.
type stopSession struct {
	s       *stopper
	signals chan os.Signal
	start   time.Time

	mu    sync.Mutex
	lines []string
}

func newStopSession(requestTime time.Duration) *stopSession {
	x := &stopSession{signals: make(chan os.Signal, 2), start: time.Now()}
	x.s = newStopper(x.signals)
	x.s.notice, x.s.limit, x.s.logger = 2*time.Second, time.Minute, zerolog.Nop()
	x.s.drain = func() { x.record("not ready") }
	x.s.finish = func(ctx context.Context) error {
		x.record("no new connections")
		select {
		case <-time.After(requestTime):
			x.record("requests ended")
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return x
}

func (x *stopSession) record(event string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lines = append(x.lines, time.Since(x.start).String()+" "+event)
}

// TestStop runs each script in its own synctest bubble, so that no real time passes.
func TestStop(t *testing.T) {
	datadriven.RunTest(t, "testdata/stop", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) { out = playStop(t, d) })
		return out
	})
}

func playStop(t *testing.T, d *datadriven.TestData) string {
	var requestTime, secondSignal time.Duration
	scanDuration(t, d, "requests", &requestTime)
	scanDuration(t, d, "second", &secondSignal)
	x := newStopSession(requestTime)
	ended := make(chan error, 1)
	go func() { ended <- x.s.run() }()
	if d.HasArg("interrupt") {
		x.s.interrupt(nil)
	} else {
		x.signals <- syscall.SIGTERM
	}
	if secondSignal > 0 {
		time.AfterFunc(secondSignal, func() { x.signals <- syscall.SIGTERM })
	}
	err := <-ended
	x.record("ended: " + describe(err))
	<-x.s.stopped
	x.s.interrupt(nil)
	out := ""
	for _, line := range x.lines {
		out += line + "\n"
	}
	return out
}

func scanDuration(t *testing.T, d *datadriven.TestData, key string, v *time.Duration) {
	t.Helper()
	var text string
	if !d.MaybeScanArgs(t, key, &text) {
		return
	}
	parsed, err := time.ParseDuration(text)
	is.New(t).NoErr(err)
	*v = parsed
}

func describe(err error) string {
	var se *StopError
	switch {
	case err == nil:
		return "graceful"
	case errors.As(err, &se):
		return "aborted, " + se.Reason
	default:
		return err.Error()
	}
}
