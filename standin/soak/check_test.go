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

// TestFindCutAnswers checks that a request that ran and ended early without a complete answer is
// found, unless a fault other than a silence or the request's time may be the cause.
func TestFindCutAnswers(t *testing.T) {
	start := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	cut := sentRequest{id: "c1-1", sentAt: at(10 * time.Second), endedAt: at(11 * time.Second), status: 200}
	change := func(f func(*sentRequest)) sentRequest {
		s := cut
		f(&s)
		return s
	}
	tests := map[string]struct {
		sent        sentRequest
		disruptions []*disruption
		runs        int
		found       bool
	}{
		"cut stream":         {sent: cut, runs: 1, found: true},
		"no answer":          {sent: change(func(s *sentRequest) { s.status = 0 }), runs: 1, found: true},
		"unknown outcome":    {sent: change(func(s *sentRequest) { s.plain, s.status, s.complete = true, 502, true }), runs: 1, found: true},
		"served":             {sent: change(func(s *sentRequest) { s.complete = true }), runs: 1},
		"not run":            {sent: change(func(s *sentRequest) { s.status = 0 })},
		"refused":            {sent: change(func(s *sentRequest) { s.status = 503 }), runs: 1},
		"silenced":           {sent: change(func(s *sentRequest) { s.silenced = true }), runs: 1},
		"time used":          {sent: change(func(s *sentRequest) { s.endedAt = s.sentAt.Add(cutLimit) }), runs: 1},
		"disrupted instance": {sent: cut, disruptions: []*disruption{{instance: 0, start: at(7 * time.Second), end: at(8 * time.Second)}}, runs: 1},
		"disrupted engines":  {sent: cut, disruptions: []*disruption{{instance: allEngines, start: at(11050 * time.Millisecond)}}, runs: 1},
		"disrupted later":    {sent: cut, disruptions: []*disruption{{instance: allEngines, start: at(12 * time.Second)}}, runs: 1, found: true},
		"other disrupted":    {sent: cut, disruptions: []*disruption{{instance: 1, start: at(7 * time.Second)}}, runs: 1, found: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &record{requests: []sentRequest{test.sent}, disruptions: test.disruptions}
			is.Equal(len(r.findCutAnswers(map[string]int{"c1-1": test.runs})) == 1, test.found)
		})
	}
}

// TestCheckServiceOfCutInstances checks that instances which are cut off from all engines and serve far worse than the others are found, and
// that nothing is held against them that a fault or the lack of another instance excuses.
func TestCheckServiceOfCutInstances(t *testing.T) {
	start := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	cutOff := func(instance int) *disruption {
		return &disruption{instance: instance, start: at(10 * time.Second), end: at(20 * time.Second)}
	}
	tests := map[string]struct {
		served, sent int // at instance 0, which is cut off
		from         time.Duration
		cuts         []*disruption
		disruptions  []*disruption
		violated     bool
	}{
		"not served":          {served: 5, sent: 40, from: 14 * time.Second, cuts: []*disruption{cutOff(0)}, violated: true},
		"served":              {served: 38, sent: 40, from: 14 * time.Second, cuts: []*disruption{cutOff(0)}},
		"few failed":          {served: 2, sent: 11, from: 14 * time.Second, cuts: []*disruption{cutOff(0)}},
		"not settled":         {served: 5, sent: 40, from: 11 * time.Second, cuts: []*disruption{cutOff(0)}},
		"other one just back": {served: 5, sent: 40, from: 14 * time.Second, cuts: []*disruption{cutOff(0), {instance: 1, start: at(10 * time.Second), end: at(13500 * time.Millisecond)}}},
		"other one back":      {served: 5, sent: 40, from: 14 * time.Second, cuts: []*disruption{cutOff(0), {instance: 1, start: at(10 * time.Second), end: at(12900 * time.Millisecond)}}, violated: true},
		"all cut off":         {served: 5, sent: 40, from: 14 * time.Second, cuts: []*disruption{cutOff(0), cutOff(1)}},
		"instance frozen":     {served: 5, sent: 40, from: 14 * time.Second, cuts: []*disruption{cutOff(0)}, disruptions: []*disruption{{instance: 0, start: at(12 * time.Second), end: at(13 * time.Second)}}},
		"other one frozen":    {served: 5, sent: 40, from: 14 * time.Second, cuts: []*disruption{cutOff(0)}, disruptions: []*disruption{{instance: 1, start: at(12 * time.Second), end: at(13 * time.Second)}}},
		"engines disturbed":   {served: 5, sent: 40, from: 14 * time.Second, cuts: []*disruption{cutOff(0)}, disruptions: []*disruption{{instance: allEngines, start: at(12 * time.Second), end: at(18 * time.Second)}}, violated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &record{cuts: test.cuts, disruptions: test.disruptions}
			for n := range test.sent {
				sentAt := at(test.from + time.Duration(n)*time.Millisecond)
				status := 503
				if n < test.served {
					status = 200
				}
				r.requests = append(r.requests,
					sentRequest{instance: 0, sentAt: sentAt, endedAt: sentAt.Add(time.Millisecond), status: status, complete: true},
					sentRequest{instance: 1, sentAt: sentAt, endedAt: sentAt.Add(time.Millisecond), status: 200, complete: true})
			}
			is.Equal(r.checkServiceOfCutInstances(2) != "", test.violated)
		})
	}
}
