package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/replicator"
)

const (
	maxFollowers     = 12              // instances that follow the same instance
	followRetryDelay = 5 * time.Second // after a failed watch of a peer, before that peer is followed again
)

// upstream follows the replica of another instance in the local failure domain, so that only one
// instance of each failure domain queries the store. It implements replicator.Upstream.
type upstream struct {
	hosted *hosted

	mu       sync.Mutex
	followed identifier.Instance               // the peer that answered the last watch; empty for the store
	direct   bool                              // this instance needs changes without delay and follows no peer
	failedAt map[identifier.Instance]time.Time // last failed watch of each peer
}

// setDirect sets whether this instance always queries the store itself.
func (u *upstream) setDirect(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.direct = on
}

// Watch returns the changes after a revision from the peer that this instance follows. Its error is
// *replicator.NoPeerError if the instance follows no peer or after is zero, and otherwise that of the exchange.
func (u *upstream) Watch(ctx context.Context, after uint64) (replicator.PeerChanges, error) {
	peer, ok := u.selectPeer()
	if !ok || after == 0 {
		u.setFollowed("")
		return replicator.PeerChanges{}, &replicator.NoPeerError{}
	}
	changes, err := u.hosted.messenger.WatchPeer(ctx, peer, after)
	if err == nil {
		u.setFollowed(peer.Instance)
		return changes, nil
	}
	u.setFollowed("")
	u.hosted.logger.Debug().Err(err).Str("peer", string(peer.Instance)).Msg("peer not followed")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failedAt[peer.Instance] = time.Now()
	return replicator.PeerChanges{}, err
}

// setFollowed records and logs where this instance gets changes of the store from: from a peer, or
// from the store itself if peer is empty.
func (u *upstream) setFollowed(peer identifier.Instance) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.followed == peer {
		return
	}
	u.followed = peer
	u.hosted.logger.Info().Str("peer", string(peer)).Bool("store", peer == "").Msg("changes of the store come from")
}

// parentOf returns the position of the instance that an instance follows, or false for the one that
// queries the store. The instances of a failure domain form a tree in the order of their names, in
// which each instance is followed by at most maxFollowers others.
func parentOf(position int) (int, bool) {
	if position == 0 {
		return 0, false
	}
	return (position - 1) / maxFollowers, true
}

// selectPeer returns the peer to follow, or false if there is none. The first instance of a
// failure domain in the order of their names queries the store.
func (u *upstream) selectPeer() (messenger.Peer, bool) {
	s := u.hosted.settings
	domainInstances := []messenger.Peer{{Instance: s.Instance}}
	for _, p := range u.hosted.peers.All() {
		if p.FailureDomain == s.FailureDomain {
			domainInstances = append(domainInstances, p)
		}
	}
	slices.SortFunc(domainInstances, messenger.Peer.Compare)
	ownIndex := slices.IndexFunc(domainInstances, func(p messenger.Peer) bool { return p.Instance == s.Instance })
	parent, follows := parentOf(ownIndex)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.direct || !follows {
		return messenger.Peer{}, false
	}
	peer := domainInstances[parent]
	return peer, time.Since(u.failedAt[peer.Instance]) >= followRetryDelay
}
