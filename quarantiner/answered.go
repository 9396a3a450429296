package quarantiner

import (
	"time"

	"amaranthmill/internal/identifier"
)

// maxAnswered bounds the fingerprints in an answeredList.
const maxAnswered = 4096

// answeredList holds the fingerprints that were answered last.
type answeredList struct {
	ttl  time.Duration
	at   map[identifier.Fingerprint]time.Time
	ring [maxAnswered]identifier.Fingerprint
	next int
}

// add records that a fingerprint was answered.
func (l *answeredList) add(now time.Time, fp identifier.Fingerprint) {
	if _, ok := l.at[fp]; !ok {
		delete(l.at, l.ring[l.next])
		l.ring[l.next] = fp
		l.next = (l.next + 1) % len(l.ring)
	}
	l.at[fp] = now
}

// hasRecent reports whether a fingerprint was answered within the TTL.
func (l *answeredList) hasRecent(now time.Time, fp identifier.Fingerprint) bool {
	at, ok := l.at[fp]
	return ok && now.Sub(at) < l.ttl
}
