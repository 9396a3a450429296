package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFindViolations checks that each broken guarantee is found, and that no violation is
// reported for what a disruption of the instance excuses.
func TestFindViolations(t *testing.T) {
	start := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	answered := sentRequest{id: "c1-1", sentAt: at(10 * time.Second), endedAt: at(11 * time.Second), status: 200, complete: true}
	change := func(f func(*sentRequest)) sentRequest {
		s := answered
		f(&s)
		return s
	}
	tests := map[string]struct {
		sent        sentRequest
		disruptions []*disruption
		keyChanges  []keyChange
		runs        map[string]int
		want        string // a part of the only violation; empty for none
	}{
		"answered":         {sent: answered, runs: map[string]int{"c1-1": 1}},
		"stream ran twice": {sent: answered, runs: map[string]int{"c1-1": 2}},
		"unknown request":  {sent: answered, runs: map[string]int{"c9-9": 1}, want: "no caller sent"},
		"plain ran twice":  {sent: change(func(s *sentRequest) { s.plain = true }), runs: map[string]int{"c1-1": 2}, want: "ran 2 times"},
		"refused and ran":  {sent: change(func(s *sentRequest) { s.plain, s.status, s.retryAfter = true, 503, "1" }), runs: map[string]int{"c1-1": 1}, want: "answered 503, and ran"},
		"refused":          {sent: change(func(s *sentRequest) { s.plain, s.status, s.retryAfter = true, 503, "1" })},
		"no Retry-After":   {sent: change(func(s *sentRequest) { s.status = 503 }), want: "without a time to come back"},
		"valid key":        {sent: change(func(s *sentRequest) { s.status = 401 }), want: "always valid"},
		"second key":       {sent: change(func(s *sentRequest) { s.status, s.withSecondKey = 401, true })},
		"wrong answer":     {sent: change(func(s *sentRequest) { s.defect = "the body is spoilt" }), want: "spoilt"},
		"late":             {sent: change(func(s *sentRequest) { s.endedAt = at(14 * time.Second) }), want: "answered after 4s"},
		"late, silenced":   {sent: change(func(s *sentRequest) { s.endedAt, s.silenced = at(14*time.Second), true })},
		"silenced, defect": {sent: change(func(s *sentRequest) { s.silenced, s.defect = true, "the body is spoilt" }), want: "spoilt"},
		"late, disrupted":  {sent: change(func(s *sentRequest) { s.endedAt = at(14 * time.Second) }), disruptions: []*disruption{{instance: 0, start: at(7 * time.Second), end: at(8 * time.Second)}}},
		"other disrupted":  {sent: change(func(s *sentRequest) { s.endedAt = at(14 * time.Second) }), disruptions: []*disruption{{instance: 1, start: at(7 * time.Second)}}, want: "answered after 4s"},
		"disrupted before": {sent: change(func(s *sentRequest) { s.endedAt = at(14 * time.Second) }), disruptions: []*disruption{{instance: allInstances, start: at(1 * time.Second), end: at(5 * time.Second)}}, want: "answered after 4s"},
		"key revoked":      {sent: change(func(s *sentRequest) { s.withSecondKey = true }), keyChanges: []keyChange{{at(1 * time.Second), true}, {at(7 * time.Second), false}}, runs: map[string]int{"c1-1": 1}, want: "taken away"},
		"just revoked":     {sent: change(func(s *sentRequest) { s.withSecondKey = true }), keyChanges: []keyChange{{at(1 * time.Second), true}, {at(9 * time.Second), false}}, runs: map[string]int{"c1-1": 1}},
		"key valid":        {sent: change(func(s *sentRequest) { s.withSecondKey = true }), keyChanges: []keyChange{{at(1 * time.Second), false}, {at(9 * time.Second), true}}, runs: map[string]int{"c1-1": 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &record{requests: []sentRequest{test.sent}, disruptions: test.disruptions, keyChanges: test.keyChanges}
			got := r.findViolations(test.runs)
			if test.want == "" {
				is.Equal(len(got), 0)
				return
			}
			is.Equal(len(got), 1)
			is.True(strings.Contains(got[0], test.want))
		})
	}
}
