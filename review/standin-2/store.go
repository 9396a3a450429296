package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or the record of its removal.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

type leaseState struct {
	ttl    time.Duration
	expiry time.Time
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*leaseState
	changed  chan struct{}
	addr     string

	down    bool              // it answers 503, and what engines write is lost
	era     uint64            // rises with each restore; named in all answers
	written map[string][]byte // what the operator wrote last, which it writes again after a restore
	copied  *storeCopy
	renewed int // renewals of leases
}

// storeCopy is a copy from which the store may come back.
type storeCopy struct {
	at       time.Time
	revision uint64
	items    map[string]item
	leases   map[uint64]time.Duration
}

func newStore() *store {
	s := &store{revision: 100, era: 1, items: map[string]item{}, leases: map[uint64]*leaseState{}, changed: make(chan struct{}), written: map[string][]byte{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("store: %v", err)
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.serveLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveLeaseEnd)
	go func() { _ = http.Serve(l, s.guard(mux)) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// guard names the era in all answers, and refuses all calls while the store is down.
func (s *store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(4 * time.Millisecond)
		next.ServeHTTP(eraWriter{w, s}, r)
	})
}

// eraWriter names the era that holds when the answer is given.
type eraWriter struct {
	http.ResponseWriter
	s *store
}

func (w eraWriter) WriteHeader(status int) {
	w.Header().Set("Store-Era", strconv.FormatUint(w.s.era, 10))
	w.ResponseWriter.WriteHeader(status)
}

// goDown takes the store away. Waiting watches are cut.
func (s *store) goDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack ends the outage. With lapse, the leases have run out meanwhile; otherwise they paused.
func (s *store) comeBack(outage time.Duration, lapse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	for id, l := range s.leases {
		if lapse {
			s.endLease(id)
		} else {
			l.expiry = l.expiry.Add(outage)
		}
	}
}

// keepCopy copies the store as it is.
func (s *store) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{at: time.Now(), revision: s.revision, items: map[string]item{}, leases: map[uint64]time.Duration{}}
	for k, it := range s.items {
		c.items[k] = it
	}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	s.copied = c
}

// restore brings the store back from its copy, in the next era. The operator writes again at once, the engines with their next
// heartbeats.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copied
	s.down, s.revision, s.era = false, c.revision, s.era+1
	s.items, s.leases = map[string]item{}, map[uint64]*leaseState{}
	for k, it := range c.items {
		s.items[k] = it
	}
	for id, ttl := range c.leases {
		s.leases[id] = &leaseState{ttl: ttl, expiry: time.Now().Add(ttl)}
	}
	var history []item
	for _, it := range s.history {
		if it.Revision <= c.revision {
			history = append(history, it)
		}
	}
	s.history = history
	for k, v := range s.written {
		if string(s.items[k].Value) != string(v) {
			s.set(k, v, 0)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the engines do, and returns when the store has accepted it.
func (s *store) put(key string, v any) time.Time {
	value, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(key, "op/") {
		s.written[key] = value
	}
	if !s.down {
		s.set(key, value, 0)
	}
	return time.Now()
}

func (s *store) del(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(key)
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

func (s *store) set(key string, value []byte, lease uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.note(it)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.unset(k)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	it, ok := s.get(r.URL.Query().Get("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, truncated := []item{}, false
	for _, k := range keys {
		if len(items) == 400 {
			truncated = true
			break
		}
		items = append(items, s.items[k])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "storeRevision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected, Puts []item
		Remove         []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held, items := true, []item{}
	for _, c := range t.Expected {
		it, ok := s.items[c.Key]
		held = held && it.Revision == c.Revision
		if ok {
			items = append(items, it)
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.unset(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(b.TTLMs) * time.Millisecond
	s.leases[s.revision] = &leaseState{ttl: ttl, expiry: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": b.TTLMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	if s.items["mill/forming"].Lease == id {
		s.renewed++
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

// renewals returns how often the lease of forming groups has been renewed.
func (s *store) renewals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewed
}
