package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/replicator"

	"github.com/cespare/xxhash/v2"
)

const (
	maxFollowers     = 12              // instances that follow the same instance
	followRetryDelay = 5 * time.Second // after a failed watch of a peer, before that peer is followed again
)

// linkWatchWait is the longest time for which a peer holds a watch in the tree by link bandwidth. An instance notices
// within this time and peerTimeout that the peer does not answer, and has a version from the next one in time. All
// instances of that tree know the bound, because they name their links. It is longer than linkStoreWait, so that the
// answers of the store end the watches at all levels at once; with a shorter one, the levels wait for one another, and
// the lowest take their peers' knowledge for too old.
const linkWatchWait = 600 * time.Millisecond

// maxParentAttempts bounds the peers that one call tries in the tree by link bandwidth.
const maxParentAttempts = 3

// upstream follows the replica of another instance in the local failure domain, so that only one or two
// instances of each failure domain query the store. It implements replicator.PollingUpstream and
// replicator.ValueSource.
type upstream struct {
	hosted *hosted

	mu       sync.Mutex
	followed identifier.Instance               // the peer that answered the last watch; empty for the store
	direct   bool                              // this instance needs changes without delay and follows no peer
	failedAt map[identifier.Instance]time.Time // last failed watch of each peer
	pending  map[identifier.Instance]int       // watches of each peer that have not ended
}

// setDirect sets whether this instance always queries the store itself.
func (u *upstream) setDirect(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.direct = on
}

// Watch returns the changes after a revision from the peer that this instance follows. Its error is
// *replicator.NoPeerError if the instance follows no peer or after is zero, and otherwise that of the exchange. In the
// tree by link bandwidth, the next peer takes the place of one that does not answer; it does not wait for
// changes, because the last answer of the store may be old by then.
func (u *upstream) Watch(ctx context.Context, after uint64) (replicator.PeerChanges, error) {
	var err error = &replicator.NoPeerError{}
	for attempt := range maxParentAttempts {
		peer, byLink, ok := u.selectPeer()
		if !ok || after == 0 {
			break
		}
		wait := time.Duration(0)
		if attempt == 0 {
			wait = linkWatchWait
		}
		var changes replicator.PeerChanges
		if changes, err = u.follow(ctx, peer, after, byLink, wait); err == nil || !byLink || ctx.Err() != nil {
			return changes, err
		}
	}
	u.setFollowed("")
	return replicator.PeerChanges{}, err
}

// Poll returns the changes after a revision from another peer than those whose watch is overdue, which are not
// followed for a time. Its error is *replicator.NoPeerError if there is none or the tree is not by link bandwidth.
func (u *upstream) Poll(ctx context.Context, after uint64) (replicator.PeerChanges, error) {
	if _, byLink, ok := u.selectPeer(); !ok || !byLink || after == 0 {
		return replicator.PeerChanges{}, &replicator.NoPeerError{}
	}
	u.mu.Lock()
	for name := range u.pending {
		u.failedAt[name] = time.Now()
	}
	u.mu.Unlock()
	peer, _, ok := u.selectPeer()
	if !ok {
		return replicator.PeerChanges{}, &replicator.NoPeerError{}
	}
	return u.follow(ctx, peer, after, true, 0)
}

// follow fetches the changes after a revision from peer and records whether it answered. In the tree by link
// bandwidth, the peer waits for changes for at most wait.
func (u *upstream) follow(ctx context.Context, peer messenger.Peer, after uint64, byLink bool, wait time.Duration) (replicator.PeerChanges, error) {
	fetch := u.hosted.messenger.WatchPeer
	if byLink {
		fetch = func(ctx context.Context, p messenger.Peer, after uint64) (replicator.PeerChanges, error) {
			return u.hosted.messenger.WatchPeerFor(ctx, p, after, wait)
		}
	}
	u.mu.Lock()
	u.pending[peer.Instance]++
	u.mu.Unlock()
	changes, err := fetch(ctx, peer, after)
	u.mu.Lock()
	if u.pending[peer.Instance]--; u.pending[peer.Instance] == 0 {
		delete(u.pending, peer.Instance)
	}
	if err != nil {
		u.failedAt[peer.Instance] = time.Now()
	}
	u.mu.Unlock()
	if err == nil {
		u.setFollowed(peer.Instance)
		return changes, nil
	}
	u.setFollowed("")
	u.hosted.logger.Debug().Err(err).Str("peer", string(peer.Instance)).Msg("peer not followed")
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

// domainInstances returns the instances of the local failure domain with this one, sorted by name.
func (u *upstream) domainInstances() []messenger.Peer {
	s := u.hosted.settings
	out := []messenger.Peer{{Instance: s.Instance, LinkMbps: s.Machine.LinkMbps}}
	for _, p := range u.hosted.peers.All() {
		if p.FailureDomain == s.FailureDomain {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, messenger.Peer.Compare)
	return out
}

// selectPeer returns the peer to follow, and whether the tree is by link bandwidth, or false if there is none.
// In the tree by name, the first instance of a failure domain queries the store. In the tree by link
// bandwidth, peers whose watch has failed recently have no place, so that others take over their
// followers.
func (u *upstream) selectPeer() (peer messenger.Peer, byLink, ok bool) {
	s := u.hosted.settings
	domainInstances := u.domainInstances()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.direct {
		return messenger.Peer{}, false, false
	}
	if knowsLinks(domainInstances) {
		reachable := slices.DeleteFunc(domainInstances, func(p messenger.Peer) bool {
			return p.Instance != s.Instance && time.Since(u.failedAt[p.Instance]) < followRetryDelay
		})
		if peer, ok = newLinkTree(reachable).parent(messenger.Peer{Instance: s.Instance}); !ok && s.Machine.LinkMbps < narrowLinkMbps {
			peer, ok = u.selectRemotePeer()
		}
		return peer, true, ok
	}
	ownIndex := slices.IndexFunc(domainInstances, func(p messenger.Peer) bool { return p.Instance == s.Instance })
	parent, follows := parentOf(ownIndex)
	if !follows {
		return messenger.Peer{}, false, false
	}
	peer = domainInstances[parent]
	return peer, false, time.Since(u.failedAt[peer.Instance]) >= followRetryDelay
}

// selectRemotePeer returns an instance with a wide link in another failure domain, or false if there is none. An instance
// with a narrow link at the top of its tree follows it, because its link does not carry the versions of a large
// configuration that the store sends in full. There is no loop, because an instance with a wide link only
// follows one whose link is not narrower. u.mu is held.
func (u *upstream) selectRemotePeer() (messenger.Peer, bool) {
	s := u.hosted.settings
	var best messenger.Peer
	var bestRank uint64
	for _, p := range u.hosted.peers.All() {
		if p.FailureDomain == s.FailureDomain || p.LinkMbps < narrowLinkMbps || time.Since(u.failedAt[p.Instance]) < followRetryDelay {
			continue
		}
		if rank := xxhash.Sum64String(string(s.Instance) + "/" + string(p.Instance)); best.Instance == "" || rank > bestRank {
			best, bestRank = p, rank
		}
	}
	return best, best.Instance != ""
}
