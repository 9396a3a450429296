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
	closeTime          time.Duration                                   // that the requests of a closing group take to complete
	observe            func(groupformer.Action)                        // sees each action of the Former; nil for none
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
		profile: p, closeTime: time.Second,
		core: groupformer.New(groupformer.Config{FirstStart: true}), rand: rand.New(rand.NewPCG(seed, seed)), now: time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC),
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
		if f.observe != nil {
			f.observe(a)
		}
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

// check fails t if a violation was recorded.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	for _, violation := range f.violations {
		t.Error(violation)
	}
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
