package messenger

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthmill/internal/identifier"
)

// passTime is how long a peer that had nothing newer, or did not answer, comes after the others.
const passTime = 5 * time.Second

// turns decides which peer is asked next for what this instance misses. It stays with a peer
// that has news, so that the fleet does not send each change many times, and prefers its own
// failure domain. Each instance has an order of its own, so that not all ask the same peer.
// It is safe for concurrent use.
type turns struct {
	own    identifier.Instance
	domain identifier.FailureDomain

	mu     sync.Mutex
	passed map[identifier.Instance]time.Time
}

func newTurns(own identifier.Instance, domain identifier.FailureDomain) turns {
	return turns{own: own, domain: domain, passed: map[identifier.Instance]time.Time{}}
}

// next returns the peer to ask at now, or false if there is none.
func (t *turns) next(now time.Time, peers []Peer) (Peer, bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.MinFunc(peers, func(a, b Peer) int {
		return cmp.Or(
			t.passedAt(now, a).Compare(t.passedAt(now, b)),
			cmp.Compare(t.distance(a), t.distance(b)),
			cmp.Compare(t.order(a), t.order(b)),
		)
	}), true
}

// pass puts a peer behind the others for a while.
func (t *turns) pass(now time.Time, name identifier.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.passed[name] = now
}

// passedAt returns when a peer was last passed over, or the zero time if that is long ago.
func (t *turns) passedAt(now time.Time, p Peer) time.Time {
	at := t.passed[p.Instance]
	if now.Sub(at) >= passTime {
		return time.Time{}
	}
	return at
}

func (t *turns) distance(p Peer) int {
	if p.FailureDomain == t.domain {
		return 0
	}
	return 1
}

func (t *turns) order(p Peer) uint64 {
	return xxhash.Sum64String(string(t.own) + "\x00" + string(p.Instance))
}
