package evacuator_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/evacuator"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
)

// session runs a script against an Evacuator.
type session struct{ core *evacuator.Evacuator }

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session { return session{core: evacuator.New()} })
}

// Handle applies ev at now and returns the actions, or the evacuations if ev is "list".
func (s session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	domain := identifier.FailureDomain(ev.Str("domain"))
	var out []string
	switch ev.Name {
	case "written":
		for _, a := range s.core.Step(now, evacuator.EntryWritten{Domain: domain, Revision: uint64(ev.Int("revision")), Problem: ev.Str("problem")}) {
			out = append(out, describe(a))
		}
	case "removed":
		for _, a := range s.core.Step(now, evacuator.EntryRemoved{Domain: domain}) {
			out = append(out, describe(a))
		}
	case "list":
		for _, e := range s.core.Evacuations() {
			out = append(out, fmt.Sprintf("%s since %s", e.Domain, e.Since.Sub(scripter.Start)))
		}
	default:
		return nil, fmt.Errorf("unknown event %q", ev.Name)
	}
	return out, nil
}

func describe(a evacuator.Action) string {
	switch a := a.(type) {
	case evacuator.Evacuated:
		return fmt.Sprintf("evacuated %s", a.Domain)
	case evacuator.Restored:
		return fmt.Sprintf("restored %s after %s", a.Domain, a.Lasted)
	case evacuator.Rejected:
		return fmt.Sprintf("rejected %s revision=%d %s evacuated=%t", a.Domain, a.Revision, a.Problem, a.IsEvacuated)
	}
	return fmt.Sprintf("%T", a)
}
