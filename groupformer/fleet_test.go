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
	profile  *resolver.EngineProfile
	core     *groupformer.Former
	rand     *rand.Rand
	now      time.Time
	engines  map[identifier.Endpoint]*fakeEngine
	nextID   int
	due      []event
	fresh    bool
	lostOpen int     // orders to open that get lost, the next ones
	late     float64 // part of the orders that are not answered and carried out seconds later
	cut      map[identifier.FailureDomain]bool
	faults   []string
	changed  bool
	members  map[identifier.Group][]identifier.Endpoint // as ordered
	wasReady map[string]bool                            // by group and engine
}

type event struct {
	at time.Time
	do func()
}

type fakeEngine struct {
	endpointlister.Endpoint
	orders     uint64
	dead       bool
	silent     bool                    // it goes on, and nobody reaches it, nor it the store
	finishing  bool                    // it refuses connections and serves what it has
	replacedBy identifier.ProcessStart // of the engine that has the address; zero for none
	listed     bool
	lowest     identifier.Epoch // below which joins are refused
	staging    bool
	lastTold   endpointlister.Endpoint
}

func newFleet(seed uint64, zones, domains, perDomain int) *fleet {
	return newFleetOf(&profile, seed, zones, domains, perDomain)
}

func newFleetOf(p *resolver.EngineProfile, seed uint64, zones, domains, perDomain int) *fleet {
	f := &fleet{
		profile: p,
		core:    groupformer.New(groupformer.Config{FirstStart: true}), rand: rand.New(rand.NewPCG(seed, seed)), now: time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC),
		engines: map[identifier.Endpoint]*fakeEngine{}, fresh: true, cut: map[identifier.FailureDomain]bool{},
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
	f.tell()
	f.step(groupformer.LeaseSet{Until: f.now.Add(24 * time.Hour), Fence: 1})
	return f
}

func (f *fleet) add(zone identifier.FailureDomain, domain identifier.FabricDomain) {
	f.nextID++
	id := identifier.Endpoint(fmt.Sprintf("e%03d", f.nextID))
	f.engines[id] = &fakeEngine{listed: true, Endpoint: endpointlister.Endpoint{
		ID: id, Service: "guides", FailureDomain: zone, FabricDomain: domain, Slots: 17, ProcessStart: identifier.ProcessStart(f.nextID),
	}}
	f.changed = true
}

// run lets d pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		slices.SortStableFunc(f.due, func(a, b event) int { return a.at.Compare(b.at) })
		for len(f.due) > 0 && !f.due[0].at.After(f.now) {
			e := f.due[0]
			f.due = f.due[1:]
			e.do()
		}
		if f.changed {
			f.changed = false
			f.after(100*time.Millisecond, f.tell)
		}
		if f.now.UnixMilli()%100 == 0 {
			f.step(groupformer.Ticked{})
		}
	}
}

func (f *fleet) after(d time.Duration, do func()) { f.due = append(f.due, event{f.now.Add(d), do}) }

// tell lists the engines whose entries stand.
func (f *fleet) tell() {
	var out []endpointlister.Endpoint
	for _, id := range f.ids() {
		e := f.engines[id]
		if !e.listed {
			continue
		}
		if !f.cut[e.FailureDomain] && !e.silent {
			e.lastTold = e.Endpoint
		}
		out = append(out, e.lastTold)
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

func (f *fleet) reaches(e *fakeEngine) bool {
	return e != nil && !e.dead && !e.silent && !e.finishing && !f.cut[e.FailureDomain]
}

func (f *fleet) order(o groupformer.Order) {
	e := f.engines[o.ID]
	answer := func(r groupformer.Result) { f.step(groupformer.OrderEnded{ID: o.ID, Number: o.Number, Result: r}) }
	if !f.reaches(e) {
		f.after(450*time.Millisecond, func() { answer(groupformer.ResultUnanswered) })
		return
	}
	if _, opens := o.Operation.(groupformer.Open); opens && f.lostOpen > 0 {
		f.lostOpen--
		f.after(450*time.Millisecond, func() { answer(groupformer.ResultUnanswered) })
		return
	}
	if f.rand.Float64() < f.late {
		f.after(450*time.Millisecond, func() { answer(groupformer.ResultUnanswered) })
		f.after(time.Duration(2+f.rand.IntN(8))*time.Second, func() { f.carryOut(e, o) })
		return
	}
	f.after(orderLatency, func() { answer(f.carryOut(e, o)) })
}

func (f *fleet) ask(a groupformer.FetchReport) {
	e := f.engines[a.ID]
	if e != nil && e.replacedBy != 0 && !f.cut[e.FailureDomain] {
		f.after(orderLatency, func() {
			f.step(groupformer.Reported{ID: a.ID, Endpoint: endpointlister.Endpoint{FabricDomain: e.FabricDomain, ProcessStart: e.replacedBy}})
		})
		return
	}
	if !f.reaches(e) {
		refused := e != nil && e.finishing
		near := e == nil || !f.cut[e.FailureDomain]
		f.after(220*time.Millisecond, func() {
			f.step(groupformer.Unreachable{ID: a.ID, ConnectionRefused: refused, TriedInDomain: near, TriedByPeers: a.ViaPeers})
		})
		return
	}
	f.after(orderLatency, func() {
		f.step(groupformer.Reported{ID: a.ID, Endpoint: e.Endpoint, AcceptedOrders: e.orders, Busy: e.staging})
	})
}

// carryOut does what an engine does with an order.
func (f *fleet) carryOut(e *fakeEngine, o groupformer.Order) groupformer.Result {
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
		f.later(e, f.profile.OpenTime, *m, func() {
			f.checkWhole(e)
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
		f.later(e, wait, *m, func() { e.Membership.State = endpointlister.MemberReady })
	case groupformer.Leave:
		if m.Group != op.Group || m.Epoch != op.Epoch {
			return groupformer.ResultConflict
		}
		f.checkFinished(e, op)
		e.orders++
		*m = endpointlister.Membership{}
	case groupformer.Stage:
		e.orders++
		e.staging = true
		start := e.ProcessStart
		f.after(f.loadTime(op.Model), func() {
			if !e.dead && e.ProcessStart == start {
				e.Staged, e.staging, f.changed = []string{op.Model}, false, true
			}
		})
	}
	f.changed = true
	return groupformer.ResultAccepted
}

// later does something to e unless its membership changed meanwhile.
func (f *fleet) later(e *fakeEngine, d time.Duration, m endpointlister.Membership, do func()) {
	f.after(d, func() {
		if !e.dead && e.Membership == m {
			do()
			f.changed = true
		}
	})
}

func (f *fleet) loadTime(model string) time.Duration {
	d := f.findModel(model).LoadTime
	if f.fresh {
		d /= freshFactor
	}
	return d
}

func (f *fleet) findModel(name string) resolver.Model {
	return f.profile.Models[slices.IndexFunc(f.profile.Models, func(m resolver.Model) bool { return m.Name == name })]
}

func (f *fleet) join(e *fakeEngine, op groupformer.Join) groupformer.Result {
	if op.Epoch < e.lowest {
		return groupformer.ResultStale
	}
	f.checkLeft(e, op)
	e.lowest = op.Epoch
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
	f.later(e, d, e.Membership, func() {
		e.Membership.State = endpointlister.MemberReady
		e.Models = []string{op.Model}
		if loads {
			e.Staged = []string{op.Model}
		}
		f.wasReady[string(op.Group)+"/"+string(e.ID)] = true
	})
	f.changed = true
	return groupformer.ResultAccepted
}

// checkLeft notes a fault if e joins another group while the head of its own serves.
func (f *fleet) checkLeft(e *fakeEngine, op groupformer.Join) {
	old := e.Membership
	if old.Group == "" || old.Group == op.Group {
		return
	}
	for _, h := range f.engines {
		m := h.Membership
		if !h.dead && m.IsSameGroup(old) && m.Rank == 0 && (m.State == endpointlister.MemberOpen || m.State == endpointlister.MemberClosing) {
			f.faults = append(f.faults, fmt.Sprintf("%s: %s joins %s while %s of %s serves", f.now.Format("05.00"), e.ID, op.Group, h.ID, old.Group))
		}
	}
}

// checkFinished notes a fault if e leaves a group whose head still serves what it has.
func (f *fleet) checkFinished(e *fakeEngine, op groupformer.Leave) {
	for _, h := range f.engines {
		if h != e && h.finishing && !h.dead && h.Membership.Group == op.Group {
			f.faults = append(f.faults, fmt.Sprintf("%s: %s leaves %s while %s serves", f.now.Format("05.00"), e.ID, op.Group, h.ID))
		}
	}
}

// checkWhole notes a fault if a head opens without all members having been ready.
func (f *fleet) checkWhole(head *fakeEngine) {
	group := head.Membership.Group
	for _, id := range f.members[group] {
		if !f.wasReady[string(group)+"/"+string(id)] {
			f.faults = append(f.faults, fmt.Sprintf("%s: %s opens though %s was never ready", f.now.Format("05.00"), group, id))
		}
	}
}

// check fails t if something happened that must never happen.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	for _, fault := range f.faults {
		t.Error(fault)
	}
}

// kill ends n engines of groups, or of none if there are not enough.
func (f *fleet) kill(n int) {
	ids := f.ids()
	f.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	slices.SortStableFunc(ids, func(a, b identifier.Endpoint) int { return joined(f.engines[b]) - joined(f.engines[a]) })
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
	f.after(entryLife, func() { e.listed, f.changed = false, true })
	f.after(400*time.Millisecond, func() {
		if e.Membership.Group != "" {
			f.step(groupformer.HeadStalled{Head: f.members[e.Membership.Group][0]})
		}
	})
}

func joined(e *fakeEngine) int {
	if e.Membership.Group != "" {
		return 1
	}
	return 0
}

// serving returns the whole groups that serve, by model.
func (f *fleet) serving() map[string]int {
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

// cutZone cuts a failure domain off from the former and the store for d, unless one is cut off already.
func (f *fleet) cutZone(d time.Duration) {
	if len(f.cut) > 0 {
		return
	}
	zone := identifier.FailureDomain(fmt.Sprintf("z%d", f.rand.IntN(3)))
	f.cut[zone] = true
	inZone := func(do func(*fakeEngine)) {
		for _, id := range f.ids() {
			if e := f.engines[id]; e.FailureDomain == zone && !e.dead {
				do(e)
			}
		}
	}
	f.after(entryLife, func() {
		if f.cut[zone] {
			inZone(func(e *fakeEngine) { e.listed = false })
			f.changed = true
		}
	})
	f.after(d, func() {
		delete(f.cut, zone)
		inZone(func(e *fakeEngine) {
			f.after(time.Duration(f.rand.IntN(1500))*time.Millisecond, func() { e.listed, f.changed = !e.dead, true })
		})
	})
}

// silence cuts n heads of serving groups off from everyone for d. Their members stay in reach.
func (f *fleet) silence(n int, d time.Duration) {
	ids := f.ids()
	f.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		e := f.engines[id]
		if n == 0 || !f.reaches(e) || e.Membership.Rank != 0 || e.Membership.State != endpointlister.MemberOpen {
			continue
		}
		n--
		e.silent = true
		f.after(400*time.Millisecond, func() { f.step(groupformer.HeadStalled{Head: id}) })
		f.after(entryLife, func() { e.listed, f.changed = !e.silent, true })
		f.after(d, func() { e.silent, e.listed, f.changed = false, !e.dead, true })
	}
}

// hide takes the entries of n members that are no heads away for d, though they live.
func (f *fleet) hide(n int, d time.Duration) {
	ids := f.ids()
	f.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		e := f.engines[id]
		if n == 0 || !f.reaches(e) || !e.listed || e.Membership.Rank == 0 {
			continue
		}
		n--
		e.listed, f.changed = false, true
		f.after(d, func() { e.listed, f.changed = !e.dead, true })
	}
}

// finish lets n heads that serve stop to listen, with an entry that says nothing of it, and end after d.
func (f *fleet) finish(n int, d time.Duration) {
	for _, id := range f.ids() {
		e := f.engines[id]
		if n == 0 || !f.reaches(e) || e.Membership.Rank != 0 || e.Membership.State != endpointlister.MemberOpen {
			continue
		}
		n--
		e.finishing = true
		f.step(groupformer.HeadStalled{Head: id})
		f.after(d, func() { e.dead, e.listed, f.changed = true, false, true })
	}
}

// succeed replaces the former by another instance's, which knows nothing but the list.
func (f *fleet) succeed(fence uint64) {
	f.core = groupformer.New(groupformer.Config{})
	f.step(groupformer.ServicesSet{Services: []resolver.Service{{Name: "guides", Engine: f.profile}}})
	f.tell()
	f.step(groupformer.LeaseSet{Until: f.now.Add(24 * time.Hour), Fence: fence})
}

// drain lets n engines leave: they say so, and end after some seconds.
func (f *fleet) drain(n int) {
	for _, e := range f.some(n) {
		e.Draining, f.changed = true, true
		f.after(6*time.Second, func() { e.dead, e.listed, f.changed = true, false, true })
	}
}

// restart lets n engines crash and start again with the same ID, knowing nothing.
func (f *fleet) restart(n int) {
	for _, e := range f.some(n) {
		e.dead = true
		f.after(2*time.Second, func() {
			f.nextID++
			e.dead, e.listed, f.changed = false, true, true
			e.ProcessStart = identifier.ProcessStart(f.nextID)
			e.orders, e.lowest, e.Models, e.Membership, e.staging = 0, 0, nil, endpointlister.Membership{}, false
		})
	}
}

// some returns n engines that live.
func (f *fleet) some(n int) []*fakeEngine {
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

// replace lets n engines crash, while others start at their addresses. Their reports do not name them.
func (f *fleet) replace(n int) {
	for _, e := range f.some(n) {
		f.nextID++
		e.replacedBy = identifier.ProcessStart(f.nextID)
		e.dead = true
		f.after(entryLife, func() { e.listed, f.changed = false, true })
	}
}
