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

// peerSelector selects the peer to query next for an update. It keeps selecting a peer that returns
// updates, so that each change is not sent many times across the fleet, and prefers peers of the
// local failure domain. Each instance ranks the peers differently, so that the instances do not
// all query the same peer. It is safe for concurrent use.
type peerSelector struct {
	local  identifier.Instance
	domain identifier.FailureDomain

	mu            sync.Mutex
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
			s.deprioritizedAt(now, a).Compare(s.deprioritizedAt(now, b)),
			cmp.Compare(s.distance(a), s.distance(b)),
			cmp.Compare(s.rank(a), s.rank(b)),
		)
	}), true
}

// deprioritize ranks a peer behind the others for deprioritizeTime.
func (s *peerSelector) deprioritize(now time.Time, name identifier.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deprioritized[name] = now
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

// distance is 0 for peers of the local failure domain and 1 for others.
func (s *peerSelector) distance(p Peer) int {
	if p.FailureDomain == s.domain {
		return 0
	}
	return 1
}

// rank orders peers at the same distance by a hash that differs between instances.
func (s *peerSelector) rank(p Peer) uint64 {
	return xxhash.Sum64String(string(s.local) + "\x00" + string(p.Instance))
}
