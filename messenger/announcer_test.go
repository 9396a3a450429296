package messenger_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/quarantiner"
)

// TestAnnounceAgainAfterFailure announces losses while a peer refuses the first exchange. The
// peer must receive the newest report of each fingerprint, and the other peer must not wait.
func TestAnnounceAgainAfterFailure(t *testing.T) {
	is := is.New(t)
	received := map[identifier.Instance]chan quarantiner.Report{"alpine-1": make(chan quarantiner.Report, 8), "marfa-1": make(chan quarantiner.Report, 8)}
	var peers messenger.Peers
	var failures atomic.Int32
	failures.Store(1)
	for name, reports := range received {
		answering := messenger.New(messenger.Config{Peers: &messenger.Peers{}, OnLosses: func(r quarantiner.Report) { reports <- r }})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if name == "marfa-1" && failures.Add(-1) >= 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			answering.Handler().ServeHTTP(w, r)
		}))
		t.Cleanup(s.Close)
		peers.Set(messenger.Peer{Instance: name, Address: netip.MustParseAddrPort(s.Listener.Addr().String())})
	}
	unacknowledged := make(chan identifier.Fingerprint, 8)
	m := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient, OnUnacknowledged: func(fp identifier.Fingerprint) { unacknowledged <- fp }})
	want := quarantiner.Report{Fingerprint: 7, Kind: quarantiner.KindPart, Part: "5c1e07a2", Losses: []identifier.Process{{Endpoint: "e1", Start: 3}}}
	m.Announce(want)
	is.Equal(<-received["alpine-1"], want)
	is.Equal(<-received["marfa-1"], want)
	is.Equal(<-unacknowledged, identifier.Fingerprint(7))
	cleared := quarantiner.Report{Fingerprint: 7, Cleared: true}
	m.Announce(cleared)
	is.Equal(<-received["alpine-1"], cleared)
	is.Equal(<-received["marfa-1"], cleared)
}

// TestAnnouncementsShareExchanges checks that the losses of many endpoints that end within an interval
// reach a peer in two exchanges, not one by one: with hundreds of instances, each of which announces
// to each, an exchange for each loss would take their processors just when they are needed.
func TestAnnouncementsShareExchanges(t *testing.T) {
	is := is.New(t)
	const losses = 500
	var exchanges atomic.Int32
	received := make(chan quarantiner.Report, losses)
	answering := messenger.New(messenger.Config{Peers: &messenger.Peers{}, OnLosses: func(r quarantiner.Report) { received <- r }})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		exchanges.Add(1)
		answering.Handler().ServeHTTP(w, r)
	}))
	defer s.Close()
	var peers messenger.Peers
	peers.Set(messenger.Peer{Instance: "alpine-1", Address: netip.MustParseAddrPort(s.Listener.Addr().String())})
	m := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient, AnnounceInterval: 2 * time.Second})
	for fp := range losses {
		m.Announce(quarantiner.Report{Fingerprint: identifier.Fingerprint(fp + 1), Losses: []identifier.Process{{Endpoint: "e1", Start: 3}}})
	}
	for range losses {
		<-received
	}
	is.True(exchanges.Load() <= 2)
}
