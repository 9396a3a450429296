package messenger_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/replicator"
	"amaranthmill/scheduler"
	"amaranthmill/storeclient"
)

var errStale = errors.New("stale")

// start serves a Messenger whose replica is at revision 9 and which can reach only endpoint e1.
func start(t *testing.T, name identifier.Instance, domain identifier.FailureDomain, stalled chan identifier.Endpoint) messenger.Peer {
	m := messenger.New(messenger.Config{
		Peers: &messenger.Peers{},
		Watch: func(_ context.Context, after uint64, _ time.Duration) (replicator.PeerChanges, error) {
			if after < 5 {
				return replicator.PeerChanges{}, errStale
			}
			return replicator.PeerChanges{Age: 40 * time.Millisecond, Changes: storeclient.Changes{Era: 3, Revision: 9, Entries: []storeclient.Change{{Entry: storeclient.Entry{Key: "a", Value: []byte("x"), Revision: 8}}, {Entry: storeclient.Entry{Key: "b", Revision: 9}, Deleted: true}}}}, nil
		},
		UpdateSince: func(after uint64) replicator.Update {
			if after >= 9 {
				return replicator.Update{IsInContact: true, ContactTime: 9 * time.Second, AnswerAge: 20 * time.Millisecond}
			}
			return replicator.Update{Era: 3, Revision: 9, Entries: []storeclient.Change{{Entry: storeclient.Entry{Key: "a", Value: []byte("x"), Revision: 8}}}}
		},
		Report: func(_ context.Context, id identifier.Endpoint) (groupformer.Reported, error) {
			if id != "e1" {
				return groupformer.Reported{}, errors.New("unreachable")
			}
			return groupformer.Reported{ID: id, AcceptedOrders: 3, Endpoint: endpointlister.Endpoint{ProcessStart: 7, Membership: endpointlister.Membership{Group: "g", Epoch: 2, State: endpointlister.MemberOpen}}}, nil
		},
		OnLeaving: func(p identifier.Process) { stalled <- p.Endpoint }, OnStalled: func(head identifier.Endpoint) { stalled <- head }, HTTP: http.DefaultClient,
	})
	s := httptest.NewServer(m.Handler())
	t.Cleanup(s.Close)
	return messenger.Peer{Instance: name, FailureDomain: domain, Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

// TestPeerThatHasJustReturnedIsNotAskedAgain guards against an instance that asks one peer again and again
// which has itself just returned, and so takes the peer's return for that of the store.
func TestPeerThatHasJustReturnedIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	var peers messenger.Peers
	contact := map[identifier.Instance]time.Duration{"alpine-1": 100 * time.Millisecond, "alpine-2": 200 * time.Millisecond, "marfa-1": 300 * time.Millisecond, "marfa-2": time.Minute}
	for name, contactTime := range contact {
		m := messenger.New(messenger.Config{UpdateSince: func(uint64) replicator.Update {
			return replicator.Update{IsInContact: true, ContactTime: contactTime}
		}})
		s := httptest.NewServer(m.Handler())
		t.Cleanup(s.Close)
		domain, _, _ := strings.Cut(string(name), "-")
		peers.Set(messenger.Peer{Instance: name, FailureDomain: identifier.FailureDomain(domain), Address: netip.MustParseAddrPort(s.Listener.Addr().String())})
	}
	m := messenger.New(messenger.Config{Instance: "alpine-3", FailureDomain: "alpine", Peers: &peers, HTTP: http.DefaultClient})
	var longest time.Duration
	for range contact {
		longest = max(longest, m.FetchUpdate(t.Context(), 4).ContactTime)
	}
	is.Equal(longest, time.Minute)                                   // each peer was queried until one had it
	is.Equal(m.FetchUpdate(t.Context(), 4).ContactTime, time.Minute) // and that one is queried again
}

// TestExchanges checks each exchange between instances.
func TestExchanges(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	stalled := make(chan identifier.Endpoint, 4)
	var peers messenger.Peers
	peers.Set(start(t, "alpine-1", "alpine", stalled))
	peers.Set(start(t, "marfa-1", "marfa", stalled))
	m := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient})

	update := m.FetchUpdate(ctx, 4)
	is.Equal(update.Revision, uint64(9))
	is.Equal(update.Era, storeclient.Era(3))
	is.Equal(m.FetchUpdate(ctx, 9), replicator.Update{Peer: "alpine-1", IsInContact: true, ContactTime: 9 * time.Second, AnswerAge: 20 * time.Millisecond})

	alpine, ok := peers.Find("alpine-1")
	is.True(ok)
	changes, err := m.WatchPeer(ctx, alpine, 7)
	is.NoErr(err)
	is.Equal(changes.Revision, uint64(9))
	is.Equal(changes.Era, storeclient.Era(3))
	is.Equal(changes.Age, 40*time.Millisecond)
	is.True(changes.Entries[1].Deleted)
	_, err = m.WatchPeer(ctx, alpine, 4)
	var status *messenger.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusServiceUnavailable)

	reached := m.RequestReports(ctx, "e1", "alpine")
	is.True(reached.Received)
	is.Equal(reached.Report.AcceptedOrders, uint64(3))
	is.Equal(reached.Report.Endpoint.Membership.State, endpointlister.MemberOpen)
	unreached := m.RequestReports(ctx, "e2", "alpine")
	is.True(!unreached.Received)
	is.Equal(len(unreached.UnreachableFrom), 2)

	m.NotifyStalled(ctx, "marfa-1", "e1")
	is.Equal(<-stalled, identifier.Endpoint("e1"))
	is.Equal(len(stalled), 0) // only the instance that forms groups is notified
	m.NotifyStalled(ctx, "", "e2")
	is.Equal(<-stalled, identifier.Endpoint("e2"))
	is.Equal(<-stalled, identifier.Endpoint("e2"))
	m.NotifyLeaving(ctx, "marfa-1", identifier.Process{Endpoint: "e3", Start: 7})
	is.Equal(<-stalled, identifier.Endpoint("e3"))
	is.Equal(len(stalled), 0)
	peers.Remove("alpine-1")
	is.Equal(len(peers.All()), 1)
}

// TestLimitNewsIsExchanged checks that two instances tell each other what they know about the limits of
// endpoints, with the age of the news as of the exchange, and that malformed news is left out.
func TestLimitNewsIsExchanged(t *testing.T) {
	is := is.New(t)
	process := func(id string) identifier.Process {
		return identifier.Process{Endpoint: identifier.Endpoint(id), Start: 7}
	}
	received := make(chan []scheduler.LimitNews, 2)
	onLimits := func(news []scheduler.LimitNews) { received <- news }
	other := messenger.New(messenger.Config{Peers: &messenger.Peers{}, HTTP: http.DefaultClient, OnLimits: onLimits})
	s := httptest.NewServer(other.Handler())
	defer s.Close()
	known := scheduler.LimitNews{Process: process("e1"), PerSecond: 2.5, Age: time.Second}
	other.ExchangeLimits(t.Context(), []scheduler.LimitNews{known}) // it has no peers
	var peers messenger.Peers
	peers.Set(messenger.Peer{Instance: "alpine-1", FailureDomain: "alpine", Address: netip.MustParseAddrPort(s.Listener.Addr().String())})
	m := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient, OnLimits: onLimits})
	ended := scheduler.LimitNews{Process: process("e2")}
	m.ExchangeLimits(t.Context(), []scheduler.LimitNews{ended, {Process: process("e3"), PerSecond: -1}, {Process: process("e4"), Age: -time.Second}})
	is.Equal(<-received, []scheduler.LimitNews{ended})
	answer := <-received
	is.Equal(len(answer), 1)
	is.Equal(answer[0].Process, known.Process)
	is.Equal(answer[0].PerSecond, known.PerSecond)
	is.True(answer[0].Age >= known.Age)
}

// TestQueriedPeersTellLimits checks that an instance which knows no limits is told those that its peers know: one that has just started
// has nothing to exchange, and sent requests beyond limits that all others knew.
func TestQueriedPeersTellLimits(t *testing.T) {
	is := is.New(t)
	received := make(chan []scheduler.LimitNews, 2)
	other := messenger.New(messenger.Config{Peers: &messenger.Peers{}, HTTP: http.DefaultClient, OnLimits: func([]scheduler.LimitNews) {}})
	s := httptest.NewServer(other.Handler())
	defer s.Close()
	known := scheduler.LimitNews{Process: identifier.Process{Endpoint: "e1", Start: 7}, PerSecond: 15, Source: scheduler.LimitColdRestored, ColdFor: time.Minute}
	other.ExchangeLimits(t.Context(), []scheduler.LimitNews{known}) // it has no peers
	var peers messenger.Peers
	peers.Set(messenger.Peer{Instance: "alpine-1", FailureDomain: "alpine", Address: netip.MustParseAddrPort(s.Listener.Addr().String())})
	peers.Set(messenger.Peer{Instance: "alpine-2", FailureDomain: "alpine", Address: netip.MustParseAddrPort("127.0.0.1:1")}) // is gone
	m := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient, OnLimits: func(news []scheduler.LimitNews) { received <- news }})
	m.QueryLimits(t.Context())
	is.Equal(len(received), 1)
	answer := <-received
	is.Equal(len(answer), 1)
	is.Equal(answer[0].Process, known.Process)
	is.Equal(answer[0].Source, known.Source)
	is.True(answer[0].ColdFor > 0 && answer[0].ColdFor <= known.ColdFor)
}

// TestEndlessAnswersOfPeers checks that an answer of a peer without end is given up after a bound of
// bytes or the exchange's timeout, and that the connection is closed.
func TestEndlessAnswersOfPeers(t *testing.T) {
	is := is.New(t)
	running := &atomic.Int32{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		for block := `{"entries":[{"key":"` + strings.Repeat("x", 32<<10); ; {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	var peers messenger.Peers
	peer := messenger.Peer{Instance: "alpine-1", FailureDomain: "alpine", Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
	peers.Set(peer)
	m := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient})
	is.Equal(m.FetchUpdate(t.Context(), 4).Revision, uint64(0))
	_, err := m.WatchPeer(t.Context(), peer, 4)
	is.True(err != nil)
	is.True(!m.RequestReports(t.Context(), "e1", "alpine").Received)
	for end := time.Now().Add(10 * time.Second); running.Load() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // all connections are closed
	}
}
