package endpointlister_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
)

// session runs a script against a Lister and delivers a tick at each time that the Lister
// requests.
type session struct {
	core   *endpointlister.Lister
	wakeAt time.Time
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return &session{core: endpointlister.New(endpointlister.Config{})}
	})
}

// Handle applies the scripted event at now, after any tick that is due, and returns the
// resulting actions.
func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	var out []string
	if !s.wakeAt.IsZero() && !s.wakeAt.After(now) {
		at := s.wakeAt
		s.wakeAt = time.Time{}
		out = s.step(at, endpointlister.Ticked{})
	}
	id := identifier.Endpoint(ev.Str("endpoint"))
	switch ev.Name {
	case "written":
		e := endpointlister.Endpoint{ID: id, Draining: ev.Bool("draining"), Membership: endpointlister.Membership{Group: identifier.Group(ev.Str("group"))}}
		return append(out, s.step(now, endpointlister.EntryWritten{Endpoint: e})...), nil
	case "removed":
		return append(out, s.step(now, endpointlister.EntryRemoved{ID: id})...), nil
	case "lost":
		return append(out, s.step(now, endpointlister.StoreLost{})...), nil
	case "regained":
		return append(out, s.step(now, endpointlister.StoreRegained{})...), nil
	case "pass":
		return out, nil
	}
	return nil, fmt.Errorf("unknown event %q", ev.Name)
}

func (s *session) step(now time.Time, e endpointlister.Event) []string {
	var out []string
	for _, a := range s.core.Step(now, e) {
		switch a := a.(type) {
		case endpointlister.List:
			var ids []string
			for _, e := range a.Endpoints {
				id := string(e.ID)
				if e.Draining {
					id += "(draining)"
				}
				ids = append(ids, id)
			}
			out = append(out, fmt.Sprintf("%s: list %s", now.Sub(scripter.Start), strings.Join(ids, " ")))
		case endpointlister.EndpointDelisted:
			out = append(out, fmt.Sprintf("%s: leave %s", now.Sub(scripter.Start), a.ID))
		case endpointlister.WakeAt:
			s.wakeAt = a.At
		}
	}
	return out
}
