package groupformer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// profile is a service with a large and a small model.
var profile = resolver.EngineProfile{
	Slots: 17, LoadsPerSecond: 5, FullSpeedLoads: 7, StagedModels: 1, OpenTime: 300 * time.Millisecond,
	Models: []resolver.Model{
		{Name: "large", GroupSize: 4, Share: 0.5, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 2, Share: 0.5, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	},
}

// wideProfile has a model of eight engines beside the small one.
var wideProfile = resolver.EngineProfile{
	Slots: 15, LoadsPerSecond: 18, FullSpeedLoads: 27, StagedModels: 1, OpenTime: 300 * time.Millisecond,
	Models: []resolver.Model{
		{Name: "large", GroupSize: 8, Share: 0.5, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 2, Share: 0.5, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	},
}

// Times of the fleet.
const (
	fleetStep    = 20 * time.Millisecond
	orderLatency = 20 * time.Millisecond
	rejoinTime   = 200 * time.Millisecond
	freshFactor  = 10 // by which loads are quicker before the first request
	entryLife    = 3600 * time.Millisecond
)

// fleet is engines that carry out a Former's orders as the users' pages describe them, and
// checks what must never happen.
type fleet struct {
	profile            *resolver.EngineProfile
	core               *groupformer.Former
	rand               *rand.Rand
	now                time.Time
	engines            map[identifier.Endpoint]*fakeEngine
	nextID             int
	scheduled          []scheduledCall
	beforeFirstRequest bool
	openOrdersToLose   int     // orders to open that get lost, the next ones
	delayedOrderPart   float64 // part of the orders that are not answered and carried out seconds later
	partitioned        map[identifier.FailureDomain]bool
	violations         []string
	listChanged        bool
	members            map[identifier.Group][]identifier.Endpoint // as ordered
	wasReady           map[string]bool                            // by group and engine
}

type scheduledCall struct {
	at time.Time
	do func()
}

type fakeEngine struct {
	endpointlister.Endpoint
	orders      uint64
	dead        bool
	unreachable bool                    // it goes on, and nobody reaches it, nor it the store
	finishing   bool                    // it refuses connections and serves what it has
	replacedBy  identifier.ProcessStart // of the engine that has the address; zero for none
	listed      bool
	minEpoch    identifier.Epoch // below which joins are refused
	staging     bool
	lastListing endpointlister.Endpoint
}

func newFleet(seed uint64, zones, domains, perDomain int) *fleet {
	return newFleetWithProfile(&profile, seed, zones, domains, perDomain)
}

func newFleetWithProfile(p *resolver.EngineProfile, seed uint64, zones, domains, perDomain int) *fleet {
	f := &fleet{
		profile: p,
		core:    groupformer.New(groupformer.Config{FirstStart: true}), rand: rand.New(rand.NewPCG(seed, seed)), now: time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC),
		engines: map[identifier.Endpoint]*fakeEngine{}, beforeFirstRequest: true, partitioned: map[identifier.FailureDomain]bool{},
		members: map[identifier.Group][]identifier.Endpoint{}, wasReady: map[string]bool{},
	}
	for z := range zones {
		for d := range domains {
			for range perDomain {
				f.add(identifier.FailureDomain(fmt.Sprintf("z%d", z)), identifier.FabricDomain(fmt.Sprintf("z%d-d%d", z, d)))
			}
		}
	}
	f.step(groupformer.ServicesSet{Services: []resolver.Service{{Name: "guides", Engine: f.profile}}})
	f.publishList()
	f.step(groupformer.LeaseSet{Until: f.now.Add(24 * time.Hour), Fence: 1})
	return f
}

func (f *fleet) add(zone identifier.FailureDomain, domain identifier.FabricDomain) {
	f.nextID++
	id := identifier.Endpoint(fmt.Sprintf("e%03d", f.nextID))
	f.engines[id] = &fakeEngine{listed: true, Endpoint: endpointlister.Endpoint{
		ID: id, Service: "guides", FailureDomain: zone, FabricDomain: domain, Slots: 17, ProcessStart: identifier.ProcessStart(f.nextID),
	}}
	f.listChanged = true
}

// run lets d pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		slices.SortStableFunc(f.scheduled, func(a, b scheduledCall) int { return a.at.Compare(b.at) })
		for len(f.scheduled) > 0 && !f.scheduled[0].at.After(f.now) {
			e := f.scheduled[0]
			f.scheduled = f.scheduled[1:]
			e.do()
		}
		if f.listChanged {
			f.listChanged = false
			f.schedule(100*time.Millisecond, f.publishList)
		}
		if f.now.UnixMilli()%100 == 0 {
			f.step(groupformer.Ticked{})
		}
	}
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.scheduled = append(f.scheduled, scheduledCall{f.now.Add(d), do})
}

// publishList lists the engines whose entries stand.
func (f *fleet) publishList() {
	var out []endpointlister.Endpoint
	for _, id := range f.ids() {
		e := f.engines[id]
		if !e.listed {
			continue
		}
		if !f.partitioned[e.FailureDomain] && !e.unreachable {
			e.lastListing = e.Endpoint
		}
		out = append(out, e.lastListing)
	}
	f.step(groupformer.EndpointsSet{Endpoints: out})
}

func (f *fleet) ids() []identifier.Endpoint {
	var out []identifier.Endpoint
	for id := range f.engines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (f *fleet) step(e groupformer.Event) {
	for _, a := range slices.Clone(f.core.Step(f.now, e)) {
		switch a := a.(type) {
		case groupformer.Order:
			f.order(a)
		case groupformer.FetchReport:
			f.ask(a)
		}
	}
}

func (f *fleet) canReach(e *fakeEngine) bool {
	return e != nil && !e.dead && !e.unreachable && !e.finishing && !f.partitioned[e.FailureDomain]
}

func (f *fleet) order(o groupformer.Order) {
	e := f.engines[o.ID]
	answer := func(r groupformer.Result) { f.step(groupformer.OrderEnded{ID: o.ID, Number: o.Number, Result: r}) }
	if !f.canReach(e) {
		f.schedule(450*time.Millisecond, func() { answer(groupformer.ResultUnanswered) })
		return
	}
	if _, opens := o.Operation.(groupformer.Open); opens && f.openOrdersToLose > 0 {
		f.openOrdersToLose--
		f.schedule(450*time.Millisecond, func() { answer(groupformer.ResultUnanswered) })
		return
	}
	if f.rand.Float64() < f.delayedOrderPart {
		f.schedule(450*time.Millisecond, func() { answer(groupformer.ResultUnanswered) })
		f.schedule(time.Duration(2+f.rand.IntN(8))*time.Second, func() { f.executeOrder(e, o) })
		return
	}
	f.schedule(orderLatency, func() { answer(f.executeOrder(e, o)) })
}

func (f *fleet) ask(a groupformer.FetchReport) {
	e := f.engines[a.ID]
	if e != nil && e.replacedBy != 0 && !f.partitioned[e.FailureDomain] {
		f.schedule(orderLatency, func() {
			f.step(groupformer.Reported{ID: a.ID, Endpoint: endpointlister.Endpoint{FabricDomain: e.FabricDomain, ProcessStart: e.replacedBy}})
		})
		return
	}
	if !f.canReach(e) {
		refused := e != nil && e.finishing
		near := e == nil || !f.partitioned[e.FailureDomain]
		f.schedule(220*time.Millisecond, func() {
			f.step(groupformer.Unreachable{ID: a.ID, ConnectionRefused: refused, TriedInDomain: near, TriedByPeers: a.ViaPeers})
		})
		return
	}
	f.schedule(orderLatency, func() {
		f.step(groupformer.Reported{ID: a.ID, Endpoint: e.Endpoint, AcceptedOrders: e.orders, Busy: e.staging})
	})
}

// executeOrder does what an engine does with an order.
func (f *fleet) executeOrder(e *fakeEngine, o groupformer.Order) groupformer.Result {
	if e.dead {
		return groupformer.ResultUnanswered
	}
	if o.Expected != e.orders {
		return groupformer.ResultConflict
	}
	m := &e.Membership
	switch op := o.Operation.(type) {
	case groupformer.Join:
		return f.join(e, op)
	case groupformer.Open:
		if m.Group != op.Group || m.Epoch != op.Epoch || m.State != endpointlister.MemberReady || m.Rank != 0 {
			return groupformer.ResultConflict
		}
		e.orders++
		f.scheduleIfUnchanged(e, f.profile.OpenTime, *m, func() {
			f.checkMembersReady(e)
			e.Membership.State = endpointlister.MemberOpen
		})
	case groupformer.Close:
		if m.Group != op.Group || m.State != endpointlister.MemberOpen {
			return groupformer.ResultConflict
		}
		e.orders++
		m.State = endpointlister.MemberClosing
		wait := time.Duration(0)
		if !op.Abort {
			wait = time.Second
		}
		f.scheduleIfUnchanged(e, wait, *m, func() { e.Membership.State = endpointlister.MemberReady })
	case groupformer.Leave:
		if m.Group != op.Group || m.Epoch != op.Epoch {
			return groupformer.ResultConflict
		}
		f.checkHeadFinished(e, op)
		e.orders++
		*m = endpointlister.Membership{}
	case groupformer.Stage:
		e.orders++
		e.staging = true
		start := e.ProcessStart
		f.schedule(f.loadTime(op.Model), func() {
			if !e.dead && e.ProcessStart == start {
				e.Staged, e.staging, f.listChanged = []string{op.Model}, false, true
			}
		})
	}
	f.listChanged = true
	return groupformer.ResultAccepted
}

// scheduleIfUnchanged does something to e unless its membership changed meanwhile.
func (f *fleet) scheduleIfUnchanged(e *fakeEngine, d time.Duration, m endpointlister.Membership, do func()) {
	f.schedule(d, func() {
		if !e.dead && e.Membership == m {
			do()
			f.listChanged = true
		}
	})
}

func (f *fleet) loadTime(model string) time.Duration {
	d := f.findModel(model).LoadTime
	if f.beforeFirstRequest {
		d /= freshFactor
	}
	return d
}

func (f *fleet) findModel(name string) resolver.Model {
	return f.profile.Models[slices.IndexFunc(f.profile.Models, func(m resolver.Model) bool { return m.Name == name })]
}

func (f *fleet) join(e *fakeEngine, op groupformer.Join) groupformer.Result {
	if op.Epoch < e.minEpoch {
		return groupformer.ResultStale
	}
	f.checkPreviousHeadClosed(e, op)
	e.minEpoch = op.Epoch
	e.orders++
	f.members[op.Group] = op.Members
	d := f.loadTime(op.Model)
	switch {
	case slices.Contains(e.Models, op.Model):
		d = rejoinTime
	case slices.Contains(e.Staged, op.Model):
		d = f.findModel(op.Model).WarmLoadTime
	}
	loads := !slices.Contains(e.Models, op.Model) && !slices.Contains(e.Staged, op.Model)
	e.Membership = endpointlister.Membership{Group: op.Group, Epoch: op.Epoch, Rank: slices.Index(op.Members, e.ID), State: endpointlister.MemberJoining}
	f.scheduleIfUnchanged(e, d, e.Membership, func() {
		e.Membership.State = endpointlister.MemberReady
		e.Models = []string{op.Model}
		if loads {
			e.Staged = []string{op.Model}
		}
		f.wasReady[string(op.Group)+"/"+string(e.ID)] = true
	})
	f.listChanged = true
	return groupformer.ResultAccepted
}

// checkPreviousHeadClosed notes a fault if e joins another group while the head of its own serves.
func (f *fleet) checkPreviousHeadClosed(e *fakeEngine, op groupformer.Join) {
	old := e.Membership
	if old.Group == "" || old.Group == op.Group {
		return
	}
	for _, h := range f.engines {
		m := h.Membership
		if !h.dead && m.IsSameGroup(old) && m.Rank == 0 && (m.State == endpointlister.MemberOpen || m.State == endpointlister.MemberClosing) {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s joins %s while %s of %s serves", f.now.Format("05.00"), e.ID, op.Group, h.ID, old.Group))
		}
	}
}

// checkHeadFinished notes a fault if e leaves a group whose head still serves what it has.
func (f *fleet) checkHeadFinished(e *fakeEngine, op groupformer.Leave) {
	for _, h := range f.engines {
		if h != e && h.finishing && !h.dead && h.Membership.Group == op.Group {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s leaves %s while %s serves", f.now.Format("05.00"), e.ID, op.Group, h.ID))
		}
	}
}

// checkMembersReady notes a fault if a head opens without all members having been ready.
func (f *fleet) checkMembersReady(head *fakeEngine) {
	group := head.Membership.Group
	for _, id := range f.members[group] {
		if !f.wasReady[string(group)+"/"+string(id)] {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s opens though %s was never ready", f.now.Format("05.00"), group, id))
		}
	}
}

// check fails t if something happened that must never happen.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	for _, fault := range f.violations {
		t.Error(fault)
	}
}

// crashMembers ends n engines of groups, or of none if there are not enough.
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
		f.end(e)
	}
}

// end ends an engine without a word. Its group stands still, which is noticed.
func (f *fleet) end(e *fakeEngine) {
	e.dead = true
	f.schedule(entryLife, func() { e.listed, f.listChanged = false, true })
	f.schedule(400*time.Millisecond, func() {
		if e.Membership.Group != "" {
			f.step(groupformer.HeadStalled{Head: f.members[e.Membership.Group][0]})
		}
	})
}

func membershipKey(e *fakeEngine) int {
	if e.Membership.Group != "" {
		return 1
	}
	return 0
}

// countServing returns the whole groups that serve, by model.
func (f *fleet) countServing() map[string]int {
	out := map[string]int{}
	for _, h := range f.engines {
		m := h.Membership
		if h.dead || m.Rank != 0 || m.State != endpointlister.MemberOpen {
			continue
		}
		whole := true
		for _, id := range f.members[m.Group] {
			e := f.engines[id]
			whole = whole && !e.dead && e.Membership.IsSameGroup(m)
		}
		if whole {
			out[h.Models[0]]++
		}
	}
	return out
}

// partitionFailureDomain cuts a failure domain off from the former and the store for d, unless one is cut off already.
func (f *fleet) partitionFailureDomain(d time.Duration) {
	if len(f.partitioned) > 0 {
		return
	}
	zone := identifier.FailureDomain(fmt.Sprintf("z%d", f.rand.IntN(3)))
	f.partitioned[zone] = true
	inZone := func(do func(*fakeEngine)) {
		for _, id := range f.ids() {
			if e := f.engines[id]; e.FailureDomain == zone && !e.dead {
				do(e)
			}
		}
	}
	f.schedule(entryLife, func() {
		if f.partitioned[zone] {
			inZone(func(e *fakeEngine) { e.listed = false })
			f.listChanged = true
		}
	})
	f.schedule(d, func() {
		delete(f.partitioned, zone)
		inZone(func(e *fakeEngine) {
			f.schedule(time.Duration(f.rand.IntN(1500))*time.Millisecond, func() { e.listed, f.listChanged = !e.dead, true })
		})
	})
}

// partitionHeads cuts n heads of serving groups off from everyone for d. Their members stay in reach.
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

// unlistMembers takes the entries of n members that are no heads away for d, though they live.
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

// stopListening lets n heads that serve stop to listen, with an entry that says nothing of it, and end after d.
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

// replaceFormer replaces the former by another instance's, which knows nothing but the list.
func (f *fleet) replaceFormer(fence uint64) {
	f.core = groupformer.New(groupformer.Config{})
	f.step(groupformer.ServicesSet{Services: []resolver.Service{{Name: "guides", Engine: f.profile}}})
	f.publishList()
	f.step(groupformer.LeaseSet{Until: f.now.Add(24 * time.Hour), Fence: fence})
}

// drain lets n engines leave: they say so, and end after some seconds.
func (f *fleet) drain(n int) {
	for _, e := range f.pickLive(n) {
		e.Draining, f.listChanged = true, true
		f.schedule(6*time.Second, func() { e.dead, e.listed, f.listChanged = true, false, true })
	}
}

// restart lets n engines crash and start again with the same ID, knowing nothing.
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

// pickLive returns n engines that live.
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

// replaceAtAddress lets n engines crash, while others start at their addresses. Their reports do not name them.
func (f *fleet) replaceAtAddress(n int) {
	for _, e := range f.pickLive(n) {
		f.nextID++
		e.replacedBy = identifier.ProcessStart(f.nextID)
		e.dead = true
		f.schedule(entryLife, func() { e.listed, f.listChanged = false, true })
	}
}
