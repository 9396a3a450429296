package grouper_test

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"amaranthmill/storeclient"
)

// fakePlatform is an in-memory implementation of Platform with fault injection.
type fakePlatform struct {
	mu             sync.Mutex
	revision       uint64
	entries        map[string]storeclient.Entry
	expiry         map[storeclient.LeaseID]time.Time
	ttls           map[storeclient.LeaseID]time.Duration
	leaseOfKey     map[string]storeclient.LeaseID
	down           bool
	loseNextAnswer bool // the next write takes effect, but its answer is lost and loseNextAnswer is reset
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		entries: map[string]storeclient.Entry{}, expiry: map[storeclient.LeaseID]time.Time{},
		ttls: map[storeclient.LeaseID]time.Duration{}, leaseOfKey: map[string]storeclient.LeaseID{},
	}
}

// lockAndCheck locks p, removes the keys of expired leases, and returns an error while p is
// down. The caller must unlock p.
func (p *fakePlatform) lockAndCheck(call storeclient.Operation) error {
	p.mu.Lock()
	for key, lease := range p.leaseOfKey {
		if !time.Now().Before(p.expiry[lease]) {
			delete(p.entries, key)
			delete(p.leaseOfKey, key)
		}
	}
	if p.down {
		return &storeclient.UnavailableError{Call: call, Cause: http.ErrServerClosed}
	}
	return nil
}

func (p *fakePlatform) put(key string, value []byte) (storeclient.Entry, error) {
	p.revision++
	p.entries[key] = storeclient.Entry{Key: key, Value: value, Revision: p.revision}
	if p.loseNextAnswer {
		p.loseNextAnswer = false
		return storeclient.Entry{}, &storeclient.UnknownError{Call: "put", Key: key, Cause: http.ErrServerClosed}
	}
	return p.entries[key], nil
}

func (p *fakePlatform) Get(_ context.Context, key string) (storeclient.Entry, error) {
	defer p.mu.Unlock()
	if err := p.lockAndCheck("get"); err != nil {
		return storeclient.Entry{}, err
	}
	e, ok := p.entries[key]
	if !ok {
		return e, &storeclient.NotFoundError{Key: key}
	}
	return e, nil
}

func (p *fakePlatform) Create(_ context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error) {
	defer p.mu.Unlock()
	if err := p.lockAndCheck("create"); err != nil {
		return storeclient.Entry{}, err
	}
	if e, ok := p.entries[key]; ok {
		return e, &storeclient.ConflictError{Key: key, Revision: e.Revision}
	}
	if lease != "" {
		p.leaseOfKey[key] = lease
	}
	return p.put(key, value)
}

func (p *fakePlatform) Swap(_ context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error) {
	defer p.mu.Unlock()
	if err := p.lockAndCheck("swap"); err != nil {
		return storeclient.Entry{}, err
	}
	if e := p.entries[key]; e.Revision != revision {
		return e, &storeclient.ConflictError{Key: key, Revision: e.Revision}
	}
	return p.put(key, value)
}

func (p *fakePlatform) List(_ context.Context, prefix string) ([]storeclient.Entry, error) {
	defer p.mu.Unlock()
	if err := p.lockAndCheck("list"); err != nil {
		return nil, err
	}
	var out []storeclient.Entry
	for _, key := range slices.Sorted(maps.Keys(p.entries)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p.entries[key])
		}
	}
	return out, nil
}

// Watch waits 100 ms and returns the entries changed since after, without waiting for further
// changes.
func (p *fakePlatform) Watch(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(100 * time.Millisecond):
	}
	entries, err := p.List(ctx, prefix)
	changes := storeclient.Changes{Revision: after}
	for _, e := range entries {
		if e.Revision > after {
			changes.Entries = append(changes.Entries, storeclient.Change{Entry: e})
			changes.Revision = max(changes.Revision, e.Revision)
		}
	}
	return changes, err
}

func (p *fakePlatform) Grant(_ context.Context, ttl time.Duration) (storeclient.LeaseID, error) {
	defer p.mu.Unlock()
	if err := p.lockAndCheck("grant"); err != nil {
		return "", err
	}
	id := storeclient.LeaseID("l" + strconv.Itoa(len(p.ttls)))
	p.ttls[id], p.expiry[id] = ttl, time.Now().Add(ttl)
	return id, nil
}

func (p *fakePlatform) Renew(_ context.Context, lease storeclient.LeaseID) error {
	defer p.mu.Unlock()
	if err := p.lockAndCheck("renew"); err != nil {
		return err
	}
	if !time.Now().Before(p.expiry[lease]) {
		return &storeclient.NotFoundError{Key: string(lease)}
	}
	p.expiry[lease] = time.Now().Add(p.ttls[lease])
	return nil
}

func (p *fakePlatform) Revoke(_ context.Context, lease storeclient.LeaseID) error {
	defer p.mu.Unlock()
	if err := p.lockAndCheck("revoke"); err != nil {
		return err
	}
	p.expiry[lease] = time.Time{}
	return nil
}

// set changes the state of p under its lock.
func (p *fakePlatform) set(change func(*fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// fakeEngine is a model engine that serves /status and /orders.
type fakeEngine struct {
	mu           sync.Mutex
	unresponsive bool
	fence        uint64
	status       engineStatus
}

type engineStatus struct {
	Endpoint      string `json:"endpoint"`
	ProcessStart  int64  `json:"processStart"`
	Group         string `json:"group"`
	Epoch         uint64 `json:"epoch"`
	BundleVersion uint64 `json:"bundleVersion"`
	Loaded        bool   `json:"loaded"`
	Leaving       bool   `json:"leaving"`
	InFlight      int    `json:"inFlight"`
	Capacity      int    `json:"capacity"`
}

type engineOrder struct {
	engineStatus

	Fence    uint64    `json:"fence"`
	Deadline time.Time `json:"deadline"`
	Kind     string    `json:"kind"`
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/orders" {
		var o engineOrder
		_ = json.NewDecoder(r.Body).Decode(&o)
		switch {
		case time.Now().After(o.Deadline):
			w.WriteHeader(http.StatusGone)
			return
		case o.Fence < e.fence:
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.fence = o.Fence
		e.status.Group, e.status.Epoch, e.status.BundleVersion = o.Group, o.Epoch, o.BundleVersion
		e.status.Loaded = e.status.Loaded || o.Kind != "release"
	}
	_ = json.NewEncoder(w).Encode(e.status)
}

// set changes the state of e under its lock.
func (e *fakeEngine) set(change func(*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// fakeNetwork is an HTTP transport that passes requests to the engines by address, without
// sockets.
type fakeNetwork map[string]*fakeEngine

func (n fakeNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	e := n[r.URL.Host]
	e.mu.Lock()
	dead := e.unresponsive
	e.mu.Unlock()
	if dead {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	e.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func (p *fakePlatform) Delete(_ context.Context, key string, _ uint64) error {
	if err := p.lockAndCheck(storeclient.OperationDelete); err != nil {
		p.mu.Unlock()
		return err
	}
	defer p.mu.Unlock()
	delete(p.entries, key)
	return nil
}
