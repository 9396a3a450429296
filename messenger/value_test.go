package messenger_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/differ"
	"amaranthmill/messenger"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// largeValue returns a version of a large value.
func largeValue(version int) []byte {
	var b bytes.Buffer
	for i := range 1640 {
		fmt.Fprintf(&b, "route %d of host h%d, ", i, i*7919%997)
	}
	fmt.Fprintf(&b, "version %d", version)
	return b.Bytes()
}

// valueInstance is an instance whose replica holds the value of key "config" at revisions 8 and 9.
type valueInstance struct {
	mu        sync.Mutex
	transfers []messenger.ValueTransfer
	corrupt   func(w http.ResponseWriter, r *http.Request, next http.Handler) // nil for none
}

func (s *valueInstance) start(t *testing.T) messenger.Peer {
	versions := map[uint64][]byte{8: largeValue(8), 9: largeValue(9)}
	watch := func(references bool) func(context.Context, uint64, time.Duration) (replicator.PeerChanges, error) {
		return func(_ context.Context, _ uint64, wait time.Duration) (replicator.PeerChanges, error) {
			c := replicator.PeerChanges{Changes: storeclient.Changes{Revision: 10, Entries: []storeclient.Change{{Entry: storeclient.Entry{Key: "a", Value: []byte(wait.String()), Revision: 10}}}}}
			if references {
				c.References = []replicator.Reference{{Key: "config", Revision: 9, Size: len(versions[9])}}
			} else {
				c.Entries = append(c.Entries, storeclient.Change{Entry: storeclient.Entry{Key: "config", Value: versions[9], Revision: 9}})
			}
			return c, nil
		}
	}
	m := messenger.New(messenger.Config{
		Peers: &messenger.Peers{}, Watch: watch(false),
		UpdateSince: func(uint64) replicator.Update { return replicator.Update{Revision: 8} },
		OnTransfer: func(v messenger.ValueTransfer) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.transfers = append(s.transfers, v)
		},
		Values: messenger.Values{
			Watch: watch(true),
			UpdateWithReferences: func(uint64) replicator.Update {
				return replicator.Update{Revision: 10, References: []replicator.Reference{{Key: "config", Revision: 9, Size: 7}}}
			},
			Value: func(_ context.Context, r replicator.Reference, base uint64, _ time.Duration) (replicator.Value, error) {
				if r.Key != "config" || r.Revision > 9 {
					return replicator.Value{}, &replicator.MissingValueError{Key: r.Key, Revision: r.Revision, IsGone: r.Key != "config"}
				}
				v := replicator.Value{Version: replicator.Version{Entry: storeclient.Entry{Key: r.Key, Value: versions[9], Revision: 9}, Era: r.Era}}
				if old, ok := versions[base]; ok {
					v.Base, v.BaseRevision = old, base
				}
				return v, nil
			},
		},
	})
	handler := m.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.corrupt != nil && r.URL.Path == "/value" {
			s.corrupt(w, r, handler)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return messenger.Peer{Instance: "alpine-1", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// newFollower returns a messenger that asks for references, and the transfers that it reports.
func newFollower(peers *messenger.Peers) (*messenger.Messenger, *[]messenger.ValueTransfer) {
	var received []messenger.ValueTransfer
	return messenger.New(messenger.Config{
		Peers: peers, HTTP: http.DefaultClient, OnTransfer: func(v messenger.ValueTransfer) { received = append(received, v) },
		Values: messenger.Values{Value: func(context.Context, replicator.Reference, uint64, time.Duration) (replicator.Value, error) {
			return replicator.Value{}, &replicator.MissingValueError{}
		}},
	}), &received
}

// TestReferencesAndValues checks that a follower that knows references gets them, and the values whole or as the
// difference to the version that it holds, and that one that does not know them gets values in full.
func TestReferencesAndValues(t *testing.T) {
	is := is.New(t)
	var s valueInstance
	peer := s.start(t)
	var peers messenger.Peers
	peers.Set(peer)
	m, received := newFollower(&peers)
	changes, err := m.WatchPeer(t.Context(), peer, 7)
	is.NoErr(err)
	is.Equal(changes.References, []replicator.Reference{{Key: "config", Revision: 9, Size: len(largeValue(9))}})
	is.Equal(len(changes.Entries), 1)
	is.Equal(string(changes.Entries[0].Value), "1s")
	changes, err = m.WatchPeerFor(t.Context(), peer, 7, 250*time.Millisecond)
	is.NoErr(err)
	is.Equal(string(changes.Entries[0].Value), "250ms") // the peer holds the watch as long as it is asked to
	is.Equal(m.FetchUpdate(t.Context(), 7).References, []replicator.Reference{{Key: "config", Revision: 9, Size: 7}})

	old := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient})
	changes, err = old.WatchPeer(t.Context(), peer, 7)
	is.NoErr(err)
	is.Equal(len(changes.References), 0)
	is.True(bytes.Equal(changes.Entries[1].Value, largeValue(9)))
	is.Equal(old.FetchUpdate(t.Context(), 7).Revision, uint64(8))

	reference := replicator.Reference{Key: "config", Revision: 8}
	for _, base := range []storeclient.Entry{{}, {Key: "config", Value: largeValue(8), Revision: 8}, {Key: "config", Value: largeValue(3), Revision: 3}} {
		e, err := m.FetchValue(t.Context(), peer, reference, base)
		is.NoErr(err)
		is.Equal(e.Revision, uint64(9)) // a newer version than the one that was asked for
		is.True(bytes.Equal(e.Value, largeValue(9)))
	}
	is.Equal(len(*received), 3)
	is.True(!(*received)[0].Difference && (*received)[1].Difference && !(*received)[2].Difference) // the server does not have revision 3
	is.True((*received)[1].Bytes < (*received)[0].Bytes)
	is.Equal(len(s.transfers), 3)
	is.True(s.transfers[1].Sent && s.transfers[1].Difference)

	var status *messenger.StatusError
	_, err = m.FetchValue(t.Context(), peer, replicator.Reference{Key: "config", Revision: 10}, storeclient.Entry{})
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusServiceUnavailable) // the peer does not have it yet
	_, err = m.FetchValue(t.Context(), peer, replicator.Reference{Key: "gone", Revision: 9}, storeclient.Entry{})
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusNotFound)
}

// TestValueNamesItsEra checks that a peer is asked for a value in an era and names the era of its answer. Without it, a value
// of an earlier era would be taken for one of the present era.
func TestValueNamesItsEra(t *testing.T) {
	is := is.New(t)
	var asked storeclient.Era
	m := messenger.New(messenger.Config{Peers: &messenger.Peers{}, Values: messenger.Values{
		Value: func(_ context.Context, r replicator.Reference, _ uint64, _ time.Duration) (replicator.Value, error) {
			asked = r.Era
			return replicator.Value{Version: replicator.Version{Entry: storeclient.Entry{Key: r.Key, Value: largeValue(9), Revision: 9}, Era: 3}}, nil
		},
	}})
	isOld := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isOld {
			w = headerless{w}
		}
		m.Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	peer := messenger.Peer{Instance: "alpine-1", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	follower, _ := newFollower(&messenger.Peers{})
	v, err := follower.FetchValue(t.Context(), peer, replicator.Reference{Key: "config", Era: 2, Revision: 9}, storeclient.Entry{})
	is.NoErr(err)
	is.Equal(asked, storeclient.Era(2))
	is.Equal(v.Era, storeclient.Era(3))

	isOld = true
	v, err = follower.FetchValue(t.Context(), peer, replicator.Reference{Key: "config", Era: 2, Revision: 9}, storeclient.Entry{})
	is.NoErr(err)
	is.Equal(v.Era, storeclient.Era(0)) // not known
}

// headerless writes answers as a version does that names no era of a value.
type headerless struct{ http.ResponseWriter }

func (w headerless) Write(b []byte) (int, error) {
	w.Header().Del("X-Value-Era")
	return w.ResponseWriter.Write(b)
}

// TestOldPeerHasNoValues checks that a peer without the call answers as one of the version before it does.
func TestOldPeerHasNoValues(t *testing.T) {
	is := is.New(t)
	peer := start(t, "alpine-1", "alpine", nil)
	m, _ := newFollower(&messenger.Peers{})
	changes, err := m.WatchPeerFor(t.Context(), peer, 7, time.Millisecond)
	is.NoErr(err)
	is.Equal(len(changes.Entries), 2)
	_, err = m.FetchValue(t.Context(), peer, replicator.Reference{Key: "a", Revision: 8}, storeclient.Entry{})
	var status *messenger.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusNotFound)
}

// TestUnusableDifferenceIsFetchedInFull checks that a difference that is damaged, or was made with another base, is
// replaced by the whole value, and that a damaged whole value is an error.
func TestUnusableDifferenceIsFetchedInFull(t *testing.T) {
	is := is.New(t)
	base := storeclient.Entry{Key: "config", Value: largeValue(8), Revision: 8}
	reference := replicator.Reference{Key: "config", Revision: 9}
	damage := func(change func(h http.Header, body []byte)) func(http.ResponseWriter, *http.Request, http.Handler) {
		return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			answer := httptest.NewRecorder()
			next.ServeHTTP(answer, r)
			body := answer.Body.Bytes()
			change(answer.Header(), body)
			for key, values := range answer.Header() {
				w.Header()[key] = values
			}
			w.WriteHeader(answer.Code)
			_, _ = w.Write(body)
		}
	}
	for _, change := range []func(http.Header, []byte){
		func(h http.Header, _ []byte) { h.Set("X-Value-Base", "7") },
		func(h http.Header, _ []byte) { h.Set("X-Value-Sum", "1") },
		func(_ http.Header, body []byte) { body[len(body)/2] ^= 0xff },
	} {
		s := valueInstance{corrupt: damage(func(h http.Header, body []byte) {
			if h.Get("X-Value-Base") != "" {
				change(h, body)
			}
		})}
		m, received := newFollower(&messenger.Peers{})
		e, err := m.FetchValue(t.Context(), s.start(t), reference, base)
		is.NoErr(err)
		is.True(bytes.Equal(e.Value, largeValue(9)))
		is.Equal(len(*received), 2) // the difference and the whole value
	}
	s := valueInstance{corrupt: damage(func(h http.Header, _ []byte) { h.Set("X-Value-Sum", "1") })}
	m, _ := newFollower(&messenger.Peers{})
	_, err := m.FetchValue(t.Context(), s.start(t), reference, base)
	var sum *differ.SumError
	is.True(errors.As(err, &sum))
}

// TestValueOfLaterEraIsSent guards against a compressed value that is sent again after the store was restored from an older
// copy: another value has the same revision then.
func TestValueOfLaterEraIsSent(t *testing.T) {
	is := is.New(t)
	value := largeValue(8)
	m := messenger.New(messenger.Config{Peers: &messenger.Peers{}, Values: messenger.Values{
		Value: func(context.Context, replicator.Reference, uint64, time.Duration) (replicator.Value, error) {
			return replicator.Value{Version: replicator.Version{Entry: storeclient.Entry{Key: "config", Value: value, Revision: 9}}}, nil
		},
	}})
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	peer := messenger.Peer{Instance: "alpine-1", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	follower, _ := newFollower(&messenger.Peers{})
	for _, value = range [][]byte{largeValue(8), largeValue(7)} {
		e, err := follower.FetchValue(t.Context(), peer, replicator.Reference{Key: "config", Revision: 9}, storeclient.Entry{})
		is.NoErr(err)
		is.True(bytes.Equal(e.Value, value))
	}
}
