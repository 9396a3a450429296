package storeclient_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amaranthmill/internal/scripter"
	"amaranthmill/storeclient"
)

// session runs each paragraph of a script with a new client and platform under the synthetic clock.
// The event "run" ends a paragraph.
type session struct {
	t      *testing.T
	events []timedEvent
}

type timedEvent struct {
	at time.Time
	ev scripter.Event
}

func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	if ev.Name != "run" {
		s.events = append(s.events, timedEvent{now, ev})
		return nil, nil
	}
	var out []string
	synctest.Test(s.t, func(*testing.T) { out = play(s.events) })
	s.events = nil
	return out, nil
}

func play(events []timedEvent) []string {
	p := &platform{entries: map[string]stored{}, previous: map[string]stored{}}
	c := storeclient.New(storeclient.Config{
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
		HTTP:    &http.Client{Transport: p}, Random: rand.NewPCG(1, 2), WritesPerSecond: 1, Burst: 12, Dialect: eraDialect{},
		OnRestore: func(era storeclient.Era) { p.calls = append(p.calls, fmt.Sprintf("(restored in era %d)", era)) },
	})
	start := time.Now()
	var out []string
	for _, e := range events {
		time.Sleep(e.at.Sub(events[0].at) - time.Since(start))
		if e.ev.Name == "faults" {
			p.faults = nil
			for _, f := range e.ev.List("next") {
				p.faults = append(p.faults, fault(f))
			}
			continue
		}
		if e.ev.Name == "restore" {
			p.restore(e.ev.Str("era"), uint64(e.ev.Int("revision")))
			continue
		}
		p.calls = nil
		began := time.Now()
		result := call(c, e.ev)
		elapsed := time.Since(began).Round(time.Second)
		out = append(out, fmt.Sprintf("%s %s: %s [%s] %s", e.ev.Name, e.ev.Str("key"), result, strings.Join(p.calls, " "), elapsed))
	}
	return out
}

func call(c *storeclient.Client, ev scripter.Event) string {
	ctx := context.Background()
	if ev.Has("within") {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, ev.Duration("within"))
		defer cancel()
	}
	var e storeclient.Entry
	var err error
	key, value, revision := ev.Str("key"), []byte(ev.Str("value")), uint64(ev.Int("revision"))
	switch ev.Name {
	case "get":
		e, err = c.Get(ctx, key)
	case "getAtLeast":
		e, err = c.GetAtLeast(ctx, key, storeclient.Era(ev.Int("era")), revision)
	case "create":
		e, err = c.Create(ctx, key, value, storeclient.LeaseID(ev.Str("lease")))
	case "swap":
		e, err = c.Swap(ctx, key, revision, value)
	case "delete":
		err = c.Delete(ctx, key, revision)
	case "watch":
		var changes storeclient.Changes
		changes, err = c.Watch(ctx, key, revision)
		e.Revision = changes.Revision
	case "list":
		var s storeclient.Snapshot
		s, err = c.Snapshot(ctx, "")
		e.Revision = s.Revision
	case "grant":
		var lease storeclient.LeaseID
		lease, err = c.Grant(ctx, time.Minute)
		e.Value = []byte(lease)
	case "revoke":
		err = c.Revoke(ctx, storeclient.LeaseID(ev.Str("lease")))
	case "renew":
		err = c.Renew(ctx, storeclient.LeaseID(ev.Str("lease")))
	default:
		return "no such event"
	}
	if err != nil {
		return outcome(err)
	}
	return fmt.Sprintf("ok value=%s revision=%d", e.Value, e.Revision)
}

func outcome(err error) string {
	var (
		notFound    *storeclient.NotFoundError
		conflict    *storeclient.ConflictError
		unavailable *storeclient.UnavailableError
		unknown     *storeclient.UnknownError
		circuit     *storeclient.CircuitError
	)
	switch {
	case errors.As(err, &unknown) && errors.As(err, &conflict):
		return fmt.Sprintf("unknown, replaced at revision %d", conflict.Revision)
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &circuit):
		return "unavailable, circuit open"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &conflict):
		return fmt.Sprintf("conflict at revision %d", conflict.Revision)
	case errors.As(err, &notFound):
		return "not found " + notFound.Key
	}
	return err.Error()
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(t *testing.T) scripter.Session { return &session{t: t} })
}
