package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/scheduler"
)

// TestAttemptsAreReported checks the events that the quarantine learns from, and that a request
// has the same fingerprint in each try and another one with another path.
func TestAttemptsAreReported(t *testing.T) {
	is := is.New(t)
	reported := make(chan quarantiner.Event, 32)
	x := newObservedFixture(t, func(e quarantiner.Event) { reported <- e })
	x.add(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hold/breaks":
			panic(http.ErrAbortHandler)
		case "/hold/refused":
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/hold/fails":
			w.WriteHeader(http.StatusInternalServerError)
		default:
			w.Header().Set("Signature", "e0")
			_, _ = io.WriteString(w, "held")
		}
	})
	fingerprint := func(path string, want quarantiner.Result) identifier.Fingerprint {
		_ = x.get(path).Body.Close()
		started := (<-reported).(quarantiner.AttemptStarted)
		ended := (<-reported).(quarantiner.AttemptEnded)
		is.Equal(ended, quarantiner.AttemptEnded{Fingerprint: started.Fingerprint, Process: identifier.Process{Endpoint: "e0"}, Result: want})
		return started.Fingerprint
	}
	answered := fingerprint("/hold/1", quarantiner.ResultAnswered)
	is.Equal(fingerprint("/hold/1", quarantiner.ResultAnswered), answered)
	is.True(fingerprint("/hold/fails", quarantiner.ResultUnanswered) != answered)
	fingerprint("/hold/breaks", quarantiner.ResultBroken)
	fingerprint("/hold/refused", quarantiner.ResultNotRun)
}

// TestQuarantinedRequestIsRefused checks that a quarantined request reaches no endpoint and
// that its caller learns that it has not run and when the quarantine ends.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	reported := make(chan quarantiner.Event, 32)
	x := newObservedFixture(t, func(e quarantiner.Event) { reported <- e })
	count := x.add(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "e0")
		_, _ = io.WriteString(w, "held")
	})
	is.Equal(body(x.get("/hold/1")), "held")
	fp := (<-reported).(quarantiner.AttemptStarted).Fingerprint
	<-reported // the end of the attempt
	x.f.SetRestriction(scheduler.RestrictionSet{Fingerprint: fp, Restriction: scheduler.Quarantined, Until: time.Now().Add(time.Minute)})
	resp := x.get("/hold/1")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "60")
	is.Equal((<-reported).(quarantiner.RequestRefused).Fingerprint, fp)
	is.Equal(body(x.get("/hold/2")), "held")
	is.Equal(count.Load(), int32(2))
}

// TestRequestWithQuarantinedPartIsRefused checks that the end of an attempt names the parts of
// the prompt, that another request with a quarantined part reaches no endpoint, and that the
// quarantine learns which part refused it.
func TestRequestWithQuarantinedPartIsRefused(t *testing.T) {
	is := is.New(t)
	reported := make(chan quarantiner.Event, 32)
	x := newObservedFixture(t, func(e quarantiner.Event) { reported <- e })
	count := x.add(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "e0")
		_, _ = io.WriteString(w, "held")
	})
	is.Equal(body(x.get("/hold/1", "Parts", "a1 b2")), "held")
	started := (<-reported).(quarantiner.AttemptStarted)
	parts := (<-reported).(quarantiner.AttemptEnded).Parts
	is.Equal(len(parts), 2)
	is.Equal(parts[1].ID, identifier.Part("b2"))
	is.True(parts[0].Fingerprint != parts[1].Fingerprint && parts[1].Fingerprint != started.Fingerprint)
	x.f.SetRestriction(scheduler.RestrictionSet{Fingerprint: parts[1].Fingerprint, Restriction: scheduler.Quarantined, Until: time.Now().Add(time.Minute)})
	resp := x.get("/hold/2", "Parts", "c3 b2")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "60")
	is.Equal((<-reported).(quarantiner.RequestRefused).Fingerprint, parts[1].Fingerprint)
	is.Equal(body(x.get("/hold/1", "Parts", "a1 c3")), "held")
	is.Equal(count.Load(), int32(2))
}

// TestAnswerThatEndsWithItsConnectionIsUndelimited checks that the end of an attempt says that
// the answer had neither a length nor chunks.
func TestAnswerThatEndsWithItsConnectionIsUndelimited(t *testing.T) {
	is := is.New(t)
	reported := make(chan quarantiner.Event, 32)
	x := newObservedFixture(t, func(e quarantiner.Event) { reported <- e })
	x.add(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "e0")
		w.Header().Set("Transfer-Encoding", "identity")
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "held")
	})
	is.Equal(body(x.get("/hold/1")), "held")
	<-reported // the start of the attempt
	is.Equal((<-reported).(quarantiner.AttemptEnded).Result, quarantiner.ResultUndelimited)
}
