package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
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
	stopping.f.Drain(forwarder.Stop{})
	for range 10 {
		is.Equal(fl.get("/hold/2").StatusCode, http.StatusOK)
	}
	is.True(stopping.requests.Load() <= 2) // the one that runs, and one that is refused
	close(goOn)
	is.Equal(<-statuses, http.StatusOK)
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
