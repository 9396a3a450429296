package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// dialect uses short names for the header fields.
type dialect struct{}

func (dialect) IdentityHeader() string { return "Id" }

func (dialect) ParseRequest(h http.Header) (forwarder.RequestFields, error) {
	if len(h.Values("Key")) > 1 {
		return forwarder.RequestFields{}, &forwarder.MalformedError{Field: "Key", Problem: "stands more than once; send it once"}
	}
	d := forwarder.RequestFields{ID: h.Get("Id"), Key: h.Get("Key"), Timeout: 2 * time.Second, LastEventID: -1}
	if text := h.Get("Last-Event"); text != "" {
		d.LastEventID, _ = strconv.Atoi(text)
	}
	for _, id := range strings.Fields(h.Get("Parts")) {
		d.Parts = append(d.Parts, identifier.Part(id))
	}
	if ms, err := strconv.Atoi(h.Get("Timeout")); err == nil {
		d.Timeout = time.Duration(ms) * time.Millisecond
	}
	return d, nil
}

func (dialect) SetFields(h http.Header, s forwarder.EndpointFields) {
	h.Del("Key")
	h.Set("Account", string(s.Account))
	h.Set("Endpoint", string(s.Endpoint))
	h.Set("Left", strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	if s.LastEventID >= 0 {
		h.Set("Last-Event", strconv.Itoa(s.LastEventID))
	}
}

func (dialect) ParseAnswer(status int, h http.Header) forwarder.AnswerFields {
	closedFor, _ := time.ParseDuration(h.Get("Closed-For"))
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	coldFor, _ := time.ParseDuration(h.Get("Cold-For"))
	return forwarder.AnswerFields{
		NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signature") != "", Encoded: h.Get("Content-Encoding") != "", Misdirected: status == 421,
		Leaving: h.Get("Leaving") != "", ClosedFor: closedFor, Limit: scheduler.LimitStatement{IsKnown: true, PerSecond: limit}, ColdFor: coldFor,
	}
}

// fixture is a Forwarder in front of test endpoints.
type fixture struct {
	t       *testing.T
	f       *forwarder.Forwarder
	server  *httptest.Server
	targets []scheduler.Target
}

func newFixture(t *testing.T) *fixture { return newObservedFixture(t, nil) }

// newObservedFixture returns a fixture whose Forwarder reports its attempts to onAttempt.
func newObservedFixture(t *testing.T, onAttempt func(quarantiner.Event)) *fixture {
	return newFixtureWith(t, func(cfg *forwarder.Config) { cfg.OnAttempt = onAttempt })
}

// newFixtureWith returns a fixture whose Forwarder's configuration was changed by configure.
func newFixtureWith(t *testing.T, configure func(*forwarder.Config)) *fixture {
	r := &resolver.Resolver{}
	r.Set(&resolver.Configuration{
		Version: 1, Limits: resolver.Limits{BodyBytes: 1000},
		Routes: []resolver.Route{
			{Name: "guides", Host: "127.0.0.1", Prefix: "/stream/", Kind: resolver.KindStream, Resumable: true, Timeout: 2 * time.Second, LatencyGoal: time.Second, MaxAttempts: 2, Shares: share("s")},
			{Name: "holds", Host: "127.0.0.1", Prefix: "/hold/", Timeout: 2 * time.Second, MaxAttempts: 1, Shares: share("s")},
			{Name: "lookups", Host: "127.0.0.1", Prefix: "/look/", Kind: resolver.KindIdempotent, Timeout: 2 * time.Second, MaxAttempts: 2, Shares: share("s")},
		},
		Accounts: []resolver.Account{{Name: "observatory", Keys: []string{"k1"}}},
	})
	cfg := forwarder.Config{
		Resolver: r, Requester: requester.New(requester.Config{IdentityHeader: "Id"}), Dialect: dialect{},
		Scheduler: scheduler.Config{MaxTargetWait: 200 * time.Millisecond, RetrySlack: 100, FirstStart: true},
	}
	configure(&cfg)
	f := forwarder.New(cfg)
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return &fixture{t: t, f: f, server: s}
}

func share(s identifier.Service) []resolver.Share { return []resolver.Share{{Service: s, Weight: 1}} }

// add starts an endpoint that answers with h. It returns the counter of the requests that the endpoint received.
func (x *fixture) add(h http.HandlerFunc) *atomic.Int32 {
	count := &atomic.Int32{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		h(w, r)
	}))
	x.t.Cleanup(s.Close)
	x.addAddress(s.Listener.Addr().String())
	return count
}

func (x *fixture) addAddress(address string) {
	id := identifier.Endpoint(fmt.Sprintf("e%d", len(x.targets)))
	x.targets = append(x.targets, scheduler.Target{ID: id, Pool: "s", Address: netip.MustParseAddrPort(address), Slots: 8})
	x.f.ChangeTargets(scheduler.TargetsChanged{Complete: true, Changed: x.targets})
}

// raw starts an endpoint that answers each request with the bytes that answer returns for its ID.
func (x *fixture) raw(answer func(id string) string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.WriteString(conn, answer(r.Header.Get("Id"))); err != nil {
						return
					}
				}
			}()
		}
	}()
	x.addAddress(l.Addr().String())
}

func (x *fixture) get(path string, header ...string) *http.Response {
	x.t.Helper()
	r, err := http.NewRequest(http.MethodGet, x.server.URL+path, nil)
	if err != nil {
		x.t.Fatal(err)
	}
	r.Header.Set("Id", "try-1")
	r.Header.Set("Key", "k1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func body(resp *http.Response) string {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(text) + "|" + err.Error()
	}
	return string(text)
}

// events writes the events after the caller's last event up to event n. It then ends the
// stream, or aborts it within a further event if breakOff is set.
func events(w http.ResponseWriter, r *http.Request, n int, breakOff bool) {
	last := -1
	if text := r.Header.Get("Last-Event"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Signature", r.Header.Get("Endpoint"))
	for id := last + 1; id <= n; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %c\n\n", id, 'a'+id)
		_ = http.NewResponseController(w).Flush()
	}
	if breakOff {
		_, _ = io.WriteString(w, "id: 99\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
