package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"amaranthmill/configurer"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// evacuationFixture is the view and the forwarder of an instance, with a plain service whose endpoints count their requests.
type evacuationFixture struct {
	t        *testing.T
	hosted   *hosted
	log      *lockedBuffer
	endpoint *httptest.Server
	requests atomic.Int64 // that the endpoints have received
	revision uint64
}

// lockedBuffer is a log that several goroutines write.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

func newEvacuationFixture(t *testing.T) *evacuationFixture {
	f := &evacuationFixture{t: t, log: &lockedBuffer{}}
	f.endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Seal", "e")
		_, _ = w.Write([]byte("done"))
	}))
	t.Cleanup(f.endpoint.Close)
	s := &configurer.HostedSettings{Instance: "entry-1", FailureDomain: "d0"}
	s.Machine.MemoryMB = 419
	h, err := newHosted(s, zerolog.New(f.log))
	if err != nil {
		t.Fatal(err)
	}
	f.hosted = h
	return f
}

// change returns a written entry of the store.
func (f *evacuationFixture) change(key string, value any) storeclient.Change {
	text, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	f.revision++
	return storeclient.Change{Entry: storeclient.Entry{Key: key, Value: text, Revision: f.revision}}
}

func (f *evacuationFixture) removal(key string) storeclient.Change {
	f.revision++
	return storeclient.Change{Entry: storeclient.Entry{Key: key, Revision: f.revision}, Deleted: true}
}

func (f *evacuationFixture) configuration() storeclient.Change {
	return f.change("op/config", map[string]any{
		"version": 1, "routes": []any{map[string]any{"name": "lookups", "host": "mill.example", "prefix": "/lookups/", "kind": "safe", "timeoutMs": 2000, "service": "ledger", "maxAttempts": 1, "public": true}},
		"services": []any{map[string]any{"name": "ledger", "maxConns": 100}}, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "observatory", "apiKeys": []string{"k1"}}},
	})
}

func (f *evacuationFixture) listing(id, domain string) storeclient.Change {
	return f.change("servers/"+id, map[string]any{"service": "ledger", "address": f.endpoint.Listener.Addr().String(), "zone": domain, "slots": 50, "state": "ready", "born": 1})
}

// send sends a request of a caller and returns the answer.
func (f *evacuationFixture) send(n int) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/lookups/7", nil)
	r.Host = "mill.example"
	r.Header.Set("X-Attempt-Id", fmt.Sprintf("r%d", n))
	r.Header.Set("X-Deadline-Remaining", "2000")
	r.Header.Set("Authorization", "Token k1")
	w := httptest.NewRecorder()
	f.hosted.forwarder.ServeHTTP(w, r)
	return w
}

// sendMeanwhile sends requests one after the other while do runs.
func (f *evacuationFixture) sendMeanwhile(do func()) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				f.send(n)
			}
		}
	})
	do()
	close(stop)
	callers.Wait()
}

// TestEvacuationAppliesBeforeListOfSameBatch guards against requests to an evacuated domain between the publication of an
// endpoint and its evacuation, if both come in one batch, in any order, while requests arrive.
func TestEvacuationAppliesBeforeListOfSameBatch(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(t)
	f.hosted.view.applyFromStore([]storeclient.Change{f.listing("ledger-1", "d1"), f.change("op/evacuate/d1", struct{}{}), f.configuration()}) // the first list
	f.sendMeanwhile(func() {
		for range 300 {
			f.hosted.view.applyFromStore([]storeclient.Change{f.removal("servers/ledger-1"), f.removal("op/evacuate/d1")})
			f.hosted.view.applyFromStore([]storeclient.Change{f.listing("ledger-1", "d1"), f.change("op/evacuate/d1", struct{}{})})
		}
	})
	is.Equal(f.requests.Load(), int64(0))
	answer := f.send(1 << 20)
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.Equal(answer.Header().Get("Retry-After"), "3")
	is.True(strings.Contains(answer.Body.String(), "evacuated"))
	f.hosted.view.applyFromStore([]storeclient.Change{f.removal("op/evacuate/d1")})
	is.Equal(f.send(1<<20+1).Code, http.StatusOK)
	is.Equal(f.requests.Load(), int64(1))
	is.True(f.log.count("failure domain evacuated") > 0)
	is.True(f.log.count("failure domain restored") > 0)
}

// TestEvacuationEndsAfterListOfSameBatch guards against requests to an endpoint that leaves in the batch that ends the
// evacuation of its domain.
func TestEvacuationEndsAfterListOfSameBatch(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(t)
	f.hosted.view.applyFromStore([]storeclient.Change{f.configuration(), f.change("op/evacuate/d1", struct{}{}), f.listing("ledger-1", "d1")})
	f.sendMeanwhile(func() {
		for range 300 {
			f.hosted.view.applyFromStore([]storeclient.Change{f.removal("op/evacuate/d1"), f.removal("servers/ledger-1")})
			f.hosted.view.applyFromStore([]storeclient.Change{f.change("op/evacuate/d1", struct{}{}), f.listing("ledger-1", "d1")})
		}
	})
	is.Equal(f.requests.Load(), int64(0))
}

// TestMalformedEvacuation guards against a malformed value that changes the state of its domain, or that is logged again and
// again.
func TestMalformedEvacuation(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(t)
	f.hosted.view.applyFromStore([]storeclient.Change{f.configuration(), f.listing("ledger-1", "d1")})
	malformed := storeclient.Change{Entry: storeclient.Entry{Key: "op/evacuate/d1", Value: []byte("{"), Revision: 100}}
	f.hosted.view.applyFromStore([]storeclient.Change{malformed})
	f.hosted.view.applyFromStore([]storeclient.Change{malformed})
	is.Equal(f.send(1).Code, http.StatusOK)
	is.Equal(f.log.count("entry of an evacuation is not JSON"), 1)
	f.hosted.view.applyFromStore([]storeclient.Change{f.change("op/evacuate/d1", struct{}{})})
	malformed.Revision = 102
	f.hosted.view.applyFromStore([]storeclient.Change{malformed})
	is.Equal(f.send(2).Code, http.StatusServiceUnavailable)
	is.Equal(f.log.count("entry of an evacuation is not JSON"), 2)
	is.Equal(len(f.hosted.view.listEvacuations()), 1)
}

// TestEvacuationOfUnknownDomain guards against an evacuation without listed endpoints that is not logged, or that does not apply to
// endpoints which are listed later.
func TestEvacuationOfUnknownDomain(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(t)
	f.hosted.view.applyFromStore([]storeclient.Change{f.configuration(), f.listing("ledger-1", "d1"), f.change("op/evacuate/d2", struct{}{})})
	is.Equal(f.log.count("has no listed endpoints"), 1)
	is.Equal(f.send(1).Code, http.StatusOK)
	f.hosted.view.applyFromStore([]storeclient.Change{f.removal("servers/ledger-1"), f.listing("ledger-2", "d2")})
	is.Equal(f.send(2).Code, http.StatusServiceUnavailable)
}

// TestEvacuationStaysWhileStoreIsLost guards against an evacuation that ends because the store is unreachable.
func TestEvacuationStaysWhileStoreIsLost(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(t)
	f.hosted.view.applyFromStore([]storeclient.Change{f.configuration(), f.listing("ledger-1", "d1"), f.change("op/evacuate/d1", struct{}{})})
	f.hosted.view.setStoreHealth(replicator.Health{Lost: true})
	is.Equal(f.send(1).Code, http.StatusServiceUnavailable)
	f.hosted.view.setStoreHealth(replicator.Health{})
	is.Equal(f.send(2).Code, http.StatusServiceUnavailable)
	is.Equal(f.requests.Load(), int64(0))
}
