package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
)

// TestGroupsAreFormedUnderLowerFence guards against a holder of the lease that forms no groups after the store was restored
// from an older copy: its fence is a revision of the new era, which may be lower than that of the holders before, and
// engines refuse epochs lower than those that they have seen. The holder is another instance, or the one before.
func TestGroupsAreFormedUnderLowerFence(t *testing.T) {
	for _, isSuccessor := range []bool{false, true} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("successor=%t,seed=%d", isSuccessor, seed), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(seed, 3, 2, 10)
				f.replaceFormer(5000)
				f.run(10 * time.Second)
				f.startRequests()
				before := f.countServing()
				f.crashMembers(6)
				f.run(2 * time.Second) // members of broken groups have left them and show no epoch
				if isSuccessor {
					f.replaceFormer(3)
				} else {
					f.step(groupformer.LeaseSet{Fence: 5000})
					f.step(groupformer.LeaseSet{Until: f.now.Add(24 * time.Hour), Fence: 3})
				}
				for range 5 {
					f.crashMembers(1)
					f.addPair()
					f.run(4 * time.Second)
				}
				f.run(20 * time.Second)
				after := f.countServing()
				is.True(after["large"] >= before["large"]-2)
				is.True(after["small"] >= before["small"]-2)
				f.check(t)
			})
		}
	}
}

// TestEpochsAreNotRaisedByOddEntry guards against an epoch that no holder can have issued, in the entry of an endpoint: the
// epochs after it would overflow.
func TestEpochsAreNotRaisedByOddEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 4)
	odd := f.engines[f.ids()[0]]
	odd.Membership.Group, odd.Membership.Epoch = "odd", ^identifier.Epoch(0)
	f.listChanged = true
	f.run(8 * time.Second)
	for _, m := range f.memberships() {
		is.True(m.Group == "odd" || m.Epoch < 1<<40)
	}
}
