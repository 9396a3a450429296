package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"
	"amaranthmill/server"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// scriptedDispatcher is a dispatcher that answers as its script sets and records the requests
// that it receives.
type scriptedDispatcher struct {
	behaviour string
	received  []string
}

func (d *scriptedDispatcher) Serve(_ context.Context, q router.Request, w router.Writer) router.Outcome {
	d.received = append(d.received, fmt.Sprintf("dispatched kind=%d account=%s service=%s priority=%d %s %s", q.Kind, q.Account, q.Service, q.Priority, q.Method, q.Path))
	if q.Header.Get("Authorization") != "" || q.Header.Get("Mill-Timeout") != "" {
		d.received = append(d.received, "the bearer key or a Mill- header was forwarded")
	}
	switch d.behaviour {
	case "notRun":
		return router.NotRun{Status: http.StatusTooManyRequests, Reason: "overloaded", Detail: "Too many requests wait.", RetryAfter: 1500 * time.Millisecond}
	case "unknown":
		return router.Unknown{Status: http.StatusBadGateway, Reason: "connectionLost", Detail: "The call may have run."}
	}
	_ = w.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}})
	_ = w.Write([]byte("half "))
	if d.behaviour == "cut" {
		return router.Unknown{Status: http.StatusBadGateway, Reason: "groupLost", Detail: "The answer is not whole."}
	}
	_ = w.Write([]byte("whole"))
	return router.Answered{}
}

// session drives one server with a script of HTTP requests.
type session struct {
	d      *scriptedDispatcher
	s      *server.Server
	bundle *bundler.Bundle
	ready  error
}

func (x *session) do(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "bundle":
		x.bundle = &bundler.Bundle{}
		is.New(t).NoErr(json.Unmarshal([]byte(d.Input), x.bundle))
	case "behaviour":
		d.ScanArgs(t, "is", &x.d.behaviour)
	case "unready":
		x.ready = errors.New("no bundle is in force")
	case "drain":
		x.s.Drain()
	case "request":
		return x.request(t, d)
	}
	return ""
}

func (x *session) request(t *testing.T, d *datadriven.TestData) string {
	var method, path, key, timeout, idempotency string
	d.ScanArgs(t, "method", &method)
	d.ScanArgs(t, "path", &path)
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "timeout", &timeout)
	d.MaybeScanArgs(t, "idempotency", &idempotency)
	r := httptest.NewRequest(method, path, strings.NewReader(d.Input))
	r.Header.Set("Authorization", "Bearer "+key)
	if d.HasArg("twice") {
		r.Header.Add("Authorization", "Bearer other")
	}
	if timeout != "" {
		r.Header.Set("Mill-Timeout", timeout)
	}
	if idempotency != "" {
		r.Header.Set("Idempotency-Key", idempotency)
	}
	x.d.received = nil
	w := httptest.NewRecorder()
	aborted := serveAborted(x.s.Handler(), w, r)
	out := strings.Join(x.d.received, "\n")
	if out != "" {
		out += "\n"
	}
	return out + render(w.Result(), aborted)
}

// serveAborted serves r and returns whether the handler aborted the connection.
func serveAborted(h http.Handler, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		if p := recover(); p != nil {
			aborted = p == http.ErrAbortHandler
		}
	}()
	h.ServeHTTP(w, r)
	return false
}

func render(res *http.Response, aborted bool) string {
	body, _ := io.ReadAll(res.Body)
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s", res.StatusCode, res.Header.Get("Content-Type"))
	for _, name := range []string{"Retry-After", "Connection"} {
		if v := res.Header.Get(name); v != "" {
			fmt.Fprintf(&b, " %s=%s", name, v)
		}
	}
	fmt.Fprintf(&b, "\n%s\n", strings.TrimSpace(string(body)))
	if aborted {
		b.WriteString("(connection aborted)\n")
	}
	return b.String()
}

// TestSessions plays each script in testdata against a server of its own.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		x := &session{d: &scriptedDispatcher{}}
		x.s = server.New(server.Config{
			Bundle: func() *bundler.Bundle { return x.bundle }, Dispatcher: x.d, Ready: func() error { return x.ready },
			NewRequest: func() identifier.Request { return "r1" }, BodySize: 200,
		})
		datadriven.RunTest(t, path, x.do)
	})
}
