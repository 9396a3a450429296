package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// hopField is the header field of the exchanges between instances.
const hopField = "Amaranthmill-Hop"

// fleet is an instance whose connections to endpoints are refused, with peers that reach theirs.
type fleet struct {
	*fixture
	peers map[identifier.Instance]*peerInstance
	left  chan identifier.Process // processes that have said to the instance that they leave
}

// peerInstance is a peer with the server on which it answers the other instances.
type peerInstance struct {
	*fixture
	server   *httptest.Server
	requests atomic.Int32
}

// newFleet returns a fleet in which the instance has endpoints that refuse connections, and n peers without
// endpoints.
func newFleet(t *testing.T, n int) *fleet {
	fl := &fleet{peers: map[identifier.Instance]*peerInstance{}, left: make(chan identifier.Process, 4)}
	instances := []scheduler.Instance{{Name: "here"}}
	for i := range n {
		name := identifier.Instance(fmt.Sprintf("peer-%d", i+1))
		instances = append(instances, scheduler.Instance{Name: name})
		fl.peers[name] = newPeer(t, name)
	}
	fl.fixture = newFixtureWith(t, func(cfg *forwarder.Config) {
		cfg.Scheduler.Instance = "here"
		cfg.PeerAddress = fl.address
		cfg.OnLeaving = func(p identifier.Process) { fl.left <- p }
	})
	for range 4 {
		fl.addAddress(unusedAddress(t))
	}
	fl.f.SetInstances(instances)
	return fl
}

func newPeer(t *testing.T, name identifier.Instance) *peerInstance {
	p := &peerInstance{fixture: newFixtureWith(t, func(cfg *forwarder.Config) { cfg.Scheduler.Instance = name })}
	h := p.f.PeerHandler(http.NotFoundHandler())
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.requests.Add(1)
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(p.server.Close)
	return p
}

func (fl *fleet) address(name identifier.Instance) (netip.AddrPort, bool) {
	p := fl.peers[name]
	if p == nil {
		return netip.AddrPort{}, false
	}
	return netip.MustParseAddrPort(p.server.Listener.Addr().String()), true
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// signed answers with a text under the endpoint's signature.
func signed(w http.ResponseWriter, text string) {
	w.Header().Set("Signature", "s")
	_, _ = io.WriteString(w, text)
}

// TestRefusedConnectionsGoThroughPeer guards against callers who are not served because new connections
// from their instance to all endpoints are refused. From the first request on, each is served through
// a peer, unchanged, and runs once.
func TestRefusedConnectionsGoThroughPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 1)
	peer := fl.peers["peer-1"]
	var mu sync.Mutex
	runs := map[string]int{}
	peer.add(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		is.NoErr(err)
		mu.Lock()
		runs[r.Header.Get("Id")]++
		mu.Unlock()
		is.Equal(r.Header.Get(hopField), "")
		is.Equal(r.Header.Get("Key"), "")
		is.Equal(r.Header.Get("Account"), "observatory")
		is.Equal(r.Header.Get("Endpoint"), "e0")
		left, err := strconv.Atoi(r.Header.Get("Left"))
		is.NoErr(err)
		is.True(left > 0 && left <= 1500) // milliseconds
		signed(w, r.Method+" "+r.RequestURI+" "+r.Host+" "+r.Header.Get("X-Other")+" "+string(text))
	})
	const requests = 60
	for n := range requests {
		path := [...]string{"/hold/%2e/7?a=b%20c&&", "/look/7"}[n%2]
		r, err := http.NewRequest(http.MethodPost, fl.fixture.server.URL+path, strings.NewReader(fmt.Sprintf("body %d", n)))
		is.NoErr(err)
		for name, value := range map[string]string{"Id": fmt.Sprint("r", n), "Key": "k1", "Timeout": "1500", "X-Other": "o"} {
			r.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body(resp), fmt.Sprintf("POST %s %s o body %d", path, r.URL.Host, n))
		is.Equal(resp.Header.Get("Signature"), "s")
		is.Equal(resp.Header.Get(hopField), "")
		_ = resp.Body.Close()
	}
	is.Equal(len(runs), requests)
	for _, n := range runs {
		is.Equal(n, 1)
	}
}

// TestStreamThroughPeer checks that the events of a stream come through a peer one by one, and that it resumes
// after the caller's last event.
func TestStreamThroughPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 1)
	goOn := make(chan struct{})
	fl.peers["peer-1"].add(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Last-Event"), "4")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Signature", "s")
		writeEvent(w, 5)
		<-goOn
		writeEvent(w, 6)
	})
	resp := fl.get("/stream/x", "Last-Event", "4")
	in := bufio.NewReader(resp.Body)
	line, err := in.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "id: 5\n")
	close(goOn)
	rest, err := io.ReadAll(in)
	is.NoErr(err)
	is.Equal(string(rest), "data: f\n\nid: 6\ndata: g\n\n")
}

// TestStreamOutlastsReadTimeoutOfPeer checks that the time in which a request must arrive at a peer does not bound its answer, with and without
// a body.
func TestStreamOutlastsReadTimeoutOfPeer(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			fl := newFleet(t, 1)
			peer := fl.peers["peer-1"]
			peer.server.Close()
			peer.server = httptest.NewUnstartedServer(peer.f.PeerHandler(http.NotFoundHandler()))
			peer.server.Config.ReadTimeout = 100 * time.Millisecond
			peer.server.Start()
			t.Cleanup(peer.server.Close)
			peer.add(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Signature", "s")
				for id := range 5 {
					writeEvent(w, id)
					select {
					case <-r.Context().Done():
						return
					case <-time.After(peer.server.Config.ReadTimeout):
					}
				}
			})
			r, err := http.NewRequest(method, fl.fixture.server.URL+"/stream/x", strings.NewReader("body"))
			is.NoErr(err)
			if method == http.MethodGet {
				r.Body, r.ContentLength = nil, 0
			}
			r.Header.Set("Id", "r1")
			r.Header.Set("Key", "k1")
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(strings.Count(string(text), "id: "), 5)
		})
	}
}

// TestStreamGoesOnThroughOtherPeer checks that a stream whose peer vanishes goes on through another one after the
// caller's last event.
func TestStreamGoesOnThroughOtherPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 2)
	begun := make(chan *peerInstance, 1)
	for _, p := range fl.peers {
		p.add(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event") == "1" {
				events(w, r, 3, false)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Signature", "s")
			writeEvent(w, 0)
			writeEvent(w, 1)
			begun <- p
			<-r.Context().Done()
		})
	}
	resp := fl.get("/stream/x")
	in := bufio.NewReader(resp.Body)
	for range 6 {
		_, err := in.ReadString('\n')
		is.NoErr(err)
	}
	(<-begun).server.CloseClientConnections()
	rest, err := io.ReadAll(in)
	is.NoErr(err)
	is.Equal(string(rest), "id: 2\ndata: c\n\nid: 3\ndata: d\n\n")
}

// TestCallerThatLeavesReachesEndpointThroughPeer checks that the endpoint is told within half a second when the
// caller of a request leaves that went through a peer.
func TestCallerThatLeavesReachesEndpointThroughPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 1)
	begun, canceled := make(chan struct{}), make(chan time.Time, 1)
	fl.peers["peer-1"].add(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		canceled <- time.Now()
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, fl.fixture.server.URL+"/look/7", nil)
		if err != nil {
			return
		}
		r.Header.Set("Key", "k1")
		_, _ = http.DefaultClient.Do(r)
	}()
	<-begun
	left := time.Now()
	leave()
	is.True((<-canceled).Sub(left) < cancelLimit)
}

// TestOutcomeOfBrokenPeer checks what callers are told when the exchange with a peer breaks: a request that may
// have run is never called not run, and one that may run once only runs once. The requests that may
// run twice are served by another peer.
func TestOutcomeOfBrokenPeer(t *testing.T) {
	for path, wantStatus := range map[string]int{"/hold/7": http.StatusBadGateway, "/look/7": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			fl := newFleet(t, 2)
			var runs atomic.Int32
			for _, p := range fl.peers {
				p.add(func(w http.ResponseWriter, _ *http.Request) {
					if runs.Add(1) == 1 {
						p.server.CloseClientConnections()
						return
					}
					signed(w, "ok")
				})
			}
			resp := fl.get(path)
			is.Equal(resp.StatusCode, wantStatus)
			is.Equal(runs.Load() > 1, wantStatus == http.StatusOK)
		})
	}
}

// TestPeerCutOffTooIsNotAskedOnward checks that a request goes through one peer at most: the peers, which reach no
// endpoint either, send it nowhere, and it is refused as not run.
func TestPeerCutOffTooIsNotAskedOnward(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 2)
	for _, p := range fl.peers {
		p.addAddress(unusedAddress(t))
		p.f.SetInstances([]scheduler.Instance{{Name: "here"}, {Name: "peer-1"}, {Name: "peer-2"}})
	}
	resp := fl.get("/hold/7")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	for _, p := range fl.peers {
		is.Equal(p.requests.Load(), int32(1))
	}
}

// TestEndpointErrorThroughPeer checks that an endpoint's own error comes through two peers, with its signature, and
// that no endpoint gets the request twice.
func TestEndpointErrorThroughPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 1)
	var counts []*atomic.Int32
	for range 2 {
		counts = append(counts, fl.peers["peer-1"].add(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signature", "s")
			w.WriteHeader(http.StatusInternalServerError)
		}))
	}
	resp := fl.get("/look/7")
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.Equal(resp.Header.Get("Signature"), "s")
	is.Equal(resp.Header.Get(hopField), "")
	for _, c := range counts {
		is.Equal(c.Load(), int32(1))
	}
}

// TestStatementThroughPeer checks that an instance which passes on an answer that came through a peer learns what the
// endpoint's process says in it: it is bound by that as by an answer of its own.
func TestStatementThroughPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 1)
	fl.peers["peer-1"].add(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
		signed(w, "ok")
	})
	is.Equal(fl.get("/hold/7").StatusCode, http.StatusOK)
	is.Equal((<-fl.left).Endpoint, identifier.Endpoint("e0"))
}

// TestStoppingPeerServesNoNewRequests checks that a peer that stops completes what it has, and refuses requests of other
// instances as not run, so that they go elsewhere.
func TestStoppingPeerServesNoNewRequests(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 2)
	begun, goOn := make(chan *peerInstance, 1), make(chan struct{})
	var first atomic.Bool
	for _, p := range fl.peers {
		p.add(func(w http.ResponseWriter, _ *http.Request) {
			if first.CompareAndSwap(false, true) {
				begun <- p
				<-goOn
			}
			signed(w, "ok")
		})
	}
	statuses := make(chan int, 1)
	go func() { statuses <- fl.get("/hold/1").StatusCode }()
	stopping := <-begun
	stopping.f.Drain()
	for range 10 {
		is.Equal(fl.get("/hold/2").StatusCode, http.StatusOK)
	}
	is.True(stopping.requests.Load() <= 2) // the one that runs, and one that is refused
	close(goOn)
	is.Equal(<-statuses, http.StatusOK)
}

// TestMalformedRequestsOfPeers checks that requests which are none of an instance get an error that names the fault, and
// that nothing runs them.
func TestMalformedRequestsOfPeers(t *testing.T) {
	const valid = `{"from":"here","kind":"idempotent","service":"s","pool":"s","left":"1s","age":"0s","lastEvent":-1}`
	for name, tc := range map[string]struct {
		hop, header string
		size        int
		wantStatus  int
		want        string
	}{
		"no JSON":        {hop: "x", wantStatus: 400, want: "no JSON object"},
		"no instance":    {hop: `{"kind":"stream"}`, wantStatus: 400, want: `lacks \"from\"`},
		"unknown kind":   {hop: `{"from":"here","kind":"any"}`, wantStatus: 400, want: `unknown kind`},
		"no pool":        {hop: `{"from":"here","kind":"stream","service":"s"}`, wantStatus: 400, want: "pool"},
		"no time":        {hop: `{"from":"here","kind":"stream","service":"s","pool":"s"}`, wantStatus: 400, want: "left"},
		"malformed time": {hop: strings.Replace(valid, "1s", "soon", 1), wantStatus: 400, want: "no JSON object"},
		"two keys":       {hop: valid, header: "Key", wantStatus: 400, want: "stands more than once"},
		"body too large": {hop: valid, size: 2000, wantStatus: 413, want: "too large"},
		"valid":          {hop: valid, wantStatus: 200, want: "ran"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, "peer-1")
			runs := p.add(func(w http.ResponseWriter, _ *http.Request) { signed(w, "ran") })
			r, err := http.NewRequest(http.MethodPost, p.server.URL+"/look/7", strings.NewReader(strings.Repeat("x", tc.size)))
			is.NoErr(err)
			r.Header.Set(hopField, tc.hop)
			r.Header.Set("Id", "r1")
			if tc.header != "" {
				r.Header[tc.header] = []string{"a", "b"}
			}
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, tc.wantStatus)
			is.True(strings.Contains(body(resp), tc.want))
			is.Equal(runs.Load() == 1, tc.wantStatus == http.StatusOK)
		})
	}
}

// TestForeignAnswerOfPeer checks that an answer which is none of an instance is never passed on, and that its request
// counts as one that may have run.
func TestForeignAnswerOfPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 1)
	foreign := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		signed(w, "foreign")
	}))
	defer foreign.Close()
	fl.peers["peer-1"].server.Close()
	fl.peers["peer-1"].server = foreign
	resp := fl.get("/hold/7")
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.True(!strings.Contains(body(resp), "foreign"))
}

// TestPeerOfOlderVersionRefuses guards against requests that are lost while the instances are upgraded: a peer that does not
// know the exchange answers 404 without its field. Nothing has run, and another peer serves the request.
func TestPeerOfOlderVersionRefuses(t *testing.T) {
	for olderName, newerName := range map[identifier.Instance]identifier.Instance{"peer-1": "peer-2", "peer-2": "peer-1"} {
		t.Run(string(olderName), func(t *testing.T) {
			is := is.New(t)
			fl := newFleet(t, 2)
			older := httptest.NewServer(http.NewServeMux())
			defer older.Close()
			fl.peers[olderName].server.Close()
			fl.peers[olderName].server = older
			runs := fl.peers[newerName].add(func(w http.ResponseWriter, _ *http.Request) { signed(w, "ok") })
			const requests = 12
			for n := range requests {
				is.Equal(fl.get(fmt.Sprint("/hold/", n)).StatusCode, http.StatusOK)
			}
			is.Equal(runs.Load(), int32(requests))
		})
	}
}

// TestCallersCannotSpeakAsPeers checks that the field of the exchanges between instances has no effect on the address of
// callers, and does not reach endpoints.
func TestCallersCannotSpeakAsPeers(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.add(func(w http.ResponseWriter, r *http.Request) { signed(w, r.Header.Get(hopField)+"ran") })
	hop := `{"from":"here","kind":"idempotent","service":"s","pool":"s","left":"1s","age":"0s"}`
	is.Equal(body(x.get("/hold/7", hopField, hop)), "ran")
	is.Equal(x.get("/hold/7", hopField, hop, "Key", "k2").StatusCode, http.StatusUnauthorized)
}
