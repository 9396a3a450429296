package router_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthmill/internal/scripter"
	"amaranthmill/router"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260105")
	os.Exit(m.Run())
}

// TestAnswerIsWholeAndInOrder checks that the caller always has a prefix of the answer, and
// the end mark only after the complete answer, whichever frames arrive delayed, twice or
// out of order.
func TestAnswerIsWholeAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const text = "clear skies above fort davis"
		var a router.AnswerTracker
		got := ""
		attempt := 1
		a.BeginAttempt(attempt)
		for range rapid.IntRange(1, 80).Draw(t, "frames") {
			if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
				attempt++
				a.BeginAttempt(attempt)
			}
			f := router.Frame{Attempt: attempt - rapid.IntRange(0, 1).Draw(t, "late")}
			f.Position = rapid.IntRange(max(len(got)-3, 0), min(len(got)+2, len(text))).Draw(t, "position")
			f.Length = rapid.IntRange(0, min(4, len(text)-f.Position)).Draw(t, "length")
			f.End = f.Position+f.Length == len(text) && rapid.Bool().Draw(t, "end")
			wasWhole := a.IsComplete()
			if a.Accept(f) == router.Pass {
				if wasWhole || f.Attempt != attempt {
					t.Fatal("a frame of an earlier attempt or after the end mark passed")
				}
				got += text[f.Position : f.Position+f.Length]
			}
			if got != text[:len(got)] || a.Delivered() != len(got) || (a.IsComplete() && got != text) {
				t.Fatalf("the caller has %q", got)
			}
		}
	})
}

// TestRetriesAreBounded checks that in an outage the attempts exceed the requests by at most a tenth plus the burst.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	r := router.New(router.Config{})
	var targets []router.Target
	for i := range 15 {
		targets = append(targets, router.Target{ID: fmt.Sprint("g", i), Pool: "guides", Ready: true, Capacity: 1000})
	}
	now := scripter.Start
	r.Step(now, router.TargetsSet{Targets: targets})
	const requests, burst = 2000, 16
	attempts := 0
	var settle func(actions []router.Action)
	settle = func(actions []router.Action) {
		for _, a := range actions {
			if d, ok := a.(router.Dispatch); ok {
				attempts++
				settle(r.Step(now, router.Ended{Ref: d.Ref, Attempt: d.Attempt, Ending: router.Failed{Status: 500}}))
				return
			}
		}
	}
	for ref := range router.Ref(requests) {
		settle(r.Step(now, router.Arrived{Ref: ref, Request: &router.Request{Pool: "guides", Deadline: now.Add(time.Minute)}}))
	}
	is.True(attempts <= requests+requests/10+burst)
	is.True(attempts > requests)
}

// BenchmarkRoute measures the routing of one request with a prompt of 2 KB, from arrival to outcome.
func BenchmarkRoute(b *testing.B) {
	for _, endpoints := range []int{60, 1200} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			r := router.New(router.Config{})
			var targets []router.Target
			for i := range endpoints / 4 {
				targets = append(targets, router.Target{ID: fmt.Sprint("g", i), Pool: "guides", Epoch: 1, Ready: true, Capacity: 16})
			}
			now := scripter.Start
			r.Step(now, router.TargetsSet{Targets: targets})
			req := &router.Request{Pool: "guides", Deadline: now.Add(time.Hour)}
			prefix := make([]uint64, 8)
			b.ReportAllocs()
			for i := range b.N {
				for j := range prefix {
					prefix[j] = uint64(i%100*8 + j)
				}
				ref := router.Ref(i)
				r.Step(now, router.Arrived{Ref: ref, Request: req, Fingerprint: uint64(i) + 1, Prefix: prefix})
				r.Step(now, router.Ended{Ref: ref, Attempt: 1, Ending: router.Completed{}})
			}
		})
	}
}
