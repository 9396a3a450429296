package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/storeclient"
)

// Followers of one instance at most, and how long an instance is not followed after it failed.
const (
	mostFollowers = 12
	followAgain   = 5 * time.Second
)

// upstream follows the replica of another instance of the own failure domain, so that only
// a few instances of each failure domain ask the store. It is a replicator.Upstream.
type upstream struct {
	h *hosted

	mu       sync.Mutex
	direct   bool                              // this instance has to hear of changes at once
	failedAt map[identifier.Instance]time.Time // when a peer could last not be followed
}

// setDirect says whether this instance asks the store itself in any case.
func (u *upstream) setDirect(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.direct = on
}

// Watch returns what changed after a revision at the peer that this instance follows, or
// false if it follows none now.
func (u *upstream) Watch(ctx context.Context, after uint64) (storeclient.Changes, bool) {
	peer, ok := u.leader()
	if !ok || after == 0 {
		return storeclient.Changes{}, false
	}
	changes, err := u.h.messenger.WatchPeer(ctx, peer, after)
	if err == nil {
		return changes, true
	}
	u.h.logger.Debug().Err(err).Str("peer", string(peer.Instance)).Msg("peer not followed")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failedAt[peer.Instance] = time.Now()
	return storeclient.Changes{}, false
}

// leader returns the peer to follow. The first instances of a failure domain by name follow nobody.
func (u *upstream) leader() (messenger.Peer, bool) {
	s := u.h.settings
	near := []messenger.Peer{{Instance: s.Instance}}
	for _, p := range u.h.peers.All() {
		if p.FailureDomain == s.FailureDomain {
			near = append(near, p)
		}
	}
	slices.SortFunc(near, messenger.Peer.Compare)
	own := slices.IndexFunc(near, func(p messenger.Peer) bool { return p.Instance == s.Instance })
	leaders := (len(near) + mostFollowers) / (mostFollowers + 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.direct || own < leaders {
		return messenger.Peer{}, false
	}
	leader := near[own%leaders]
	return leader, time.Since(u.failedAt[leader.Instance]) >= followAgain
}
