package platform

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is the size that a value may not exceed.
const maxValueBytes = 1 << 20

// entry is one key's value with the revision of its last write.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the key-value state. Deleted keys stay as tombstones for watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[string]*lease
	changed  chan struct{} // closed at each write
}

func newStore() *store {
	return &store{entries: map[string]entry{}, leases: map[string]*lease{}, changed: make(chan struct{})}
}

// get returns the entry of key, if it is there.
func (s *store) get(key string) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok && !e.Deleted
}

// put writes value if the key's present revision is the given one; 0 stands for an absent
// key. It returns the new revision, or the present one and false.
func (s *store) put(key string, revision uint64, value []byte, leaseID string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.present(key); present != revision {
		return present, false
	}
	if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
		return s.present(key), false
	}
	return s.write(entry{Key: key, Value: value, Lease: leaseID}), true
}

// remove deletes the key if its present revision is the given one.
func (s *store) remove(key string, revision uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.present(key); present != revision || present == 0 {
		return present, false
	}
	return s.write(entry{Key: key, Deleted: true}), true
}

func (s *store) present(key string) uint64 {
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return 0
	}
	return e.Revision
}

func (s *store) write(e entry) uint64 {
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// list returns the entries below prefix with a revision above after, in key order, and
// the store's revision. Deleted keys are included only for a watch.
func (s *store) list(prefix string, after uint64, deleted bool) ([]entry, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []entry{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.Revision > after && (deleted || !e.Deleted) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, s.changed
}

// grant starts a lease.
func (s *store) grant(id string, ttl time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl)}
}

// renew extends a lease and reports whether it still stood.
func (s *store) renew(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if ok {
		l.expires = now.Add(l.ttl)
	}
	return ok
}

// revoke ends a lease and deletes its keys.
func (s *store) revoke(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.leases[id]
	s.drop(id)
	return ok
}

// expire ends the leases that lapsed by now.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id string) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id && !e.Deleted {
			s.write(entry{Key: key, Deleted: true})
		}
	}
}
