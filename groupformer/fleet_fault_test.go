package groupformer_test

import (
	"fmt"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// crashMembers crashes n random engines, engines of groups first.
func (f *fleet) crashMembers(n int) {
	ids := f.ids()
	f.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	slices.SortStableFunc(ids, func(a, b identifier.Endpoint) int { return membershipKey(f.engines[b]) - membershipKey(f.engines[a]) })
	for _, id := range ids {
		e := f.engines[id]
		if n == 0 || e.dead {
			continue
		}
		n--
		f.crash(e)
	}
}

// crash ends an engine and its host without notice. The requests of its group stall, which is
// detected.
func (f *fleet) crash(e *fakeEngine) {
	e.dead = true
	f.schedule(entryLife, func() { e.listed, f.listChanged = false, true })
	f.schedule(400*time.Millisecond, func() {
		if e.Membership.Group != "" {
			f.step(groupformer.HeadStalled{Head: f.members[e.Membership.Group][0]})
		}
	})
}

// partitionFailureDomain partitions a failure domain from the Former and the store for d,
// unless one is already partitioned.
func (f *fleet) partitionFailureDomain(d time.Duration) {
	if len(f.partitioned) > 0 {
		return
	}
	failureDomain := identifier.FailureDomain(fmt.Sprintf("z%d", f.rand.IntN(3)))
	f.partitioned[failureDomain] = true
	forEachLive := func(do func(*fakeEngine)) {
		for _, id := range f.ids() {
			if e := f.engines[id]; e.FailureDomain == failureDomain && !e.dead {
				do(e)
			}
		}
	}
	f.schedule(entryLife, func() {
		if f.partitioned[failureDomain] {
			forEachLive(func(e *fakeEngine) { e.listed = false })
			f.listChanged = true
		}
	})
	f.schedule(d, func() {
		delete(f.partitioned, failureDomain)
		forEachLive(func(e *fakeEngine) {
			f.schedule(time.Duration(f.rand.IntN(1500))*time.Millisecond, func() { e.listed, f.listChanged = !e.dead, true })
		})
	})
}

// partitionHeads makes n heads of serving groups unreachable for everyone for d. The other
// members stay reachable.
func (f *fleet) partitionHeads(n int, d time.Duration) {
	ids := f.ids()
	f.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		e := f.engines[id]
		if n == 0 || !f.canReach(e) || e.Membership.Rank != 0 || e.Membership.State != endpointlister.MemberOpen {
			continue
		}
		n--
		e.unreachable = true
		f.schedule(400*time.Millisecond, func() { f.step(groupformer.HeadStalled{Head: id}) })
		f.schedule(entryLife, func() { e.listed, f.listChanged = !e.unreachable, true })
		f.schedule(d, func() { e.unreachable, e.listed, f.listChanged = false, !e.dead, true })
	}
}

// unlistMembers removes the entries of n live members other than heads for d.
func (f *fleet) unlistMembers(n int, d time.Duration) {
	ids := f.ids()
	f.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		e := f.engines[id]
		if n == 0 || !f.canReach(e) || !e.listed || e.Membership.Rank == 0 {
			continue
		}
		n--
		e.listed, f.listChanged = false, true
		f.schedule(d, func() { e.listed, f.listChanged = !e.dead, true })
	}
}

// stopListening lets n serving heads refuse connections while their entries stay unchanged,
// and exit after d.
func (f *fleet) stopListening(n int, d time.Duration) {
	for _, id := range f.ids() {
		e := f.engines[id]
		if n == 0 || !f.canReach(e) || e.Membership.Rank != 0 || e.Membership.State != endpointlister.MemberOpen {
			continue
		}
		n--
		e.finishing = true
		f.step(groupformer.HeadStalled{Head: id})
		f.schedule(d, func() { e.dead, e.listed, f.listChanged = true, false, true })
	}
}

// replaceFormer replaces the Former by that of another instance, which knows nothing but the
// list.
func (f *fleet) replaceFormer(fence uint64) {
	f.core, f.published = groupformer.New(groupformer.Config{}), nil
	f.step(groupformer.ServicesSet{Services: []resolver.Service{{Name: "guides", Engine: f.profile}}})
	f.publishList()
	f.step(groupformer.LeaseSet{Until: f.now.Add(24 * time.Hour), Fence: fence})
}

// drain marks n engines as draining. They exit after some seconds.
func (f *fleet) drain(n int) {
	for _, e := range f.pickLive(n) {
		e.Draining, f.listChanged = true, true
		f.schedule(6*time.Second, func() { e.dead, e.listed, f.listChanged = true, false, true })
	}
}

// restart crashes n engines, which start again with the same ID and an empty state.
func (f *fleet) restart(n int) {
	for _, e := range f.pickLive(n) {
		e.dead = true
		f.schedule(2*time.Second, func() {
			f.nextID++
			e.dead, e.listed, f.listChanged = false, true, true
			e.ProcessStart = identifier.ProcessStart(f.nextID)
			e.orders, e.minEpoch, e.Models, e.Membership, e.staging = 0, 0, nil, endpointlister.Membership{}, false
		})
	}
}

// pickLive returns up to n random engines that are neither dead nor draining.
func (f *fleet) pickLive(n int) []*fakeEngine {
	ids := f.ids()
	f.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []*fakeEngine
	for _, id := range ids {
		if e := f.engines[id]; !e.dead && !e.Draining && len(out) < n {
			out = append(out, e)
		}
	}
	return out
}

// replaceAtAddress crashes n engines, whose addresses are taken over by other engines. A
// report does not name its engine, so only the process start in it shows the replacement.
func (f *fleet) replaceAtAddress(n int) {
	for _, e := range f.pickLive(n) {
		f.nextID++
		e.replacedBy = identifier.ProcessStart(f.nextID)
		e.dead = true
		f.schedule(entryLife, func() { e.listed, f.listChanged = false, true })
	}
}
