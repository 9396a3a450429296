package replicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"amaranthmill/replicator"
)

const (
	allCuts           = 3                      // of a world in which all instances are cut off
	shortestCut       = 600 * time.Millisecond // of all instances
	longestCut        = 6 * time.Second
	leaveTime         = time.Second // after the heal, within which endpoints leave
	upstreamTimeout   = 350 * time.Millisecond
	upstreamWait      = time.Second     // for which a replica holds the watch of one that follows it
	upstreamRetryTime = 5 * time.Second // after a failed watch of the instance that a member follows
)

// cutAll cuts all instances of a new world off from the store at once, allCuts times, and lets endpoints leave soon
// after each heal. Half of the cuts are short, and half of them separate the instances from each other too.
func (w *world) cutAll(random *rand.Rand) {
	at := time.Now().Add(4 * time.Second)
	for n := range allCuts {
		length := shortestCut + time.Duration(random.Int64N(int64(longestCut-shortestCut)))
		if random.IntN(2) == 0 {
			length = shortestCut + (length-shortestCut)/3
		}
		s := span{at, at.Add(length)}
		withPeers := random.IntN(2) == 0
		for i := range fleetSize {
			w.cuts[i] = append(w.cuts[i], s)
			if withPeers {
				w.peerCut[i] = append(w.peerCut[i], s)
			}
		}
		const leaving = endpointCount / allCuts
		for i := range leaving {
			w.leaveAt(fmt.Sprintf("e%d", n*leaving+i), s.until.Add(time.Duration(random.Int64N(int64(leaveTime)))))
		}
		at = s.until.Add(stableTime + drainTime + time.Duration(random.Int64N(int64(time.Second))))
	}
}

// fleetUpstream lets a member follow another one as long as its watches are answered.
type fleetUpstream struct {
	world            *world
	follower, parent int
	failed           failureTime
}

func (u *fleetUpstream) Watch(ctx context.Context, after uint64) (replicator.PeerChanges, error) {
	if u.failed.isRecent() {
		return replicator.PeerChanges{}, &replicator.NoPeerError{}
	}
	now := time.Now()
	if isAway(u.world.peerCut[u.follower], now, 0) || isAway(u.world.peerCut[u.parent], now, 0) {
		time.Sleep(upstreamWait + upstreamTimeout)
		u.failed.record()
		return replicator.PeerChanges{}, errSilent
	}
	changes, err := u.world.members[u.parent].replica.Watch(ctx, after, upstreamWait)
	if err != nil {
		u.failed.record()
	}
	return changes, err
}

// startFollowers starts the instances, of which every second one follows another one.
func (w *world) startFollowers(ctx context.Context) {
	for i := range fleetSize {
		w.members[i] = &member{}
	}
	for i := range fleetSize {
		var upstream replicator.Upstream
		if i%2 == 1 {
			upstream = &fleetUpstream{world: w, follower: i, parent: i - 1}
		}
		w.members[i] = w.start(ctx, i, upstream)
	}
}

// playFollowers plays a world whose calls into a cut are lost, as prepare has set it up. It checks
// the bounds for the endpoints that leave and those that prepare returns, whose entries expire.
func playFollowers(t *testing.T, seed uint64, prepare func(*world, *rand.Rand) map[string]span) {
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		synctest.Wait()
		time.Sleep(2 * time.Second) // calls without a context end
	}()
	w := newWorld(seed)
	w.losesHeldCalls = true
	expired := prepare(w, rand.New(rand.NewPCG(seed, 1)))
	w.startFollowers(ctx)
	for end := time.Now().Add(fleetTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.check(t, seed, expired)
	}
}

// TestLeavingIsNoticedAfterCutOfAllInstances cuts all instances off from the store at once, with calls in
// flight, while endpoints leave in the second after the heal; every second instance follows another one.
// The time until the first answer after the heal adds to the time for which an endpoint without
// an entry stays listed: an instance that came back late listed endpoints 2 s after they left.
func TestLeavingIsNoticedAfterCutOfAllInstances(t *testing.T) {
	for seed := range *fleetSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				playFollowers(t, seed, func(w *world, random *rand.Rand) map[string]span {
					w.cutAll(random)
					return nil
				})
			})
		})
	}
}

// TestFollowersDropWhatLeftAndKeepWhatExpired plays fleets as TestFleetDropsWhatLeftAndKeepsWhatExpired
// does, in which every second instance follows another one and calls into a cut are lost. An instance that
// comes back sooner must not take entries that expired in an outage for those of endpoints that left.
func TestFollowersDropWhatLeftAndKeepWhatExpired(t *testing.T) {
	for seed := range *fleetSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				playFollowers(t, seed, func(w *world, random *rand.Rand) map[string]span {
					w.disrupt(random)
					w.leave(random)
					return w.expireEntries(random)
				})
			})
		})
	}
}
