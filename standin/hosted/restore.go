package hosted

import (
	"maps"
	"slices"
	"time"
)

const (
	// copyInterval is the shortest time between two copies of the store.
	copyInterval = 100 * time.Millisecond
	// copyLife is the age up to which copies are kept.
	copyLife = 10 * time.Second
)

// storeCopy is a copy of what the store loses when it is restored.
type storeCopy struct {
	at       time.Time
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
}

// keepCopy keeps a copy of the present state if the last one is old enough. s.mu is held.
func (s *Store) keepCopy() {
	now := time.Now()
	if n := len(s.copies); n > 0 && now.Sub(s.copies[n-1].at) < copyInterval {
		return
	}
	c := storeCopy{at: now, revision: s.revision, items: maps.Clone(s.items), leases: map[uint64]lease{}}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	s.copies = append(s.copies, c)
	if now.Sub(s.copies[0].at) > copyLife && len(s.copies) > 1 {
		s.copies = s.copies[1:]
	}
}

// Restore restores the store from a copy that is at least age old, or from its oldest one. The store is in the next era
// then, and gives out the revisions and leases after the copy again. The operator and the engines write again what they had
// written, within rewriteTime, in no order.
func (s *Store) Restore(age, rewriteTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.copies) == 0 {
		return
	}
	now := time.Now()
	i := len(s.copies) - 1
	for i > 0 && now.Sub(s.copies[i].at) < age {
		i--
	}
	back := s.copies[i]
	s.copies = s.copies[:i+1]
	s.revision, s.items, s.leases = back.revision, maps.Clone(back.items), map[uint64]*lease{}
	for id, l := range back.leases {
		s.leases[id] = &lease{ttl: l.ttl, expiry: now.Add(l.ttl)}
	}
	s.history = slices.DeleteFunc(s.history, func(it item) bool { return it.Revision > back.revision })
	s.compactedTo = min(s.compactedTo, back.revision)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
	keys := s.lostKeys()
	for n, key := range keys {
		time.AfterFunc(rewriteTime*time.Duration(n+1)/time.Duration(len(keys)), func() { s.rewrite(key) })
	}
}

// lostKeys returns the keys whose last write by the operator or an engine is lost. s.mu is held.
func (s *Store) lostKeys() []string {
	var out []string
	for key, value := range s.written {
		if string(s.items[key].Value) != string(value) {
			out = append(out, key)
		}
	}
	return out
}

// rewrite writes a key as the operator or an engine last wrote it, or removes it as they did, unless it is so already.
func (s *Store) rewrite(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.written[key]
	switch {
	case string(s.items[key].Value) == string(value):
	case value == nil:
		s.remove(key)
	default:
		s.put(key, value, 0)
	}
}
