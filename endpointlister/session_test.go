package endpointlister_test

import (
	"fmt"
	"maps"
	"slices"
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
	listed map[identifier.Endpoint]endpointlister.Endpoint
	wakeAt time.Time
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return &session{core: endpointlister.New(endpointlister.Config{}), listed: map[identifier.Endpoint]endpointlister.Endpoint{}}
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
		e := endpointlister.Endpoint{ID: id, ProcessStart: identifier.ProcessStart(ev.Int("start")), Draining: ev.Bool("draining"), Membership: endpointlister.Membership{Group: identifier.Group(ev.Str("group"))}}
		return append(out, s.step(now, endpointlister.EntryWritten{Endpoint: e, Sequence: uint64(ev.Int("sequence")), Revision: uint64(ev.Int("revision"))})...), nil
	case "removed":
		return append(out, s.step(now, endpointlister.EntryRemoved{ID: id})...), nil
	case "lost":
		return append(out, s.step(now, endpointlister.StoreLost{AnsweredAt: now.Add(-ev.Duration("unanswered"))})...), nil
	case "regained":
		return append(out, s.step(now, endpointlister.StoreRegained{})...), nil
	case "seen":
		return append(out, s.step(now, endpointlister.StoreSeen{Since: now.Add(-ev.Duration("for")), Until: now.Add(-ev.Duration("age"))})...), nil
	case "restored":
		return append(out, s.step(now, endpointlister.StoreRestored{Revision: uint64(ev.Int("revision"))})...), nil
	case "pass":
		return out, nil
	}
	return nil, fmt.Errorf("unknown event %q", ev.Name)
}

func (s *session) step(now time.Time, e endpointlister.Event) []string {
	var out []string
	changed := false
	for _, a := range s.core.Step(now, e) {
		switch a := a.(type) {
		case endpointlister.EndpointListed:
			s.listed[a.Endpoint.ID], changed = a.Endpoint, true
		case endpointlister.EndpointDelisted:
			changed = true
			delete(s.listed, a.ID)
			out = append(out, fmt.Sprintf("%s: leave %s, held by %s", now.Sub(scripter.Start), a.ID, a.HeldBy))
		case endpointlister.EndpointHeld:
			out = append(out, fmt.Sprintf("%s: hold %s %s", now.Sub(scripter.Start), a.ID, describeHold(a)))
		case endpointlister.WakeAt:
			s.wakeAt = a.At
		}
	}
	if changed {
		out = append(out, fmt.Sprintf("%s: list %s", now.Sub(scripter.Start), s.describeList()))
	}
	return out
}

func describeHold(a endpointlister.EndpointHeld) string {
	if a.Until.IsZero() {
		return a.HeldBy.String()
	}
	return fmt.Sprintf("%s until %s", a.HeldBy, a.Until.Sub(scripter.Start))
}

// describeList describes the listed endpoints in the order of their IDs.
func (s *session) describeList() string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(s.listed)) {
		text := string(id)
		if s.listed[id].Draining {
			text += "(draining)"
		}
		ids = append(ids, text)
	}
	return strings.Join(ids, " ")
}
