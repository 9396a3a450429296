package messenger_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/keeper"
	"amaranthmill/messenger"
	"amaranthmill/replicator"
)

var errStale = errors.New("stale")

// start serves a Messenger whose replica stands at revision 9 and whose reports are of e1 only.
func start(t *testing.T, name identifier.Instance, domain identifier.FailureDomain, stalled chan identifier.Endpoint) messenger.Peer {
	i := messenger.New(messenger.Config{
		Peers: &messenger.Peers{},
		Watch: func(_ context.Context, after uint64, _ time.Duration) (keeper.Changes, error) {
			if after < 5 {
				return keeper.Changes{}, errStale
			}
			return keeper.Changes{Revision: 9, Entries: []keeper.Change{{Entry: keeper.Entry{Key: "a", Value: []byte("x"), Revision: 8}}, {Entry: keeper.Entry{Key: "b", Revision: 9}, Deleted: true}}}, nil
		},
		UpdateSince: func(after uint64) replicator.Update {
			if after >= 9 {
				return replicator.Update{}
			}
			return replicator.Update{Revision: 9, Entries: []keeper.Change{{Entry: keeper.Entry{Key: "a", Value: []byte("x"), Revision: 8}}}}
		},
		Report: func(_ context.Context, id identifier.Endpoint) (groupformer.Reported, error) {
			if id != "e1" {
				return groupformer.Reported{}, errors.New("not in reach")
			}
			return groupformer.Reported{ID: id, AcceptedOrders: 3, Endpoint: endpointlister.Endpoint{ProcessStart: 7, Membership: endpointlister.Membership{Group: "g", Epoch: 2, State: endpointlister.MemberOpen}}}, nil
		},
		OnStalled: func(head identifier.Endpoint) { stalled <- head }, HTTP: http.DefaultClient,
	})
	s := httptest.NewServer(i.Handler())
	t.Cleanup(s.Close)
	return messenger.Peer{Instance: name, FailureDomain: domain, Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

// TestExchanges holds what instances tell each other.
func TestExchanges(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	stalled := make(chan identifier.Endpoint, 4)
	var peers messenger.Peers
	peers.Set(start(t, "alpine-1", "alpine", stalled))
	peers.Set(start(t, "marfa-1", "marfa", stalled))
	i := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient})

	is.Equal(i.FetchUpdate(ctx, 4).Revision, uint64(9))
	is.Equal(i.FetchUpdate(ctx, 9).Revision, uint64(0))

	alpine, ok := peers.Find("alpine-1")
	is.True(ok)
	changes, err := i.WatchPeer(ctx, alpine, 7)
	is.NoErr(err)
	is.Equal(changes.Revision, uint64(9))
	is.True(changes.Entries[1].Deleted)
	_, err = i.WatchPeer(ctx, alpine, 4)
	var status *messenger.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusServiceUnavailable)

	seen := i.RequestReports(ctx, "e1")
	is.True(seen.Received)
	is.Equal(seen.Report.AcceptedOrders, uint64(3))
	is.Equal(seen.Report.Endpoint.Membership.State, endpointlister.MemberOpen)
	missed := i.RequestReports(ctx, "e2")
	is.True(!missed.Received)
	is.Equal(len(missed.UnreachableFrom), 2)

	i.NotifyStalled(ctx, "marfa-1", "e1")
	is.Equal(<-stalled, identifier.Endpoint("e1"))
	is.Equal(len(stalled), 0) // only the instance that forms groups is told
	i.NotifyStalled(ctx, "", "e2")
	is.Equal(<-stalled, identifier.Endpoint("e2"))
	is.Equal(<-stalled, identifier.Endpoint("e2"))
	peers.Remove("alpine-1")
	is.Equal(len(peers.All()), 1)
}
