package acceptor_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/acceptor"
	"amaranthmill/internal/scripter"
)

// session applies a script to one Core.
type session struct{ core *acceptor.Core }

func (s session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	ref := acceptor.Ref(ev.Int("ref"))
	var e acceptor.Event
	switch ev.Name {
	case "open":
		e = acceptor.Opened{Ref: ref}
	case "wait":
		e = acceptor.Waited{Ref: ref}
	case "receive":
		e = acceptor.Received{Ref: ref}
	case "closed":
		e = acceptor.Closed{Ref: ref}
	default:
		return nil, fmt.Errorf("unknown event %q", ev.Name)
	}
	var out []string
	for _, a := range s.core.Step(now, e) {
		switch a := a.(type) {
		case acceptor.Close:
			out = append(out, fmt.Sprintf("close ref=%d", a.Ref))
		case acceptor.Displace:
			out = append(out, fmt.Sprintf("displace ref=%d", a.Ref))
		}
	}
	return out, nil
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata", func(*testing.T) scripter.Session { return session{acceptor.NewCore(3)} })
}

// TestCoreKeepsLimit checks for random sequences that no more connections than the limit are open, and that only one without a request gives way, the one that
// has waited for longest.
func TestCoreKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		c := acceptor.NewCore(limit)
		open := map[acceptor.Ref]int{} // the step at which a connection began to wait; zero while it has a request
		next := acceptor.Ref(0)
		for step := 1; step <= rapid.IntRange(1, 200).Draw(t, "events"); step++ {
			ref := acceptor.Ref(rapid.IntRange(0, int(next)).Draw(t, "ref"))
			_, isOpen := open[ref]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				c.Step(scripter.Start, acceptor.Received{Ref: ref})
				if isOpen {
					open[ref] = 0
				}
			case 1:
				c.Step(scripter.Start, acceptor.Waited{Ref: ref})
				if isOpen {
					open[ref] = step
				}
			case 2:
				c.Step(scripter.Start, acceptor.Closed{Ref: ref})
				delete(open, ref)
			case 3:
				next++
				checkOpen(t, c, open, next, limit)
				if _, ok := open[next]; ok {
					open[next] = step
				}
			}
			if c.Open() != len(open) || len(open) > limit {
				t.Fatalf("%d connections, %d in the model, limit %d", c.Open(), len(open), limit)
			}
		}
	})
}

// checkOpen opens a connection and compares the actions with the model. The new connection closes if one is to be displaced.
func checkOpen(t *rapid.T, c *acceptor.Core, open map[acceptor.Ref]int, ref acceptor.Ref, limit int) {
	first := acceptor.Ref(0)
	for other, since := range open {
		if since > 0 && (first == 0 || since < open[first]) {
			first = other
		}
	}
	want := fmt.Sprint([]acceptor.Action{})
	switch {
	case len(open) < limit:
	case first == 0:
		want = fmt.Sprint([]acceptor.Action{acceptor.Displace{Ref: ref}})
	default:
		want = fmt.Sprint([]acceptor.Action{acceptor.Close{Ref: first}})
	}
	if got := fmt.Sprint(c.Step(scripter.Start, acceptor.Opened{Ref: ref})); got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	if len(open) >= limit && first == 0 {
		c.Step(scripter.Start, acceptor.Closed{Ref: ref})
		return
	}
	if len(open) >= limit {
		delete(open, first)
	}
	open[ref] = 1
}
