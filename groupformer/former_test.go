package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
)

// minServingPart is the part of a model's target groups that must serve on average while
// engines fail faster than weights can be loaded.
const minServingPart = 0.55

// TestSupplyUnderLosses checks that both models keep groups while two engines of groups crash
// permanently every three seconds and are replaced by as many engines without weights.
func TestSupplyUnderLosses(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(seed, 3, 2, 10)
			f.run(10 * time.Second)
			start := f.countServing()
			is.True(start["large"] >= 7) // 60 engines, half of them in groups of 4
			is.True(start["small"] >= 10)
			f.startRequests()
			const rounds = 14
			large, small := 0, 0
			for i := range rounds {
				f.crashMembers(2)
				if i >= 3 {
					f.addPair()
				}
				f.run(3 * time.Second)
				now := f.countServing()
				large += now["large"]
				small += now["small"]
			}
			t.Logf("mean groups: large %.1f, small %.1f", float64(large)/rounds, float64(small)/rounds)
			f.check(t)
			is.True(float64(large)/rounds >= minServingPart*7.5)
			is.True(float64(small)/rounds >= minServingPart*15)
		})
	}
}

// startRequests reports the first request to the Former. From then on, loads take their full
// time.
func (f *fleet) startRequests() {
	f.beforeFirstRequest = false
	f.step(groupformer.FirstRequestReceived{})
}

// addPair adds two engines without weights to a random fabric domain.
func (f *fleet) addPair() {
	failureDomain, fabricDomain := f.rand.IntN(3), f.rand.IntN(2)
	for range 2 {
		f.add(identifier.FailureDomain(fmt.Sprintf("z%d", failureDomain)), identifier.FabricDomain(fmt.Sprintf("z%d-d%d", failureDomain, fabricDomain)))
	}
}

// TestMembersInOneGroup injects random faults of all kinds and checks that no engine joins a
// group while the head of its previous group serves, and that no head opens before all members
// were ready.
func TestMembersInOneGroup(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f := newFleet(seed, 3, 2, 10)
			f.run(8 * time.Second)
			f.startRequests()
			f.delayedOrderPart = 0.3
			fence := uint64(1)
			for range 16 {
				switch f.rand.IntN(7) {
				case 0:
					f.crashMembers(3)
				case 1:
					f.partitionFailureDomain(time.Duration(3+f.rand.IntN(6)) * time.Second)
				case 2:
					fence++
					f.replaceFormer(fence)
				case 3:
					f.addPair()
				case 4:
					f.drain(2)
				case 5:
					f.restart(2)
				case 6:
					f.replaceAtAddress(2)
				}
				f.run(time.Duration(1+f.rand.IntN(4)) * time.Second)
			}
			f.check(t)
		})
	}
}

// TestMembersInOneGroupWithPartitionedHead checks that the members of an unreachable head join
// no other group while the head may serve with them, and that they are used again afterwards.
func TestMembersInOneGroupWithPartitionedHead(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(seed, 3, 2, 10)
			f.run(8 * time.Second)
			f.startRequests()
			for range 6 {
				f.partitionHeads(2, time.Duration(3+f.rand.IntN(8))*time.Second)
				f.run(time.Duration(2+f.rand.IntN(4)) * time.Second)
			}
			f.run(30 * time.Second)
			f.check(t)
			now := f.countServing()
			is.True(now["large"] >= 6) // of the 7 that 60 engines make
			is.True(now["small"] >= 10)
		})
	}
}

// TestNewHolderWaitsForFinishingHead checks that a new holder of the lease does not order
// members to leave their group while its head completes requests. The instance starts right
// after the store recovers. Heads that left during the outage refuse connections and are still
// listed as before.
func TestNewHolderWaitsForFinishingHead(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 2, 10)
	f.run(8 * time.Second)
	f.startRequests()
	f.replaceFormer(2)
	f.run(time.Second)
	f.stopListening(3, 8*time.Second)
	f.run(30 * time.Second)
	f.check(t)
	is.True(f.countServing()["large"] >= 6) // 57 engines are left
}

// TestNewHolderContinuesForming checks that a new holder of the lease completes groups whose
// members have already begun to join.
func TestNewHolderContinuesForming(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(seed, 3, 2, 10)
			f.run(1600 * time.Millisecond) // joins are ordered at 1.3 s
			f.replaceFormer(2)
			f.run(2500 * time.Millisecond) // loads take 1.6 s, and opening 0.3 s
			now := f.countServing()
			t.Log(now)
			f.check(t)
			is.True(now["large"] >= 7)
			is.True(now["small"] >= 10)
		})
	}
}

// TestMembersInOneGroupWithDelayedListing checks that members join no other group while their
// unreachable head may serve with them, if a new holder of the lease finds these members on
// its list only after the head counts as dead.
func TestMembersInOneGroupWithDelayedListing(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f := newFleet(seed, 3, 2, 10)
			f.run(8 * time.Second)
			f.startRequests()
			for i := range uint64(5) {
				f.unlistMembers(20, 3*time.Second)
				f.partitionHeads(6, 12*time.Second)
				f.run(200 * time.Millisecond)
				f.replaceFormer(2 + i)
				f.run(14 * time.Second)
			}
			f.check(t)
		})
	}
}

// TestLostOpenIsRepeated checks that a lost order to open is repeated.
func TestLostOpenIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 2, 10)
	f.openOrdersToLose = 30
	f.run(14 * time.Second)
	f.check(t)
	now := f.countServing()
	is.True(now["large"] >= 7) // 60 engines, half of them in groups of 4
	is.True(now["small"] >= 10)
}

// TestMemberDrains checks that a group continues to serve for the drain time of a member and
// then ends, and that a group whose head drains ends at once.
func TestMemberDrains(t *testing.T) {
	for rank, remaining := range map[int]int{0: 0, 1: 1} {
		t.Run(fmt.Sprintf("rank=%d", rank), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 1, 1, 4) // a group of four, or two of two
			f.run(8 * time.Second)
			f.startRequests()
			before := f.countServing()["small"] + f.countServing()["large"]
			is.True(before > 0)
			f.drainMember(rank)
			f.run(1500 * time.Millisecond)
			now := f.countServing()["small"] + f.countServing()["large"]
			is.Equal(now, before-1+remaining)
			f.run(3 * time.Second)
			f.check(t)
			is.Equal(f.countServing()["small"]+f.countServing()["large"], before-1)
		})
	}
}

// drainMember marks one engine of the given rank in a group as draining.
func (f *fleet) drainMember(rank int) {
	for _, id := range f.ids() {
		e := f.engines[id]
		if e.Membership.Group != "" && e.Membership.Rank == rank {
			e.Draining, f.listChanged = true, true
			f.schedule(6*time.Second, func() { e.dead, e.listed, f.listChanged = true, false, true })
			return
		}
	}
}

// TestRollingReplacement checks that both models keep groups while half of the engines are
// replaced, a few at a time, by engines without weights.
func TestRollingReplacement(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(seed, 3, 2, 10)
			f.run(10 * time.Second)
			f.startRequests()
			const rounds = 12
			large, small := 0, 0
			for range rounds {
				f.addPair()
				f.drain(2)
				f.run(800 * time.Millisecond)
				now := f.countServing()
				large += now["large"]
				small += now["small"]
			}
			f.check(t)
			t.Logf("mean groups: large %.1f, small %.1f", float64(large)/rounds, float64(small)/rounds)
			is.True(float64(large)/rounds >= minServingPart*7.5)
			is.True(float64(small)/rounds >= minServingPart*15)
		})
	}
}

// minKeptPart is the part of the groups that must stay in service while entries are missing
// for some seconds and another instance takes over the lease.
const minKeptPart = 0.8

// TestNewHolderKeepsGroups checks that a new holder of the lease does not dissolve groups
// because it knows few engines yet: the entries of some live engines are missing when it takes
// over.
func TestNewHolderKeepsGroups(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleetWithProfile(&wideProfile, seed, 4, 3, 18)
			f.run(12 * time.Second)
			f.startRequests()
			for range 3 {
				f.crashMembers(3)
				f.run(3 * time.Second)
			}
			before := f.countServing()
			f.unlistMembers(25, 5*time.Second)
			f.run(200 * time.Millisecond)
			f.replaceFormer(2)
			least := before
			for i := range 40 {
				if i%10 == 0 {
					f.step(groupformer.LatencyReported{Service: "guides", Model: "small", Requests: 100})
					f.step(groupformer.LatencyReported{Service: "guides", Model: "large", Requests: 100, MissedGoal: 60})
				}
				f.run(100 * time.Millisecond)
				now := f.countServing()
				if now["small"] < least["small"] {
					least = now
				}
			}
			f.check(t)
			t.Log(before, least)
			is.True(float64(least["small"]) >= minKeptPart*float64(before["small"]))
		})
	}
}

// TestReassignSeveralGroups checks that a model whose only group lost most of its members gets
// as many groups of the other model as it needs to form a new one.
func TestReassignSeveralGroups(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 10)
	f.run(8 * time.Second)
	f.startRequests()
	f.run(90 * time.Second) // the hosts stage the other model
	before := f.countServing()
	is.Equal(before["large"], 1)
	is.True(before["small"] >= 3)
	lost := 0
	for _, id := range f.ids() {
		if e := f.engines[id]; lost < 3 && len(e.Models) > 0 && e.Models[0] == "large" && e.Membership.Group != "" {
			lost++
			f.crash(e)
		}
	}
	f.run(12 * time.Second)
	f.check(t)
	is.Equal(f.countServing()["large"], 1)
}
