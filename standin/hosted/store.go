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
	mu          sync.Mutex
	down        bool
	delay       time.Duration // before each answer
	answerLoss  lossCounter   // answers to writes that were performed
	era         uint64        // rises with each restore
	revision    uint64
	compactedTo uint64 // revision up to which the history was dropped
	items       map[string]item
	history     []item
	leases      map[uint64]*lease
	changed     chan struct{}     // closed and replaced at each change
	copies      []storeCopy       // from which the store may be restored, in order of time
	written     map[string][]byte // what the operator and the engines wrote last, by key; nil for a removed one
}

// item is an entry. With Tombstone set, it records the removal of the entry.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), written: map[string][]byte{}}
}

// SetDown sets whether the store answers every call with status 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay sets how long the store waits before it handles a call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers makes the store perform every n-th write without answering it. Zero turns
// this off.
func (s *Store) LoseAnswers(every int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerLoss.every = every
}

// losesAnswer counts a write and reports whether its answer is lost.
func (s *Store) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerLoss.losesNext()
}

// Compact drops the history of changes. A watch from an earlier revision then fails with
// status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo, s.history = s.revision, nil
}

// Put writes a key without a lease, as the operator and the engines do.
func (s *Store) Put(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // a test passed a type that can't be encoded
	}
	s.PutRaw(key, value)
}

// PutRaw writes a key without a lease, with a value that need not be JSON.
func (s *Store) PutRaw(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[key] = value
	s.put(key, value, 0)
}

// Remove deletes a key as the operator and the engines do.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[key] = nil
	s.remove(key)
}

// Get returns the value of a key, or nil if the key does not exist.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.items[key].Value
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.appendHistory(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendHistory(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) appendHistory(it item) {
	s.history = append(s.history, it)
	s.keepCopy()
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases whose time to live has passed and removes their keys.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
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

// Handler returns the handler of the store's HTTP interface.
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
		s.expireLeases()
		s.nameEra(w)
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(delay)
		if r.Method != http.MethodGet && s.losesAnswer() {
			mux.ServeHTTP(httptest.NewRecorder(), r) // performs the write and discards the answer
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// nameEra names the store's era in the header of an answer. s.mu is held.
func (s *Store) nameEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, it)
}

// pageSize is small, so that tests need more than one page.
const pageSize = 10

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
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
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		events, revision, changed, compacted := s.eventsSince(w, q.Get("prefix"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []item{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes after a revision to keys with a prefix, the current
// revision and a channel that is closed at the next change, for the answer to w. It sets compacted if
// the history that it needs was dropped, or the store does not have the revision.
func (s *Store) eventsSince(w http.ResponseWriter, prefix string, after uint64) (events []item, revision uint64, changed chan struct{}, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed, after < s.compactedTo || after > s.revision
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
	s.nameEra(w)
	for _, c := range t.Expected {
		if s.items[c.Key].Revision != c.Revision {
			var items []item
			for _, c := range t.Expected {
				if it, ok := s.items[c.Key]; ok {
					items = append(items, it)
				}
			}
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
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
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	s.revision++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": body.TTLMs})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}
