package forwarder_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
)

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
