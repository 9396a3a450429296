package hosted

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's key-value store, in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	down     bool
	delay    time.Duration // of each answer
	deaf     loss          // of answers to writes that are done
	revision uint64
	floor    uint64 // up to which history is dropped
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	moved    chan struct{} // closed at each change
}

// item is an entry, or with Tombstone set its removal.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]item{}, leases: map[uint64]*lease{}, moved: make(chan struct{})}
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay makes each answer so much slower.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers leaves one in so many writes unanswered, though it is done; zero ends that.
func (s *Store) LoseAnswers(in int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf.in = in
}

// isLost reports whether the answer of this write gets lost.
func (s *Store) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deaf.next()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.history = s.revision, nil
}

// Put writes a key as the operator and the engines do.
func (s *Store) Put(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // the caller's own types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove takes a key away.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns the value of a key, or nil.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Value
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.note(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) note(it item) {
	s.history = append(s.history, it)
	close(s.moved)
	s.moved = make(chan struct{})
}

// expire removes the keys of leases that ran out.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /v1/kv-lease", s.serveLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, delay := s.down, s.delay
		s.expire()
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(delay)
		if r.Method != http.MethodGet && s.isLost() {
			mux.ServeHTTP(httptest.NewRecorder(), r)
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a caller that has gone needs no answer
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, it)
}

// pageSize is small, so that pages are met.
const pageSize = 10

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	out := struct {
		Items         []item `json:"items"`
		Truncated     bool   `json:"truncated"`
		StoreRevision uint64 `json:"storeRevision"`
	}{StoreRevision: s.revision, Items: []item{}}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, q.Get("prefix")) || key <= q.Get("after") {
			continue
		}
		if len(out.Items) == pageSize {
			out.Truncated = true
			break
		}
		out.Items = append(out.Items, s.items[key])
	}
	reply(w, http.StatusOK, out)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		events, revision, moved, gone := s.since(q.Get("prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-moved:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) (events []item, revision uint64, moved chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.moved, after < s.floor
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Expected {
		if s.items[c.Key].Revision != c.Revision {
			var items []item
			for _, c := range t.Expected {
				if it, ok := s.items[c.Key]; ok {
					items = append(items, it)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(asked.TTLMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": asked.TTLMs})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
