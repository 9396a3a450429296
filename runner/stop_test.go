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

// stopSession is one stopper under a script: signals at their times, requests that take
// so long to end, and what the stopper did when.
type stopSession struct {
	s       *stopper
	signals chan os.Signal
	start   time.Time

	mu    sync.Mutex
	lines []string
}

func newStopSession(requests time.Duration) *stopSession {
	x := &stopSession{signals: make(chan os.Signal, 2), start: time.Now()}
	x.s = newStopper(x.signals)
	x.s.notice, x.s.limit, x.s.logger = 2*time.Second, time.Minute, zerolog.Nop()
	x.s.drain = func() { x.note("not ready") }
	x.s.finish = func(ctx context.Context) error {
		x.note("no new connections")
		select {
		case <-time.After(requests):
			x.note("requests ended")
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return x
}

func (x *stopSession) note(what string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lines = append(x.lines, time.Since(x.start).String()+" "+what)
}

// TestStop runs each script in a bubble of its own, so that no real time passes.
func TestStop(t *testing.T) {
	datadriven.RunTest(t, "testdata/stop", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) { out = playStop(t, d) })
		return out
	})
}

func playStop(t *testing.T, d *datadriven.TestData) string {
	var requests, second time.Duration
	scanDuration(t, d, "requests", &requests)
	scanDuration(t, d, "second", &second)
	x := newStopSession(requests)
	ended := make(chan error, 1)
	go func() { ended <- x.s.run() }()
	if d.HasArg("interrupt") {
		x.s.interrupt(nil)
	} else {
		x.signals <- syscall.SIGTERM
	}
	if second > 0 {
		time.AfterFunc(second, func() { x.signals <- syscall.SIGTERM })
	}
	err := <-ended
	x.note("ended: " + describe(err))
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
		return "whole"
	case errors.As(err, &se):
		return "cut off, " + se.Reason
	default:
		return err.Error()
	}
}
