package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeavingEndpointGetsNoMoreRequests checks that an endpoint gets no request after an answer in
// which it says that it leaves, although it stays a target: neither after a complete answer, nor
// after a refusal or an error.
func TestLeavingEndpointGetsNoMoreRequests(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"answer": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Signature", "s") },
		"refusal": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"error": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signature", "s")
			w.WriteHeader(http.StatusInternalServerError)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			leaving := x.add(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Leaving", "1")
				answer(w, r)
			})
			x.get("/look/1")
			is.Equal(leaving.Load(), int32(1))
			x.add(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Signature", "s") })
			for i := range 5 {
				is.Equal(x.get("/look/1", "Id", fmt.Sprintf("s%d", i)).StatusCode, http.StatusOK)
			}
			is.Equal(leaving.Load(), int32(1))
		})
	}
}

// TestClosedEndpointGetsNoRequests checks that an endpoint that refuses a request and wants no
// more for a time gets none, and that a request that can't be placed in time is refused at once
// with that time as its Retry-After.
func TestClosedEndpointGetsNoRequests(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	closed := x.add(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Closed-For", "30s")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for i := range 5 {
		resp := x.get("/look/1", "Id", fmt.Sprintf("r%d", i))
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		retryAfter := resp.Header.Get("Retry-After")
		is.True(retryAfter >= "29" && retryAfter <= "31") // 30 s, and the time until a place is free
	}
	is.Equal(closed.Load(), int32(1))
}

// TestLimitedEndpointGetsNoRequestsBeyondItsLimit checks that a request for which the limit that the only
// endpoint names leaves no room in its time is refused at once, has not run, and is told when there
// is room; and that the limit ends with the first answer that does not name it.
func TestLimitedEndpointGetsNoRequestsBeyondItsLimit(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	var limited atomic.Bool
	limited.Store(true)
	endpoint := x.add(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "s")
		if limited.Load() {
			w.Header().Set("Limit", "0.5")
		}
	})
	is.Equal(x.get("/look/1", "Id", "first").StatusCode, http.StatusOK)
	start := time.Now()
	resp := x.get("/look/1", "Id", "second")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(start) < time.Second) // it does not wait for what is not expected in its time
	retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retryAfter > 1.5 && retryAfter < 3) // two seconds for a request
	is.Equal(endpoint.Load(), int32(1))
	limited.Store(false)
	time.Sleep(time.Duration(retryAfter * float64(time.Second)))
	for i := range 5 {
		is.Equal(x.get("/look/1", "Id", fmt.Sprintf("r%d", i)).StatusCode, http.StatusOK)
	}
}
