package replicator_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// fleetSeeds is the number of worlds that the fleet test plays.
var fleetSeeds = flag.Uint64("fleetSeeds", 60, "number of fleets to play")

// Bounds of the fleet test, as the users state them.
const (
	drainTime       = 2 * time.Second         // after which an endpoint that has left gets no request
	stableTime      = 3 * time.Second         // after an outage or a cut, from which on an instance must keep the bounds
	rewriteTime     = 1900 * time.Millisecond // after the store's return, within which the entries that expired in its outage are back
	expiryTime      = 2400 * time.Millisecond // from the start of an outage to the first expiry: three intervals of 1.2 s, less the one that had begun
	fleetTime       = 40 * time.Second        // of a world
	disruptions     = 4                       // of a world, one after the other
	peerContactTime = 2200 * time.Millisecond // for which the store has answered a peer that is queried again
	peerTimeout     = 350 * time.Millisecond  // of a query of a peer
	lateShare       = 6                       // one in so many answers of the store is late
	maxLateness     = 700 * time.Millisecond
	fleetSize       = 4
	endpointCount   = 24
)

// TestFleetDropsWhatLeftAndKeepsWhatExpired plays fleets whose store is away or answers late, and whose instances are cut
// off from the store, alone, together or all, with and without their peers. An instance that has
// been in reach of the store for 3 s must not list an endpoint 2 s after it left, and no instance may
// drop an endpoint whose entry expired in an outage of the store and returns in time.
func TestFleetDropsWhatLeftAndKeepsWhatExpired(t *testing.T) {
	for seed := range *fleetSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playDisruptions(t, seed) })
		})
	}
}

// playDisruptions plays the world of a seed, in which each instance follows the store itself.
func playDisruptions(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		synctest.Wait()
		time.Sleep(2 * time.Second) // calls without a context end
	}()
	random := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(seed)
	w.disrupt(random)
	for i := range fleetSize {
		w.members[i] = &member{}
	}
	for i := range fleetSize {
		w.members[i] = w.start(ctx, i, nil)
	}
	time.Sleep(time.Second)
	expired := w.expireEntries(random)
	w.leave(random)
	for end := time.Now().Add(fleetTime - 2*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.check(t, seed, expired)
	}
}
