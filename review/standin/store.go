package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or the removal of one if Tombstone is set.
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

// state is everything that the store loses when it comes back from a copy.
type state struct {
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
	history  []item
}

func (s state) copy() state {
	return state{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases), history: slices.Clone(s.history)}
}

// copyAt is a copy of the state as it was after a change.
type copyAt struct {
	at    time.Time
	state state
}

// historyAge is how long the store keeps changes for watches.
const historyAge = 20 * time.Second

// store is the platform's metadata store, in memory.
type store struct {
	rec *record

	mu      sync.Mutex
	state   state
	era     int
	away    bool
	nextID  uint64 // of leases; not part of the copy, so that no ID is given out twice
	copies  []copyAt
	since   map[uint64]time.Time // when each revision was given out
	changed chan struct{}
	beats   map[string]time.Time // last beat of each engine
}

func newStore(rec *record) *store {
	s := &store{rec: rec, era: 1, nextID: 70000, changed: make(chan struct{}), beats: map[string]time.Time{}, since: map[uint64]time.Time{}}
	s.state = state{revision: 1, items: map[string]item{}, leases: map[uint64]lease{}}
	return s
}

// put writes a key. s.mu is held.
func (s *store) put(key string, value []byte, lease uint64) uint64 {
	s.state.revision++
	it := item{Key: key, Value: value, Revision: s.state.revision, CreatedRev: s.state.revision, Lease: lease}
	if old, ok := s.state.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.state.items[key] = it
	s.append(it)
	return it.Revision
}

// remove deletes a key. s.mu is held.
func (s *store) remove(key string) {
	if _, ok := s.state.items[key]; !ok {
		return
	}
	s.state.revision++
	delete(s.state.items, key)
	s.append(item{Key: key, Revision: s.state.revision, Tombstone: true})
}

func (s *store) append(it item) {
	s.state.history = append(s.state.history, it)
	s.since[it.Revision] = time.Now()
	s.copies = append(s.copies, copyAt{time.Now(), s.state.copy()})
	s.rec.event("store: revision %d key %s tombstone %v", it.Revision, it.Key, it.Tombstone)
	close(s.changed)
	s.changed = make(chan struct{})
}

// operatorPut writes the configuration as the operator does, until the store accepts it. It returns the time of the ack.
func (s *store) operatorPut(value []byte) time.Time {
	for {
		s.mu.Lock()
		if !s.away {
			s.put("op/config", value, 0)
			s.mu.Unlock()
			return time.Now()
		}
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// beat writes an engine's entry. A beat that changes nothing but the sequence is no change of the entry.
func (s *store) beat(id string, entry map[string]any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.beats[id] = time.Now()
	key := "servers/" + id
	value, _ := json.Marshal(entry) // a map of plain values
	old, ok := s.state.items[key]
	if ok && equalButSequence(old.Value, value) {
		old.Value = value
		s.state.items[key] = old
		return true
	}
	s.put(key, value, 0)
	return true
}

func equalButSequence(a, b []byte) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "sequence")
	delete(y, "sequence")
	return reflect.DeepEqual(x, y)
}

// run ends leases and entries that have expired, until stop is closed.
func (s *store) run(stop <-chan struct{}, silence time.Duration) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		s.mu.Lock()
		if !s.away {
			s.expire(silence)
		}
		s.mu.Unlock()
	}
}

func (s *store) expire(silence time.Duration) {
	now := time.Now()
	for id, l := range s.state.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		id, ok := strings.CutPrefix(key, "servers/")
		if ok && now.Sub(s.beats[id]) > silence {
			s.remove(key)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.state.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if s.state.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// drill takes the store away for a time, after which it is back from a copy that is age old.
func (s *store) drill(age, away time.Duration) {
	s.mu.Lock()
	at := time.Now()
	s.away = true
	s.rec.event("store: away, at revision %d, era %d", s.state.revision, s.era)
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	back := s.copies[0]
	for _, c := range s.copies {
		if !c.at.After(at.Add(-age)) {
			back = c
		}
	}
	now := time.Now()
	s.state = back.state.copy()
	for id, l := range s.state.leases {
		l.expiry = now.Add(l.ttl)
		s.state.leases[id] = l
	}
	for id := range s.beats {
		s.beats[id] = now
	}
	for key := range s.state.items {
		if id, ok := strings.CutPrefix(key, "servers/"); ok {
			s.beats[id] = now
		}
	}
	s.copies = []copyAt{{now, s.state.copy()}}
	s.era++
	s.away = false
	s.rec.event("store: back from a copy, at revision %d, era %d", s.state.revision, s.era)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has gone
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.state.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{it, s.state.revision})
}

const pageSize = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items         []item `json:"items"`
		Truncated     bool   `json:"truncated"`
		StoreRevision uint64 `json:"storeRevision"`
	}{Items: []item{}, StoreRevision: s.state.revision}
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if !strings.HasPrefix(key, q.Get("prefix")) || key <= q.Get("after") {
			continue
		}
		if len(out.Items) == pageSize {
			out.Truncated = true
			break
		}
		out.Items = append(out.Items, s.state.items[key])
	}
	s.reply(w, http.StatusOK, out)
}

// serveWatch answers with the changes after a revision. It answers 410 if the store does not have that revision, or no
// longer has the history after it.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.away {
			w.WriteHeader(http.StatusServiceUnavailable)
			s.mu.Unlock()
			return
		}
		if after > s.state.revision || s.isDropped(after) {
			s.reply(w, http.StatusGone, struct{}{})
			s.mu.Unlock()
			return
		}
		events := []item{}
		for _, it := range s.state.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		changed := s.changed
		expired := false
		select {
		case <-timer.C:
			expired = true
		default:
		}
		if len(events) > 0 || expired || ms == 0 {
			s.reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": s.state.revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timer.Reset(0)
		case <-r.Context().Done():
			return
		}
	}
}

// isDropped reports whether a change after a revision is too old to be kept. s.mu is held.
func (s *store) isDropped(after uint64) bool {
	at, ok := s.since[after+1]
	return ok && time.Since(at) > historyAge
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	holds, items := true, []item{}
	for _, c := range t.Expected {
		it, ok := s.state.items[c.Key]
		if ok {
			items = append(items, it)
		}
		holds = holds && it.Revision == c.Revision
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.state.leases[p.Lease]; p.Lease != 0 && !ok {
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
	s.reply(w, http.StatusOK, map[string]any{"revision": s.state.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(max(body.TTLMs, 1000)) * time.Millisecond
	s.state.leases[s.nextID] = lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	s.reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.state.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	s.state.leases[id] = l
	s.reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.state.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	s.reply(w, http.StatusOK, struct{}{})
}
