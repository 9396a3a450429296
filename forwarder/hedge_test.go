package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// speakDelay is the time after which a silent endpoint goes on once its hedge has been answered.
const speakDelay = 50 * time.Millisecond

// cancelLimit is the time within which the requests of a caller that has left are canceled.
const cancelLimit = 500 * time.Millisecond

// writeEvent writes one event of a stream and flushes it.
func writeEvent(w http.ResponseWriter, id int) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %c\n\n", id, 'a'+id)
	_ = http.NewResponseController(w).Flush()
}

// silentStream returns a handler whose first request gets event 0 and then nothing until speak
// is closed, and then the other events up to event 3. Further requests are answered by next.
func silentStream(speak <-chan struct{}, next http.HandlerFunc) http.HandlerFunc {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
		default:
			next(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Signature", "first")
		writeEvent(w, 0)
		select {
		case <-speak:
		case <-r.Context().Done():
		}
		for id := 1; id <= 3; id++ {
			writeEvent(w, id)
		}
	}
}

// TestSilentStreamIsTakenOver checks that the hedge of a stream whose endpoint stays silent
// delivers the rest, and that no event of the endpoint reaches the caller after that.
func TestSilentStreamIsTakenOver(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	speak := make(chan struct{})
	h := silentStream(speak, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Last-Event"), "0")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Signature", "second")
		writeEvent(w, 1)
		close(speak)
		events(w, r, 3, false)
	})
	for range 2 {
		x.add(h)
	}
	resp := x.get("/stream/x")
	is.Equal(body(resp), "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\nid: 3\ndata: d\n\n")
	is.Equal(resp.Header.Get("Signature"), "first")
}

// TestSilentStreamGoesOn checks that a stream whose endpoint goes on before its hedge has begun
// is delivered by its endpoint, and that the hedge is canceled.
func TestSilentStreamGoesOn(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	speak, canceled := make(chan struct{}), make(chan struct{})
	h := silentStream(speak, func(_ http.ResponseWriter, r *http.Request) {
		close(speak)
		<-r.Context().Done()
		close(canceled)
	})
	for range 2 {
		x.add(h)
	}
	is.Equal(body(x.get("/stream/x")), "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\nid: 3\ndata: d\n\n")
	<-canceled
}

// TestSilentStreamWhoseHedgeIsRefused checks that a stream whose hedge is refused goes on where it is.
func TestSilentStreamWhoseHedgeIsRefused(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	speak := make(chan struct{})
	h := silentStream(speak, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		close(speak)
	})
	for range 2 {
		x.add(h)
	}
	is.Equal(body(x.get("/stream/x")), "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\nid: 3\ndata: d\n\n")
}

// TestSilentLookupIsAnsweredOnce checks that a hedged request without a stream gets the answer
// of the attempt that ends first.
func TestSilentLookupIsAnsweredOnce(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	h := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			<-r.Context().Done()
			return
		default:
		}
		w.Header().Set("Signature", "second")
		_, _ = fmt.Fprint(w, "answer of the hedge")
	}
	for range 2 {
		x.add(h)
	}
	resp := x.get("/look/x")
	is.Equal(body(resp), "answer of the hedge")
	is.Equal(resp.Header.Get("Signature"), "second")
}

// TestStreamIsNotEndedByAnotherKindOfAnswer checks that a stream that has begun does not end as
// complete because its hedge gets an answer that is no stream: the first endpoint goes on.
func TestStreamIsNotEndedByAnotherKindOfAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			speak := make(chan struct{})
			h := silentStream(speak, func(w http.ResponseWriter, _ *http.Request) {
				time.AfterFunc(speakDelay, func() { close(speak) })
				w.Header().Set("Signature", "second")
				w.WriteHeader(status)
				_, _ = fmt.Fprint(w, "no stream")
			})
			for range 2 {
				x.add(h)
			}
			is.Equal(body(x.get("/stream/x")), "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\nid: 3\ndata: d\n\n")
		})
	}
}

// TestBrokenStreamIsNotEndedByAnotherKindOfAnswer checks that a stream that breaks and whose
// retry gets an answer that is no stream does not look complete.
func TestBrokenStreamIsNotEndedByAnotherKindOfAnswer(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	for range 2 {
		x.add(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-first:
				events(w, r, 1, true)
			default:
				w.Header().Set("Signature", "second")
				w.WriteHeader(http.StatusNotFound)
			}
		})
	}
	_, err := io.ReadAll(x.get("/stream/x").Body)
	is.True(err != nil)
}

// TestCallerLeavesHedgedStream checks that both attempts of a hedged stream are canceled at their
// endpoints when the caller disconnects.
func TestCallerLeavesHedgedStream(t *testing.T) {
	x := newFixture(t)
	hedged, canceled := make(chan struct{}), make(chan struct{}, 2)
	first := silentStream(nil, func(_ http.ResponseWriter, r *http.Request) {
		close(hedged)
		<-r.Context().Done()
	})
	for range 2 {
		x.add(func(w http.ResponseWriter, r *http.Request) {
			first(w, r)
			canceled <- struct{}{}
		})
	}
	resp := x.get("/stream/x")
	<-hedged
	_ = resp.Body.Close()
	for range 2 {
		select {
		case <-canceled:
		case <-time.After(cancelLimit):
			t.Fatal("an endpoint still works for a caller that has left")
		}
	}
}
