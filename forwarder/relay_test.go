package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/forwarder"
	"amaranthmill/quarantiner"
)

// TestConnectionFieldsOfEndpoint checks that the fields of an endpoint's connection do not reach
// the caller of a stream: its connection stays open, unless the instance itself drains.
func TestConnectionFieldsOfEndpoint(t *testing.T) {
	for _, tc := range []struct {
		name       string
		connection string
		draining   bool
	}{
		{name: "close", connection: "close"},
		{name: "keepAlive", connection: "keep-alive"},
		{name: "draining", connection: "keep-alive, Local", draining: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.add(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", tc.connection)
				if tc.draining {
					w.Header().Set("Local", "1")
				}
				w.Header().Set("Keep-Alive", "timeout=5")
				events(w, r, 1, false)
			})
			if tc.draining {
				x.f.Drain(forwarder.Stop{})
			}
			resp := x.get("/stream/x")
			is.Equal(body(resp), "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
			is.Equal(resp.Close, tc.draining)
			is.Equal(resp.Header.Get("Keep-Alive"), "")
			is.Equal(resp.Header.Get("Local"), "")
			is.Equal(resp.Header.Get("Connection"), "")
		})
	}
}

// TestCallerLeavesDuringEvent checks that a caller that leaves while an event is written to it
// counts neither as a broken answer of the endpoint nor as a reason for another attempt.
func TestCallerLeavesDuringEvent(t *testing.T) {
	is := is.New(t)
	ended := make(chan quarantiner.Result, 100)
	x := newObservedFixture(t, func(e quarantiner.Event) {
		if e, ok := e.(quarantiner.AttemptEnded); ok {
			ended <- e.Result
		}
	})
	h := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Signature", "s")
		for id := 0; r.Context().Err() == nil; id++ {
			writeEvent(w, id)
		}
	}
	a, b := x.add(h), x.add(h)
	const callers = 50
	for range callers {
		x.leave("/stream/x")
		is.Equal(<-ended, quarantiner.ResultUnanswered)
	}
	is.Equal(a.Load()+b.Load(), int32(callers))
}

// leave requests a path and resets the connection once the answer has begun.
func (x *fixture) leave(path string) {
	conn, err := net.Dial("tcp", x.server.Listener.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nKey: k1\r\nId: try-1\r\n\r\n", path)
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.(*net.TCPConn).SetLinger(0)
}
