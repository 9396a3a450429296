package scripter_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/internal/scripter"
)

type echo struct{}

func (echo) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	if ev.Name == "quiet" {
		return nil, nil
	}
	return []string{fmt.Sprintf("%s %s to=%v wait=%v list=%v", now.Sub(scripter.Start), ev.Name, ev.AddrPort("to"), ev.Duration("wait"), ev.List("list"))}, nil
}

func TestRun(t *testing.T) {
	scripter.Run(t, "testdata", func(*testing.T) scripter.Session { return echo{} })
}
