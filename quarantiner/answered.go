package quarantiner

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Largest numbers of fingerprints in an answeredList.
const (
	maxAnsweredRequests = 4096
	maxAnsweredParts    = 1 << 17
)

// answeredList holds the fingerprints that were answered last, in two generations. When the
// newer one is full, it replaces the older one.
type answeredList struct {
	ttl            time.Duration
	limit          int // of the fingerprints in both generations
	newer, older   map[identifier.Fingerprint]time.Time
	newerStartedAt time.Time
}

func newAnsweredList(ttl time.Duration, limit int) answeredList {
	return answeredList{ttl: ttl, limit: limit, newer: map[identifier.Fingerprint]time.Time{}}
}

// add records that a fingerprint was answered.
func (l *answeredList) add(now time.Time, fp identifier.Fingerprint) {
	if len(l.newer) >= l.limit/2 || now.Sub(l.newerStartedAt) >= l.ttl {
		l.older, l.newer = l.newer, map[identifier.Fingerprint]time.Time{}
		l.newerStartedAt = now
	}
	l.newer[fp] = now
}

// age returns the time since a fingerprint was answered, or false if it was not answered within
// the TTL.
func (l *answeredList) age(now time.Time, fp identifier.Fingerprint) (time.Duration, bool) {
	at, ok := l.newer[fp]
	if !ok {
		at, ok = l.older[fp]
	}
	age := now.Sub(at)
	return age, ok && age < l.ttl
}

// hasRecent reports whether a fingerprint was answered within the TTL.
func (l *answeredList) hasRecent(now time.Time, fp identifier.Fingerprint) bool {
	_, ok := l.age(now, fp)
	return ok
}
