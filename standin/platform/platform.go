package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// expireInterval is the time between two checks for expired leases.
const expireInterval = 50 * time.Millisecond

// Config configures a Platform. The zero value serves weights without a limit.
type Config struct {
	LoadsPerSecond float64 // loads that the weight store starts per second; 0 means no limit
}

// Platform simulates the platform. Its Handler is safe for concurrent use.
type Platform struct {
	store        *store
	loadLimiter  *rate.Limiter
	lastLeaseID  atomic.Uint64
	mu           sync.Mutex
	instances    map[string]instance
	listVersion  int
	processStart time.Time // distinguishes the ETags of the list between processes of the platform
	fault        fault
	calls        map[string]int
}

type instance struct {
	Name          string         `json:"name"`
	Kind          string         `json:"kind"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failureDomain"`
	FabricDomain  string         `json:"fabricDomain,omitempty"`
	Service       string         `json:"service,omitempty"`
	State         string         `json:"state"`
	Accelerators  int            `json:"accelerators,omitempty"`
}

// fault holds the faults that a test injects: an outage, a delay of each call, and the number
// of writes that take effect but whose answer is lost.
type fault struct {
	Down        bool     `json:"down"`
	Delay       duration `json:"delay"`
	LoseAnswers int      `json:"loseAnswers"`
}

type duration time.Duration

func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}

func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// New returns a Platform without keys and instances.
func New(cfg Config) *Platform {
	limit := rate.Inf
	if cfg.LoadsPerSecond > 0 {
		limit = rate.Limit(cfg.LoadsPerSecond)
	}
	return &Platform{
		store: newStore(), loadLimiter: rate.NewLimiter(limit, 1),
		processStart: time.Now(), instances: map[string]instance{}, calls: map[string]int{},
	}
}

// Run ends expired leases until ctx is done.
func (p *Platform) Run(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			p.store.expireLeases(now)
		}
	}
}

// Handler returns the platform's HTTP API, and the paths that inject faults and count calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", p.injectFaults("read", p.get))
	mux.HandleFunc("PUT /kv/{key...}", p.injectFaults("write", p.put))
	mux.HandleFunc("DELETE /kv/{key...}", p.injectFaults("write", p.remove))
	mux.HandleFunc("GET /kv", p.injectFaults("read", p.list))
	mux.HandleFunc("GET /watch", p.injectFaults("watch", p.watch))
	mux.HandleFunc("POST /leases", p.injectFaults("lease", p.grant))
	mux.HandleFunc("POST /leases/{lease}", p.injectFaults("lease", p.renew))
	mux.HandleFunc("DELETE /leases/{lease}", p.injectFaults("lease", p.revoke))
	mux.HandleFunc("GET /instances", p.injectFaults("list", p.listInstances))
	mux.HandleFunc("GET /weights/{base}/{version}", p.fetchWeights)
	mux.HandleFunc("PUT /instances/{name}", p.putInstance)
	mux.HandleFunc("DELETE /instances/{name}", p.removeInstance)
	mux.HandleFunc("PUT /fault", p.setFault)
	mux.HandleFunc("GET /calls", p.getCalls)
	return mux
}

// injectFaults returns a handler that counts a call under kind and calls h with the faults
// that are set.
func (p *Platform) injectFaults(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[kind]++
		f := p.fault
		if kind == "write" && p.fault.LoseAnswers > 0 {
			p.fault.LoseAnswers--
		}
		p.mu.Unlock()
		time.Sleep(time.Duration(f.Delay))
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		if kind == "write" && f.LoseAnswers > 0 {
			h(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// discardWriter is the ResponseWriter of an answer that is lost.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	e, ok := p.store.get(r.PathValue("key"))
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, e)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	var body struct {
		Value []byte `json:"value"`
		Lease string `json:"lease"`
	}
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	if len(body.Value) > maxValueBytes {
		writeJSON(w, http.StatusRequestEntityTooLarge, struct{}{})
		return
	}
	revision, ok := p.store.put(r.PathValue("key"), revision, body.Value, body.Lease)
	writeJSON(w, swapStatus(ok), revisionAnswer{revision})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	revision, ok := p.store.remove(r.PathValue("key"), revision)
	if !ok && revision == 0 {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, swapStatus(ok), revisionAnswer{revision})
}

type revisionAnswer struct {
	Revision uint64 `json:"revision"`
}

type entriesAnswer struct {
	Entries  []entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// swapStatus returns the HTTP status of a compare-and-swap.
func swapStatus(ok bool) int {
	if ok {
		return http.StatusOK
	}
	return http.StatusConflict
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	entries, revision, _ := p.store.list(r.URL.Query().Get("prefix"), 0, false)
	writeJSON(w, http.StatusOK, entriesAnswer{entries, revision})
}

// watch answers with the changes below a prefix after a revision. If there are none, it waits
// for the first one, for at most the time that the query gives as wait.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := time.ParseDuration(q.Get("wait"))
	if err1 != nil || err2 != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := time.After(wait)
	for {
		entries, revision, changed := p.store.list(q.Get("prefix"), after, true)
		if len(entries) > 0 {
			writeJSON(w, http.StatusOK, entriesAnswer{entries, revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, http.StatusOK, entriesAnswer{[]entry{}, revision})
			return
		}
	}
}

type leaseAnswer struct {
	Lease string `json:"lease"`
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL duration `json:"ttl"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL <= 0 {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	id := fmt.Sprintf("lease-%d", p.lastLeaseID.Add(1))
	p.store.grant(id, time.Duration(body.TTL), time.Now())
	writeJSON(w, http.StatusOK, leaseAnswer{id})
}

func (p *Platform) renew(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, foundStatus(p.store.renew(r.PathValue("lease"), time.Now())), struct{}{})
}

func (p *Platform) revoke(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, foundStatus(p.store.revoke(r.PathValue("lease"))), struct{}{})
}

func foundStatus(ok bool) int {
	if ok {
		return http.StatusOK
	}
	return http.StatusNotFound
}

// listInstances answers with the list, or with 304 Not Modified if the caller already has it.
func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	out := make([]instance, 0, len(p.instances))
	for _, i := range p.instances {
		out = append(out, i)
	}
	etag := fmt.Sprintf(`"%d.%d"`, p.processStart.UnixNano(), p.listVersion)
	p.mu.Unlock()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	writeJSON(w, http.StatusOK, struct {
		Instances []instance `json:"instances"`
	}{out})
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var i instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	i.Name = r.PathValue("name")
	p.mu.Lock()
	p.instances[i.Name] = i
	p.listVersion++
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, i)
}

func (p *Platform) removeInstance(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	delete(p.instances, r.PathValue("name"))
	p.listVersion++
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

// fetchWeights answers once the rate limit of the weight store admits the load.
func (p *Platform) fetchWeights(w http.ResponseWriter, r *http.Request) {
	if p.loadLimiter.Wait(r.Context()) == nil {
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f fault
	if json.NewDecoder(r.Body).Decode(&f) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.calls)
}

// writeJSON writes v as JSON. A write error is ignored because it means that the caller has
// disconnected.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
