package estimator_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"amaranthmill/estimator"
	"amaranthmill/internal/scripter"
)

// session drives the estimators of one pool by a script.
type session struct {
	pool    *estimator.Pool
	targets map[string]*estimator.Estimator
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return &session{pool: estimator.NewPool(), targets: map[string]*estimator.Estimator{}}
	})
}

func (s *session) target(name string) *estimator.Estimator {
	if s.targets[name] == nil {
		s.targets[name] = &estimator.Estimator{}
	}
	return s.targets[name]
}

// refresh evaluates the samples as package scheduler does.
func (s *session) refresh(now time.Time) {
	sum, n := 0.0, 0
	for _, e := range s.targets {
		if e.IsRecent(now) {
			sum += e.Speed(now, s.pool)
			n++
		}
	}
	s.pool.Refresh(now, sum, n)
}

// Handle applies ev at now. Events with a count n happen n times, the last one at now and the others before it at intervals of every.
func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	e := s.target(ev.Str("target"))
	load, _ := strconv.ParseFloat(ev.Str("load"), 64)
	n := max(ev.Int("n"), 1)
	for i := range n {
		at := now.Add(-time.Duration(n-1-i) * ev.Duration("every"))
		switch ev.Name {
		case "first":
			e.RecordFirstEvent(at, s.pool, load, ev.Int("tokens"), ev.Duration("after"))
		case "gap":
			e.RecordGap(at, s.pool, load, ev.Duration("of"))
		case "end":
			e.RecordEnd(at, ev.Bool("failed"))
		case "overdue":
			e.RecordOverdue(at, s.pool, load, ev.Int("tokens"), ev.Duration("after"))
		case "stalled":
			e.Reset()
		case "limits":
			return s.limits(at, ev), nil
		default:
			return nil, fmt.Errorf("unknown event %q", ev.Name)
		}
		s.refresh(at)
	}
	return nil, nil
}

// limits returns the limits of the targets, sorted by name.
func (s *session) limits(now time.Time, ev scripter.Event) []string {
	s.refresh(now)
	var out []string
	for name, e := range s.targets {
		if name == "" {
			continue
		}
		g := estimator.Goals{FirstEvent: ev.Duration("goal"), Gap: ev.Duration("gapGoal"), TokensAhead: ev.Int("tokens")}
		slowness := e.Slowness(now, s.pool)
		out = append(out, fmt.Sprintf("%s: limit=%.1f slowness=%.1f failures=%.1f", name, s.pool.Limit(g, slowness, 1.1), slowness, e.FailureRate(now)))
	}
	slices.Sort(out)
	return out
}
