package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// oddStatuses are statuses that HTTP does not have.
var oddStatuses = []string{"000", "001", "099", "600", "999"}

// oddRequests is more than the slots of an endpoint.
const oddRequests = 20

// TestStatusThatHTTPDoesNotHaveIsNoAnswer guards against an endpoint in trouble whose answer has a status that HTTP does not have, with signature, ID and body. Such bytes are no
// answer: they are not passed on, the request may have run, and its caller is told so. With 000 the handler panicked, so that the caller got no answer at all.
func TestStatusThatHTTPDoesNotHaveIsNoAnswer(t *testing.T) {
	for _, status := range oddStatuses {
		answer := func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %s Odd\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", status, id)
		}
		t.Run(status+"/direct", func(t *testing.T) {
			t.Parallel()
			x := newFixture(t)
			x.raw(answer)
			checkNoAnswer(t, x)
		})
		t.Run(status+"/through_peer", func(t *testing.T) {
			t.Parallel()
			fl := newFleet(t, 1)
			fl.peers["peer-1"].raw(answer)
			checkNoAnswer(t, fl.fixture)
		})
	}
}

// checkNoAnswer sends requests of each kind, more than the endpoint has slots, and checks that each is answered as one that may have run.
func checkNoAnswer(t *testing.T, x *fixture) {
	is := is.New(t)
	for n := range oddRequests {
		path := [...]string{"/hold/1", "/look/1", "/stream/1"}[n%3]
		r, err := http.NewRequest(http.MethodPost, x.server.URL+path, nil)
		is.NoErr(err)
		r.Header.Set("Id", fmt.Sprint("odd-", n))
		r.Header.Set("Key", "k1")
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get("Signature"), "")
		_ = body(resp)
		_ = resp.Body.Close()
	}
}

// TestSafeRequestIsRepeatedAfterOddStatus checks that a request that may be repeated is served by another endpoint.
func TestSafeRequestIsRepeatedAfterOddStatus(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.raw(func(id string) string {
		return fmt.Sprintf("HTTP/1.1 000 Odd\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", id)
	})
	x.add(func(w http.ResponseWriter, _ *http.Request) { signed(w, "ok") })
	for n := range oddRequests {
		resp := x.post(fmt.Sprintf("/look/%d", n), 10)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body(resp), "ok")
	}
}
