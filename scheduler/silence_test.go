package scheduler_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

var goneSeeds = flag.Uint64("goneSeeds", 200, "number of simulated worlds of TestGoneEndpointIsLeftAtOnce")

// worldTime is longer than any request of a world can take.
const worldTime = 30 * time.Second

// TestSilenceCutsNoAnswer runs requests at endpoints that fall silent for about a second and go
// on, are full, refuse, or are removed from the targets and added again while they run. Each
// endpoint that accepts a request would complete it. Therefore no answer that has begun may
// end before its deadline, and no accepted request may end as unknown. -rapid.checks and
// -rapid.seed run further worlds.
func TestSilenceCutsNoAnswer(t *testing.T) {
	worlds, requests, delivered, retries := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0.001, 0.1, 0.2, 1}).Draw(t, "ratio")
		slack := rapid.SampledFrom([]float64{1, 2, 4, 10, 1000}).Draw(t, "slack")
		w := newWorld(t, ratio, slack)
		for range rapid.IntRange(2, 6).Draw(t, "endpoints") {
			drawEndpoint(t, w)
		}
		w.setTargets()
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			w.addRequest(drawRequest(t))
		}
		for range rapid.IntRange(0, 3).Draw(t, "removals") {
			e := rapid.SampledFrom(w.endpoints).Draw(t, "removed")
			w.remove(e, scripter.Start.Add(drawTime(t, "at", 1, 5000)), drawTime(t, "for", 50, 2000))
		}
		w.run(worldTime)
		worlds, requests, delivered, retries = worlds+1, requests+len(w.requests), delivered+countDelivered(w), retries+w.retries
	})
	t.Logf("%d worlds: %d requests, %d delivered, %d retries", worlds, requests, delivered, retries)
}

func drawTime(t *rapid.T, label string, low, high int) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
}

// drawEndpoint adds an endpoint with random slots, silences and refusals.
func drawEndpoint(t *rapid.T, w *world) {
	e := w.addEndpoint(rapid.IntRange(1, 12).Draw(t, "slots"))
	at := scripter.Start
	for range rapid.IntRange(0, 3).Draw(t, "silences") {
		at = at.Add(drawTime(t, "after", 50, 2000))
		length := drawTime(t, "length", 300, 1600)
		e.silences = append(e.silences, interval{at, at.Add(length)})
		at = at.Add(length)
	}
	e.taken = e.slots * rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "takenHalves") / 2
	e.refuses = rapid.SliceOfN(rapid.IntRange(1, 20), 0, 5).Draw(t, "refuses")
}

// drawRequest returns a stream or, less often, another request.
func drawRequest(t *rapid.T) *simRequest {
	arrivedAt := scripter.Start.Add(drawTime(t, "arrives", 1, 3000))
	r := &simRequest{
		Request: scheduler.Request{
			Repeatable: true, ArrivedAt: arrivedAt, MaxAttempts: rapid.IntRange(1, 3).Draw(t, "maxAttempts"),
			Deadline: arrivedAt.Add(rapid.SampledFrom([]time.Duration{8 * time.Second, 2 * time.Second}).Draw(t, "timeout")),
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		},
		gap: drawTime(t, "gap", 30, 50), firstEvent: drawTime(t, "firstEvent", 20, 150),
	}
	switch rapid.SampledFrom([]string{"stream", "stream", "stream", "idempotent", "nonIdempotent"}).Draw(t, "kind") {
	case "stream":
		r.Stream = true
		r.events = rapid.IntRange(1, 80).Draw(t, "events")
	case "nonIdempotent":
		r.Repeatable = false
	}
	return r
}

// streamGap is the time between two events of the streams of newStream.
const streamGap = 40 * time.Millisecond

// newStream returns a resumable stream.
func newStream(at, firstEvent time.Duration, events int) *simRequest {
	arrivedAt := scripter.Start.Add(at)
	return &simRequest{
		Request: scheduler.Request{Repeatable: true, Stream: true, ArrivedAt: arrivedAt, MaxAttempts: 2, Deadline: arrivedAt.Add(8 * time.Second)},
		events:  events, gap: streamGap, firstEvent: firstEvent,
	}
}

// TestStreamsOutlastSilence runs streams at an endpoint that is silent for 1.2 s and goes on,
// while another endpoint can take over fewer of them than could each alone move there. All
// streams ask for the same retries and slots, and those that get none must stay.
func TestStreamsOutlastSilence(t *testing.T) {
	for _, tc := range []struct {
		name    string
		streams int
		slack   float64
		slots   int // of the other endpoint
		taken   int // of these, slots that requests of other instances use
	}{
		{name: "fewRetries", streams: 7, slack: 2, slots: 40},
		{name: "fewSlots", streams: 10, slack: 1000, slots: 2},
		{name: "refusal", streams: 1, slack: 1000, slots: 40, taken: 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 0.001, tc.slack)
			silent := w.addEndpoint(40)
			silent.silences = []interval{{scripter.Start.Add(250 * time.Millisecond), scripter.Start.Add(1450 * time.Millisecond)}}
			w.setTargets()
			for range tc.streams {
				w.addRequest(newStream(time.Millisecond, 60*time.Millisecond, 60))
			}
			w.schedule(scripter.Start.Add(200*time.Millisecond), func() {
				w.addEndpoint(tc.slots).taken = tc.taken
				w.setTargets()
			})
			w.run(worldTime)
			is.Equal(countDelivered(w), tc.streams)
		})
	}
}

func countDelivered(w *world) int {
	n := 0
	for _, r := range w.requests {
		if _, ok := r.outcome.(scheduler.Delivered); ok {
			n++
		}
	}
	return n
}

// Bounds of TestGoneEndpointIsLeftAtOnce, from the defaults of scheduler.Config.
const (
	goneFirstEvent  = 80 * time.Millisecond // longest time to the first event
	streamStall     = 5 * streamGap         // StreamStallFactor, because MinStreamStall is shorter
	firstEventStall = 300 * time.Millisecond
	tickInterval    = 40 * time.Millisecond
	resumeTime      = tickInterval + cancelDelay + networkDelay + goneFirstEvent // from a stall to the next event
)

// TestGoneEndpointIsLeftAtOnce measures how long streams pause whose endpoint is gone, while
// slots and retries are free. The time from the endpoint's silence, or from a later send to
// it, to the next event must be within the bound for a stall, one tick and the time to the
// first event elsewhere.
func TestGoneEndpointIsLeftAtOnce(t *testing.T) {
	var begun, notBegun []time.Duration
	for seed := range *goneSeeds {
		w := newGoneWorld(t, seed)
		w.onRelay = func(a *simAttempt) {
			lost := a.request.attempts[0]
			if a == lost || lost.endpoint.goneAt.IsZero() || a.next != lost.next {
				return
			}
			pause := w.now.Sub(latest(lost.endpoint.goneAt, lost.sentAt))
			if lost.ran {
				begun = append(begun, pause)
			} else {
				notBegun = append(notBegun, pause)
			}
		}
		w.run(worldTime)
		if n := countDelivered(w); n != len(w.requests) {
			t.Errorf("seed %d: %d of %d streams are delivered", seed, n, len(w.requests))
		}
	}
	checkPauses(t, "begun", begun, streamStall+resumeTime)
	checkPauses(t, "not begun", notBegun, firstEventStall+resumeTime)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newGoneWorld returns a world with streams at several endpoints, of which one goes.
func newGoneWorld(t *testing.T, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 21))
	w := newWorld(t, 1, 1000)
	for range 3 + r.IntN(4) {
		w.addEndpoint(40)
	}
	w.setTargets()
	for range 20 + r.IntN(40) {
		arrives := time.Duration(1+r.IntN(2000)) * time.Millisecond
		firstEvent := goneFirstEvent - time.Duration(r.IntN(40))*time.Millisecond
		w.addRequest(newStream(arrives, firstEvent, 20+r.IntN(80)))
	}
	gone := w.endpoints[r.IntN(len(w.endpoints))]
	w.end(gone, scripter.Start.Add(time.Duration(1000+r.IntN(1500))*time.Millisecond))
	return w
}

// TestTwoGoneEndpointsAreLeftAtOnce measures how long streams pause when two endpoints go within
// a time: each of the two may cost the bound for a stall, one tick and the time to the first event
// elsewhere. Streams that may run twice are delivered if neither hedge has begun.
func TestTwoGoneEndpointsAreLeftAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name        string
		maxAttempts int
		within      time.Duration
	}{
		{name: "threeAttempts", maxAttempts: 3, within: time.Second},
		{name: "twoAttempts", maxAttempts: 2, within: streamStall - tickInterval},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var pauses []time.Duration
			for seed := range *goneSeeds {
				w := newTwoGoneWorld(t, seed, tc.maxAttempts, tc.within)
				measureHandovers(w, &pauses)
				w.run(worldTime)
				if n := countDelivered(w); n != len(w.requests) {
					t.Errorf("seed %d: %d of %d streams are delivered", seed, n, len(w.requests))
				}
			}
			checkPauses(t, tc.name, pauses, 2*(firstEventStall+resumeTime))
		})
	}
}

// measureHandovers makes w append the time without an event before each event with which a later
// attempt of a stream continues it or begins it.
func measureHandovers(w *world, pauses *[]time.Duration) {
	relayedAt, relayedBy := map[*simRequest]time.Time{}, map[*simRequest]*simAttempt{}
	w.onRelay = func(a *simAttempt) {
		r := a.request
		if a.number > 1 && a != relayedBy[r] {
			*pauses = append(*pauses, w.now.Sub(latest(r.ArrivedAt, relayedAt[r])))
		}
		relayedAt[r], relayedBy[r] = w.now, a
	}
}

// newTwoGoneWorld returns a world with streams at five endpoints, of which two go within a time.
func newTwoGoneWorld(t *testing.T, seed uint64, maxAttempts int, within time.Duration) *world {
	r := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(t, 1, 1000)
	for range 5 {
		w.addEndpoint(40)
	}
	w.setTargets()
	for range 60 {
		q := newStream(time.Duration(1+r.IntN(2500))*time.Millisecond, goneFirstEvent, 20+r.IntN(80))
		q.MaxAttempts = maxAttempts
		w.addRequest(q)
	}
	goneAt := scripter.Start.Add(time.Duration(1000+r.IntN(1000)) * time.Millisecond)
	w.end(w.endpoints[0], goneAt)
	w.end(w.endpoints[1], goneAt.Add(time.Duration(r.Int64N(int64(within)))))
	return w
}

// checkPauses logs percentiles of pauses and checks that all are within a bound.
func checkPauses(t *testing.T, name string, pauses []time.Duration, bound time.Duration) {
	t.Helper()
	if len(pauses) == 0 {
		t.Errorf("%s: no stream was at the endpoint that is gone", name)
		return
	}
	slices.Sort(pauses)
	longest := pauses[len(pauses)-1]
	t.Logf("%s: %d pauses, p50 %s, p99 %s, longest %s, bound %s", name, len(pauses), pauses[len(pauses)/2], pauses[len(pauses)*99/100], longest, bound)
	if longest > bound {
		t.Errorf("%s: a stream pauses for %s, bound %s", name, longest, bound)
	}
}
