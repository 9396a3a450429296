package platform

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

// entry is the value of a key with the revision of its last write.
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

// store holds the entries and leases of the key-value store. A deleted key stays as a
// tombstone so that watches report the deletion.
type store struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[string]*lease
	changed  chan struct{} // closed and replaced at each write
}

func newStore() *store {
	return &store{entries: map[string]entry{}, leases: map[string]*lease{}, changed: make(chan struct{})}
}

// get returns the entry of key and whether the key exists.
func (s *store) get(key string) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok && !e.Deleted
}

// put writes value if the current revision of the key equals revision, where 0 stands for an
// absent key. It returns the new revision and true. If the revisions differ or the lease
// does not exist, it returns the current revision and false.
func (s *store) put(key string, revision uint64, value []byte, leaseID string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.currentRevision(key); current != revision {
		return current, false
	}
	if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
		return s.currentRevision(key), false
	}
	return s.writeEntry(entry{Key: key, Value: value, Lease: leaseID}), true
}

// remove deletes the key if the key exists and its current revision equals revision. It
// returns the new revision and true, or the current revision and false.
func (s *store) remove(key string, revision uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.currentRevision(key); current != revision || current == 0 {
		return current, false
	}
	return s.writeEntry(entry{Key: key, Deleted: true}), true
}

// currentRevision returns the revision of key, or 0 if the key is absent or deleted.
func (s *store) currentRevision(key string) uint64 {
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return 0
	}
	return e.Revision
}

// writeEntry stores e under the next revision and wakes the watches.
func (s *store) writeEntry(e entry) uint64 {
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// list returns the entries whose key starts with prefix and whose revision is above after, in
// key order, the revision of the store, and a channel that the next write closes. Tombstones
// are included if includeDeleted is set, as watches need them.
func (s *store) list(prefix string, after uint64, includeDeleted bool) ([]entry, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []entry{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && e.Revision > after && (includeDeleted || !e.Deleted) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, s.changed
}

// grant adds a lease that expires after ttl unless it is renewed.
func (s *store) grant(id string, ttl time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl)}
}

// renew extends a lease by its TTL from now and reports whether the lease still existed.
func (s *store) renew(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if ok {
		l.expires = now.Add(l.ttl)
	}
	return ok
}

// revoke ends a lease, deletes its keys and reports whether the lease existed.
func (s *store) revoke(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.leases[id]
	s.deleteLease(id)
	return ok
}

// expireLeases ends the leases that expired before now and deletes their keys.
func (s *store) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.deleteLease(id)
		}
	}
}

// deleteLease removes a lease and deletes the keys that are bound to it.
func (s *store) deleteLease(id string) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id && !e.Deleted {
			s.writeEntry(entry{Key: key, Deleted: true})
		}
	}
}
