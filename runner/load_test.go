package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthmill/configurer"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/replicator"

	"github.com/rs/zerolog"
)

// The load: the failure domain of a deployment in which a configuration that has grown to 1,640 routes changes ten
// times per second.
const (
	loadRoutes      = 1640
	loadVersions    = 40
	loadInterval    = 100 * time.Millisecond
	loadNarrow      = 35
	loadNarrowMbps  = 14
	loadWide        = 2
	loadWideMbps    = 200
	loadOneWayDelay = 1400 * time.Microsecond
	callOverhead    = 350 // bytes of the headers of a call and of its answer, of each

	inForceBound    = 1500 * time.Millisecond // from the store's acknowledgement of a version until it or a later one is in force
	smallEntryBound = 300 * time.Millisecond  // from the parent having a small entry until its follower has it
	applyCost       = 60 * time.Millisecond   // of decoding and putting in force one version at 0.134 cores, which virtual time does not count
)

// simulatedLink is the link of an instance in one direction. Bytes of all connections pass one after the other.
type simulatedLink struct {
	mbps  float64
	mu    sync.Mutex // guards the fields below
	until time.Time  // when the bytes that have been sent will have passed
	bytes int64
}

// pass waits until n bytes have passed, or ctx ends, after which the rest is not sent.
func (l *simulatedLink) pass(ctx context.Context, n int) error {
	l.mu.Lock()
	now := time.Now()
	if l.until.Before(now) {
		l.until = now
	}
	cost := time.Duration(float64(n*8) / l.mbps * float64(time.Microsecond))
	l.until = l.until.Add(cost)
	l.bytes += int64(n)
	passedAt := l.until
	l.mu.Unlock()
	err := sleepContext(ctx, passedAt.Sub(now))
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.until = l.until.Add(-max(min(cost, time.Until(passedAt)), 0))
	}
	return err
}

func (l *simulatedLink) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loadNode is an instance with its links.
type loadNode struct {
	fleet    *loadFleet
	name     string
	hosted   *hosted
	up, down simulatedLink
	handler  http.Handler

	mu      sync.Mutex // guards the fields below
	dead    bool
	silent  bool  // calls of a dead instance have no answer; otherwise they are refused
	isOld   bool  // answers as the version before references did
	storeIn int64 // bytes from the store
}

// loadFleet is a store and the instances of one failure domain.
type loadFleet struct {
	store *loadStore
	nodes map[string]*loadNode // by address
	order []*loadNode
}

// RoundTrip sends a request of a node to the store or another node over the links of both. It implements
// http.RoundTripper.
func (n *loadNode) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	if n.isDead() {
		return nil, fmt.Errorf("instance %s is dead", n.name)
	}
	if n.isOld {
		r = withoutNewParameters(r)
	}
	if err := n.up.pass(ctx, callOverhead); err != nil {
		return nil, err
	}
	if err := sleepContext(ctx, loadOneWayDelay); err != nil {
		return nil, err
	}
	peer := n.fleet.nodes[r.URL.Host]
	handler := http.Handler(n.fleet.store)
	if peer != nil {
		handler = peer.handler
		if err := peer.checkAlive(ctx); err != nil {
			return nil, err
		}
		if peer.isOld {
			r = withoutNewParameters(r)
			if r.URL.Path == "/value" {
				return &http.Response{StatusCode: http.StatusNotFound, Body: http.NoBody, Header: http.Header{}, Request: r}, nil
			}
		}
		if err := peer.down.pass(ctx, callOverhead); err != nil {
			return nil, err
		}
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	if peer != nil {
		if err := peer.checkAlive(ctx); err != nil {
			return nil, err
		}
		if err := peer.up.pass(ctx, len(body)+callOverhead); err != nil {
			return nil, err
		}
	}
	if err := sleepContext(ctx, loadOneWayDelay); err != nil {
		return nil, err
	}
	if err := n.down.pass(ctx, len(body)+callOverhead); err != nil {
		return nil, err
	}
	if peer == nil {
		n.mu.Lock()
		n.storeIn += int64(len(body))
		n.mu.Unlock()
	}
	return &http.Response{StatusCode: answer.Code, Header: answer.Header(), Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: r}, nil
}

// withoutNewParameters returns a request without the parameters that the version before references does not know.
func withoutNewParameters(r *http.Request) *http.Request {
	out := r.Clone(r.Context())
	query := out.URL.Query()
	query.Del("deferLarge")
	out.URL.RawQuery = query.Encode()
	return out
}

// checkAlive returns an error if the node is dead, at once or when ctx ends.
func (n *loadNode) checkAlive(ctx context.Context) error {
	n.mu.Lock()
	dead, silent := n.dead, n.silent
	n.mu.Unlock()
	if dead && silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if dead {
		return fmt.Errorf("instance %s refuses connections", n.name)
	}
	return nil
}

// die ends the node; its calls have no answer, or are refused.
func (n *loadNode) die(silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead, n.silent = true, silent
}

func (n *loadNode) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// storeBytes returns the bytes that the node has received from the store.
func (n *loadNode) storeBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeIn
}

// loadStore is a store that answers in the platform's dialect.
type loadStore struct {
	mu       sync.Mutex // guards the fields below
	revision uint64
	history  []loadItem
	written  chan struct{} // closed and replaced at each write
	down     bool
}

type loadItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type loadAnswer struct {
	Items         []loadItem `json:"items,omitempty"`
	Events        []loadItem `json:"events,omitempty"`
	StoreRevision uint64     `json:"storeRevision"`
}

func (s *loadStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history = append(s.history, loadItem{Key: key, Value: value, Revision: s.revision})
	close(s.written)
	s.written = make(chan struct{})
}

// latest returns the current entries.
func (s *loadStore) latest() []loadItem {
	byKey := map[string]int{}
	var out []loadItem
	for _, item := range s.history {
		if i, ok := byKey[item.Key]; ok {
			out[i] = item
			continue
		}
		byKey[item.Key] = len(out)
		out = append(out, item)
	}
	return out
}

func (s *loadStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for held := wait == 0; r.URL.Path == "/v1/kv-watch" && !held; {
		s.mu.Lock()
		revision, written := s.revision, s.written
		s.mu.Unlock()
		if revision > after {
			break
		}
		select {
		case <-written:
		case <-timeout:
			held = true
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var out any
	switch r.URL.Path {
	case "/v1/kv-range":
		out = loadAnswer{Items: s.latest(), StoreRevision: s.revision}
	case "/v1/kv-watch":
		out = loadAnswer{Events: s.history[min(after, s.revision):], StoreRevision: s.revision}
	default:
		for _, item := range s.latest() {
			if item.Key == query.Get("key") {
				out = item
			}
		}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// loadConfiguration returns a configuration with n routes, one of which differs in each version.
func loadConfiguration(version, n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		timeout := 8000
		if i == version*37%n {
			timeout = 7000 + version
		}
		fmt.Fprintf(&b, `{"name":"route-%04d","host":"h%03d.example","prefix":"/p%04d/","kind":"stream","timeoutMs":%d,"latencyGoalMs":300,"gapTargetMs":200,"priority":%d,"service":"guides","trafficSplit":[],"maxAttempts":2,"public":false,"sticky":true,"resumable":true}`,
			i, i*7919%997, i, timeout, i%3)
	}
	b.WriteString(`],"services":[{"name":"guides","maxConns":100}],"limits":{},"tenants":[]}`)
	return []byte(b.String())
}

// newLoadFleet starts the instances of the load. Those with wide links have the last names, so that the tree by name
// would put narrow ones at the top.
// The last one is in another failure domain.
func newLoadFleet(ctx context.Context, t *testing.T, links []float64, old ...int) *loadFleet {
	f := &loadFleet{store: &loadStore{written: make(chan struct{})}, nodes: map[string]*loadNode{}}
	f.store.put("op/config", loadConfiguration(1, loadRoutes-loadVersions))
	for i, mbps := range links {
		n := &loadNode{fleet: f, name: fmt.Sprintf("entry-%02d", i), up: simulatedLink{mbps: mbps}, down: simulatedLink{mbps: mbps}}
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7", i+1))
		n.isOld = slices.Contains(old, i)
		f.nodes[address.String()] = n
		f.order = append(f.order, n)
		if n.isOld {
			mbps = 0 // it does not name its link
		}
		f.store.put(instancePrefix+n.name, fmt.Appendf(nil, "%s/1 %s %s%s 7", n.name, address, f.domainOf(i), linkWord(mbps)))
	}
	for i, n := range f.order {
		n.start(ctx, t, f.domainOf(i), links[i])
	}
	return f
}

// TestLargeConfigurationBesideOldInstances plays a rolling restart in which the configuration changes: instances of the
// version before references, which send and get values in full, are at the top, in the middle and at the bottom of
// the tree. Every instance must end with the newest version.
func TestLargeConfigurationBesideOldInstances(t *testing.T) {
	for _, old := range [][]int{{0}, {1, 2}, {0, 13}, {3, 14}, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			links := make([]float64, 16) // of which the last two instances follow others than the first
			for i := range links {
				links[i] = loadNarrowMbps
			}
			links[0] = loadWideMbps
			f := newLoadFleet(ctx, t, links, old...)
			time.Sleep(3 * time.Second)
			f.expectVersion(t, 1, "before the load")
			for version := 2; version <= 11; version++ {
				f.store.put("op/config", loadConfiguration(version, loadRoutes-loadVersions+version))
				time.Sleep(loadInterval)
			}
			time.Sleep(8 * time.Second)
			f.expectVersion(t, 11, fmt.Sprintf("with old instances %v", old))
			cancel()
			synctest.Wait()
			time.Sleep(10 * time.Second) // calls without a context end
		})
	}
}

// domainOf returns the failure domain of an instance by its number.
func (f *loadFleet) domainOf(i int) identifier.FailureDomain {
	if i == loadNarrow+loadWide {
		return "d2"
	}
	return "d1"
}

func (n *loadNode) start(ctx context.Context, t *testing.T, domain identifier.FailureDomain, mbps float64) {
	s := &configurer.HostedSettings{Instance: identifier.Instance(n.name), FailureDomain: domain}
	s.Machine.MemoryMB, s.Machine.LinkMbps = 136, mbps
	s.Store.Address = netip.MustParseAddrPort("10.0.1.1:7")
	s.Store.ReadsPerSecond, s.Store.WritesPerSecond, s.Store.LeaseMin = 1000, 1000, formatter.Duration(time.Second)
	h, err := newHostedWith(s, zerolog.Nop(), func(netip.Addr, time.Duration) *http.Client { return &http.Client{Transport: n} })
	if err != nil {
		t.Fatal(err)
	}
	n.hosted, n.handler = h, h.messenger.Handler()
	go func() { _ = h.replica.Run(ctx) }()
	go func() { _ = h.view.run(ctx) }()
}

// hasKey reports whether the replica of the node has a version of a key at a revision or a later one.
func (n *loadNode) hasKey(key string, revision uint64) bool {
	_, err := n.hosted.replica.Value(context.Background(), replicator.Reference{Key: key, Revision: revision}, 0, 0)
	return err == nil
}
