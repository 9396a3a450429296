package groupformer_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// profile is the engine profile of a service with a large and a small model.
var profile = resolver.EngineProfile{
	Slots: 17, LoadsPerSecond: 5, FullSpeedLoads: 7, StagedModels: 1, OpenTime: 300 * time.Millisecond,
	Models: []resolver.Model{
		{Name: "large", GroupSize: 4, Share: 0.5, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 2, Share: 0.5, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	},
}

// wideProfile has a model of eight engines in addition to the small model.
var wideProfile = resolver.EngineProfile{
	Slots: 15, LoadsPerSecond: 18, FullSpeedLoads: 27, StagedModels: 1, OpenTime: 300 * time.Millisecond,
	Models: []resolver.Model{
		{Name: "large", GroupSize: 8, Share: 0.5, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 2, Share: 0.5, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	},
}

// Times of the simulated fleet.
const (
	fleetStep        = 20 * time.Millisecond
	orderLatency     = 20 * time.Millisecond
	rejoinTime       = 200 * time.Millisecond
	earlyLoadSpeedup = 10                      // factor by which loads are faster before the first request
	entryLife        = 3600 * time.Millisecond // how long an entry stays in the store after its engine stops renewing it
)

// fleet simulates engines that execute a Former's orders as the users' pages describe, and
// records violations of the Former's guarantees.
type fleet struct {
	profile            *resolver.EngineProfile
	core               *groupformer.Former
	rand               *rand.Rand
	now                time.Time
	engines            map[identifier.Endpoint]*fakeEngine
	nextID             int
	scheduled          []scheduledCall
	orders             int                         // orders received so far
	queries            map[identifier.Endpoint]int // queries received so far
	beforeFirstRequest bool
	openOrdersToLose   int                               // the next orders to open, which are lost
	delayedOrderPart   float64                           // part of the orders that get no answer and are executed seconds later
	partitioned        map[identifier.FailureDomain]bool // failure domains that neither the Former nor the store can reach
	dissolved          map[identifier.Group]bool         // groups that the Former has begun to dissolve
	violations         []string
	published          map[identifier.Endpoint]endpointlister.Endpoint // the list that the Former has; nil before the first
	answerDelay        time.Duration                                   // from the execution of an order to its answer
	listChanged        bool                                            // the list must be published again
	members            map[identifier.Group][]identifier.Endpoint      // as ordered
	wasReady           map[string]bool                                 // by "GROUP/ENGINE"
}

// scheduledCall is a call that is due at a time.
type scheduledCall struct {
	at time.Time
	do func()
}

// fakeEngine is a simulated engine.
type fakeEngine struct {
	endpointlister.Endpoint
	orders      uint64
	dead        bool
	unreachable bool                    // it runs, but nobody can reach it and it cannot reach the store
	finishing   bool                    // it refuses connections and completes its requests
	refuses     bool                    // its host refuses connections, because its process has exited
	replacedBy  identifier.ProcessStart // process start of the engine that now has the address; zero for none
	listed      bool
	minEpoch    identifier.Epoch // joins with a lower epoch are refused
	staging     bool

	reportsLeaving bool // its reports say that it leaves, and its entry does not

	lastListing endpointlister.Endpoint // its entry in the store, which is outdated while it is unreachable or partitioned
}

// newFleet returns a fleet with perDomain engines in each of fabricDomains fabric domains of
// each of failureDomains failure domains.
func newFleet(seed uint64, failureDomains, fabricDomains, perDomain int) *fleet {
	return newFleetWithProfile(&profile, seed, failureDomains, fabricDomains, perDomain)
}

func newFleetWithProfile(p *resolver.EngineProfile, seed uint64, failureDomains, fabricDomains, perDomain int) *fleet {
	f := &fleet{
		profile: p,
		core:    groupformer.New(groupformer.Config{FirstStart: true}), rand: rand.New(rand.NewPCG(seed, seed)), now: time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC),
		engines: map[identifier.Endpoint]*fakeEngine{}, queries: map[identifier.Endpoint]int{}, dissolved: map[identifier.Group]bool{}, beforeFirstRequest: true, partitioned: map[identifier.FailureDomain]bool{},
		members: map[identifier.Group][]identifier.Endpoint{}, wasReady: map[string]bool{},
	}
	for z := range failureDomains {
		for d := range fabricDomains {
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

func (f *fleet) add(failureDomain identifier.FailureDomain, fabricDomain identifier.FabricDomain) {
	f.nextID++
	id := identifier.Endpoint(fmt.Sprintf("e%03d", f.nextID))
	f.engines[id] = &fakeEngine{listed: true, Endpoint: endpointlister.Endpoint{
		ID: id, Service: "guides", FailureDomain: failureDomain, FabricDomain: fabricDomain, Slots: 17, ProcessStart: identifier.ProcessStart(f.nextID),
	}}
	f.listChanged = true
}

// run simulates the next period of length d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		slices.SortStableFunc(f.scheduled, func(a, b scheduledCall) int { return a.at.Compare(b.at) })
		for len(f.scheduled) > 0 && !f.scheduled[0].at.After(f.now) {
			call := f.scheduled[0]
			f.scheduled = f.scheduled[1:]
			call.do()
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

// publishList sends the list of unexpired entries to the Former: the whole list at first, and its
// changes later.
func (f *fleet) publishList() {
	out := groupformer.EndpointsChanged{Complete: f.published == nil}
	next := map[identifier.Endpoint]endpointlister.Endpoint{}
	for _, id := range f.ids() {
		e := f.engines[id]
		if !e.listed {
			continue
		}
		if !f.partitioned[e.FailureDomain] && !e.unreachable {
			e.lastListing = e.Endpoint
		}
		next[id] = e.lastListing
		if old, ok := f.published[id]; !ok || !reflect.DeepEqual(old, e.lastListing) {
			out.Changed = append(out.Changed, e.lastListing)
		}
	}
	for id := range f.published {
		if _, ok := next[id]; !ok {
			out.Removed = append(out.Removed, id)
		}
	}
	slices.Sort(out.Removed)
	f.published = next
	f.step(out)
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
			f.queryEngine(a)
		case groupformer.WakeAt:
			f.schedule(a.At.Sub(f.now), func() { f.step(groupformer.Ticked{}) })
		case groupformer.LogDecision:
			if strings.HasPrefix(a.Decision, "dissolve:") {
				f.dissolved[a.Group] = true
			}
		}
	}
}

func (f *fleet) canReach(e *fakeEngine) bool {
	return e != nil && !e.dead && !e.unreachable && !e.finishing && !f.partitioned[e.FailureDomain]
}

func (f *fleet) order(o groupformer.Order) {
	f.orders++
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
	f.schedule(orderLatency, func() {
		result := f.executeOrder(e, o)
		f.schedule(f.answerDelay, func() { answer(result) })
	})
}

func (f *fleet) queryEngine(a groupformer.FetchReport) {
	f.queries[a.ID]++
	e := f.engines[a.ID]
	if e != nil && e.replacedBy != 0 && !f.partitioned[e.FailureDomain] {
		f.schedule(orderLatency, func() {
			f.step(groupformer.Reported{ID: a.ID, Endpoint: endpointlister.Endpoint{FabricDomain: e.FabricDomain, ProcessStart: e.replacedBy}})
		})
		return
	}
	if !f.canReach(e) {
		refused := e != nil && (e.finishing || e.refuses)
		triedInDomain := e == nil || !f.partitioned[e.FailureDomain]
		f.schedule(220*time.Millisecond, func() {
			f.step(groupformer.Unreachable{ID: a.ID, ConnectionRefused: refused, TriedInDomain: triedInDomain, TriedByPeers: a.ViaPeers})
		})
		return
	}
	f.schedule(orderLatency, func() {
		reported := e.Endpoint
		reported.Draining = reported.Draining || e.reportsLeaving
		f.step(groupformer.Reported{ID: a.ID, Endpoint: reported, AcceptedOrders: e.orders, Busy: e.staging})
	})
}

// executeOrder executes an order as an engine does and returns its result.
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

// scheduleIfUnchanged calls do after d, unless the engine exits or its membership changes
// before.
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
		d /= earlyLoadSpeedup
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

// checkPreviousHeadClosed records a violation if e joins another group while the head of its
// current group serves.
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

// checkHeadFinished records a violation if e leaves a group whose head still completes its
// requests.
func (f *fleet) checkHeadFinished(e *fakeEngine, op groupformer.Leave) {
	for _, h := range f.engines {
		if h != e && h.finishing && !h.dead && h.Membership.Group == op.Group {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s leaves %s while %s serves", f.now.Format("05.00"), e.ID, op.Group, h.ID))
		}
	}
}

// checkMembersReady records a violation if a head opens although a member was never ready.
func (f *fleet) checkMembersReady(head *fakeEngine) {
	group := head.Membership.Group
	for _, id := range f.members[group] {
		if !f.wasReady[string(group)+"/"+string(id)] {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s opens though %s was never ready", f.now.Format("05.00"), group, id))
		}
	}
}

// check fails t if a violation was recorded.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	for _, violation := range f.violations {
		t.Error(violation)
	}
}

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

// membershipKey is the sort key of an engine by membership: 1 in a group, 0 in none.
func membershipKey(e *fakeEngine) int {
	if e.Membership.Group != "" {
		return 1
	}
	return 0
}

// countServing returns the number of complete serving groups by model.
func (f *fleet) countServing() map[string]int {
	out := map[string]int{}
	for _, h := range f.engines {
		m := h.Membership
		if h.dead || m.Rank != 0 || m.State != endpointlister.MemberOpen {
			continue
		}
		complete := true
		for _, id := range f.members[m.Group] {
			e := f.engines[id]
			complete = complete && !e.dead && e.Membership.IsSameGroup(m)
		}
		if complete {
			out[h.Models[0]]++
		}
	}
	return out
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
