package messenger

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthmill/internal/identifier"
)

// deprioritizeTime is how long a peer that had nothing newer or did not answer ranks behind the others.
const deprioritizeTime = 5 * time.Second

// peerSelector selects the peer to query next for an update. It keeps selecting a peer that the store has
// answered for some time, so that each change is not sent many times across the fleet. While it knows none, it
// selects peers of the local failure domain and of others in turn. Each instance ranks the peers
// differently, so that the instances do not all query the same peer. It is safe for concurrent use.
type peerSelector struct {
	local  identifier.Instance
	domain identifier.FailureDomain

	mu            sync.Mutex
	preferRemote  bool // peers of other failure domains go before those of the local one
	deprioritized map[identifier.Instance]time.Time
}

func newPeerSelector(local identifier.Instance, domain identifier.FailureDomain) peerSelector {
	return peerSelector{local: local, domain: domain, deprioritized: map[identifier.Instance]time.Time{}}
}

// next returns the peer to query at time now, or false if there are no peers.
func (s *peerSelector) next(now time.Time, peers []Peer) (Peer, bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.MinFunc(peers, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(s.distance(a), s.distance(b)),
			s.deprioritizedAt(now, a).Compare(s.deprioritizedAt(now, b)),
			cmp.Compare(s.rank(a), s.rank(b)),
		)
	}), true
}

// reject records that a peer was queried which the store does not answer or has not for long. The next peer is of another
// failure domain if there is one. A peer that had no news ranks behind the others for deprioritizeTime.
func (s *peerSelector) reject(now time.Time, name identifier.Instance, hasNews bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preferRemote = !s.preferRemote
	if !hasNews {
		s.deprioritized[name] = now
	}
}

// deprioritizedAt returns when a peer was last deprioritized, or the zero time if deprioritizeTime has
// elapsed since then.
func (s *peerSelector) deprioritizedAt(now time.Time, p Peer) time.Time {
	at := s.deprioritized[p.Instance]
	if now.Sub(at) >= deprioritizeTime {
		return time.Time{}
	}
	return at
}

// distance is 0 for peers of the failure domains to select from next and 1 for others.
func (s *peerSelector) distance(p Peer) int {
	if (p.FailureDomain == s.domain) != s.preferRemote {
		return 0
	}
	return 1
}

// rank orders peers at the same distance by a hash that differs between instances.
func (s *peerSelector) rank(p Peer) uint64 {
	return xxhash.Sum64String(string(s.local) + "\x00" + string(p.Instance))
}
