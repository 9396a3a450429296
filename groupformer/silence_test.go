package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
)

// Bounds on the reaction to an engine that does not answer.
const (
	minSilence         = 1200 * time.Millisecond // of a sound engine
	maxSilence         = 1600 * time.Millisecond // of a sound engine
	stallDetection     = 160 * time.Millisecond  // from the beginning of the silence until the stall of the group is reported
	maxSilentQueries   = 7                       // queries to one engine during such a silence, including the answered one after it
	maxExitDetection   = time.Second             // from the stall until the group of an engine whose host refuses connections is dissolved
	maxVanishDetection = 3 * time.Second         // from the stall until the group of an engine whose host does not answer is dissolved
)

// TestSilentEngineKeepsGroup guards against the loss of running answers because a sound engine
// is silent for a second or so: its queries time out, its group is dissolved and the other
// members are given to other groups, while the head continues its answers.
func TestSilentEngineKeepsGroup(t *testing.T) {
	for rank := range 2 {
		t.Run(fmt.Sprintf("rank=%d", rank), func(t *testing.T) {
			for seed := range uint64(8) {
				t.Log("seed", seed)
				testSilentEngine(t, seed, rank)
			}
		})
	}
}

// testSilentEngine makes the first engine of the given rank silent once.
func testSilentEngine(t *testing.T, seed uint64, rank int) {
	is := is.New(t)
	f := newFleet(seed, 1, 1, 4) // a group of four, or two of two
	f.run(8 * time.Second)
	f.startRequests()
	f.run(3 * time.Second)
	before, orders := f.memberships(), f.orders
	f.run(time.Duration(f.rand.IntN(25)) * fleetStep)
	silent := f.findMember(rank)
	queries := f.queries[silent.ID]
	f.silence(silent, minSilence+time.Duration(f.rand.IntN(21))*fleetStep)
	f.run(6 * time.Second)
	f.check(t)
	is.Equal(len(f.dissolved), 0)
	is.Equal(f.memberships(), before)
	is.Equal(f.orders, orders) // no order while it is silent, and none because of it
	is.True(f.queries[silent.ID]-queries <= maxSilentQueries)
}

// TestSilentEnginesKeepGroups does the same with a silent head and a silent member in every
// group of a larger fleet, four times in series.
func TestSilentEnginesKeepGroups(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(8) {
		t.Log("seed", seed)
		f := newFleet(seed, 3, 2, 8)
		f.run(8 * time.Second)
		f.startRequests()
		f.run(3 * time.Second)
		before := f.memberships()
		for range 4 {
			f.silenceAll(maxSilence)
			f.run(maxSilence + time.Second)
		}
		f.check(t)
		is.Equal(len(f.dissolved), 0)
		is.Equal(f.memberships(), before)
	}
}

// TestSilentUnlistedMemberKeepsGroup does the same with a member whose entry has expired because
// the store is unreachable.
func TestSilentUnlistedMemberKeepsGroup(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 4)
	f.run(8 * time.Second)
	f.startRequests()
	f.step(groupformer.StoreHealthSet{Lost: true})
	e := f.findMember(1)
	e.listed, f.listChanged = false, true
	f.run(500 * time.Millisecond)
	f.silence(e, maxSilence)
	f.run(3 * time.Second)
	e.listed, f.listChanged = true, true
	f.run(3 * time.Second)
	f.check(t)
	is.Equal(len(f.dissolved), 0)
}

// TestSilencesUnderTwoLeases checks that the silence of an engine does not count from a query
// under an earlier lease, because no engine is queried between two leases.
func TestSilencesUnderTwoLeases(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 4)
	f.run(8 * time.Second)
	f.startRequests()
	e := f.findMember(1)
	f.silence(e, 600*time.Millisecond)
	f.run(400 * time.Millisecond) // one query has failed
	f.step(groupformer.LeaseSet{Fence: 1})
	f.run(3 * time.Second)
	f.silence(e, maxSilence)
	f.step(groupformer.LeaseSet{Until: f.now.Add(time.Hour), Fence: 2})
	f.run(5 * time.Second)
	f.check(t)
	is.Equal(len(f.dissolved), 0)
}

// TestExitedEngineLosesGroup checks that the group of an engine is dissolved soon if its host
// refuses connections, and after a longer time if its host does not answer.
func TestExitedEngineLosesGroup(t *testing.T) {
	for _, tc := range []struct {
		name    string
		refuses bool
		limit   time.Duration
	}{
		{"refuses", true, maxExitDetection},
		{"vanished", false, maxVanishDetection},
	} {
		for rank := range 2 {
			t.Run(fmt.Sprintf("%s/rank=%d", tc.name, rank), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 1, 1, 4)
				f.run(8 * time.Second)
				f.startRequests()
				f.run(7 * time.Second) // the list counts as settled
				e := f.findMember(rank)
				group := e.Membership.Group
				e.refuses = tc.refuses
				f.crash(e)
				f.run(400 * time.Millisecond) // the stall is detected
				stalledAt := f.now
				for !f.dissolved[group] && f.now.Sub(stalledAt) < 2*tc.limit {
					f.run(fleetStep)
				}
				t.Logf("dissolved %v after the stall", f.now.Sub(stalledAt))
				is.True(f.now.Sub(stalledAt) <= tc.limit)
			})
		}
	}
}

// memberships returns the membership of each engine.
func (f *fleet) memberships() map[identifier.Endpoint]endpointlister.Membership {
	out := map[identifier.Endpoint]endpointlister.Membership{}
	for id, e := range f.engines {
		out[id] = e.Membership
	}
	return out
}

// findMember returns the first engine that has the given rank in a group.
func (f *fleet) findMember(rank int) *fakeEngine {
	for _, id := range f.ids() {
		if e := f.engines[id]; e.Membership.Group != "" && e.Membership.Rank == rank {
			return e
		}
	}
	return nil
}

// silence makes e answer nothing for d. It runs on and keeps its state, and its group stalls.
func (f *fleet) silence(e *fakeEngine, d time.Duration) {
	e.unreachable = true
	f.schedule(stallDetection, func() { f.step(groupformer.HeadStalled{Head: f.members[e.Membership.Group][0]}) })
	f.schedule(d, func() { e.unreachable = false })
}

// silenceAll makes the heads and second members of all groups answer nothing for d.
func (f *fleet) silenceAll(d time.Duration) {
	for _, id := range f.ids() {
		if e := f.engines[id]; e.Membership.Group != "" && e.Membership.Rank < 2 {
			f.silence(e, d)
		}
	}
}
