package evacuator_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/endpointlister"
	"amaranthmill/evacuator"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
	"amaranthmill/targetlister"
)

// Sizes of the fleet. They are small, so that pools are often full or evacuated as a whole.
const (
	instanceCount = 3
	domainCount   = 3
	slotCount     = 2
)

// Times of the requests.
const (
	requestTime  = 6 * time.Second       // from the arrival to the deadline
	minServeTime = 20 * time.Millisecond // less time left is too little
)

// storeChange is a change of the operator's entry for a failure domain.
type storeChange struct {
	domain             identifier.FailureDomain
	removed, malformed bool
}

// fleet is a store and the instances that follow it, each with its own delay.
type fleet struct {
	t         *rapid.T
	now       time.Time
	log       []storeChange // the revision of a change is its index + 1
	instances []*fleetInstance
	lastRef   scheduler.Ref
	sentAt    map[scheduler.Ref]time.Time
}

// fleetInstance is an instance, and what it should have concluded from the changes that it knows.
type fleetInstance struct {
	fleet     *fleet
	name      identifier.Instance
	revision  int // changes that it knows
	core      *evacuator.Evacuator
	targets   *targetlister.Lister
	scheduler *scheduler.Scheduler
	evacuated map[identifier.FailureDomain]bool
	pools     map[identifier.Pool][]scheduler.Target
	running   []scheduler.Send // attempts at targets
	waiting   map[scheduler.Ref]identifier.Pool
	arrived   map[scheduler.Ref]identifier.Pool
	probes    []*scheduler.Target
}

// start starts an instance, whose first list is complete: the latest entry of each domain and all endpoints.
func (f *fleet) start(n int) *fleetInstance {
	i := &fleetInstance{
		fleet: f, name: identifier.Instance(fmt.Sprintf("i%d", n)), core: evacuator.New(), targets: targetlister.New(), evacuated: map[identifier.FailureDomain]bool{}, revision: len(f.log),
		pools: map[identifier.Pool][]scheduler.Target{}, waiting: map[scheduler.Ref]identifier.Pool{}, arrived: map[scheduler.Ref]identifier.Pool{},
	}
	i.scheduler = scheduler.New(scheduler.Config{Instance: i.name, FailureDomain: "z0", RetryRatio: 0.5, RetrySlack: 20, FirstStart: true})
	var instances []scheduler.Instance
	for n := range instanceCount {
		instances = append(instances, scheduler.Instance{Name: identifier.Instance(fmt.Sprintf("i%d", n)), FailureDomain: identifier.FailureDomain(fmt.Sprintf("z%d", n))})
	}
	i.step(scheduler.InstancesSet{Instances: instances})
	i.targets.SetServices([]resolver.Service{{Name: "ledger"}, {Name: "archive"}})
	for revision, c := range lastChanges(f.log) {
		if !c.removed {
			i.apply(revision+1, c)
		}
	}
	i.changeTargets(i.targets.SetEvacuated(i.core.Domains()))
	var list []endpointlister.Endpoint
	for n := range 2 * domainCount {
		list = append(list, endpointlister.Endpoint{ID: identifier.Endpoint(fmt.Sprintf("e%d", n)), Service: "ledger", FailureDomain: identifier.FailureDomain(fmt.Sprintf("z%d", n%domainCount)), Slots: slotCount, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 9000)})
	}
	list = append(list, endpointlister.Endpoint{ID: "only", Service: "archive", FailureDomain: "z1", Slots: slotCount})
	i.changeTargets(i.targets.Apply(endpointlister.Changes{Complete: true, Changed: list}))
	return i
}

// lastChanges returns the latest change of each domain, by index.
func lastChanges(changes []storeChange) map[int]storeChange {
	last := map[identifier.FailureDomain]int{}
	for n, c := range changes {
		last[c.domain] = n
	}
	out := map[int]storeChange{}
	for _, n := range last {
		out[n] = changes[n]
	}
	return out
}

// apply applies a change to the core and to what the instance should conclude.
func (i *fleetInstance) apply(revision int, c storeChange) {
	switch {
	case c.removed:
		delete(i.evacuated, c.domain)
		i.core.Step(i.fleet.now, evacuator.EntryRemoved{Domain: c.domain})
	case c.malformed:
		i.core.Step(i.fleet.now, evacuator.EntryWritten{Domain: c.domain, Revision: uint64(revision), Problem: "syntax"})
	default:
		i.evacuated[c.domain] = true
		i.core.Step(i.fleet.now, evacuator.EntryWritten{Domain: c.domain, Revision: uint64(revision)})
	}
}

// follow delivers the changes up to a revision, either each of them or only the latest of each domain. Running requests must be
// neither aborted nor hedged because of them.
func (i *fleetInstance) follow(revision int, onlyLast bool) {
	changes := i.fleet.log[i.revision:revision]
	last := lastChanges(changes)
	for n, c := range changes {
		if _, ok := last[n]; ok || !onlyLast {
			i.apply(i.revision+n+1, c)
		}
	}
	i.revision = revision
	got := map[identifier.FailureDomain]bool{}
	for _, d := range i.core.Domains() {
		got[d] = true
	}
	if !maps.Equal(got, i.evacuated) {
		i.fleet.t.Fatalf("%s has evacuated %v, want %v", i.name, got, i.evacuated)
	}
	for _, a := range i.changeTargets(i.targets.SetEvacuated(i.core.Domains())) {
		switch a := a.(type) {
		case scheduler.Abandon:
			i.fleet.t.Fatalf("%s abandons an attempt because of an evacuation: %+v", i.name, a)
		case scheduler.Send:
			if a.Hedges != "" {
				i.fleet.t.Fatalf("%s hedges because of an evacuation: %+v", i.name, a)
			}
		}
	}
}

func (i *fleetInstance) changeTargets(c scheduler.TargetsChanged) []scheduler.Action {
	for _, t := range c.Changed {
		i.pools[t.Pool] = append(slices.DeleteFunc(i.pools[t.Pool], func(o scheduler.Target) bool { return o.ID == t.ID }), t)
	}
	return i.step(c)
}

// step steps the scheduler and checks that nothing is sent to an evacuated target, and that no request of a pool waits whose targets
// are all evacuated.
func (i *fleetInstance) step(e scheduler.Event) []scheduler.Action {
	t := i.fleet.t
	actions := slices.Clone(i.scheduler.Step(i.fleet.now, e))
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Send:
			delete(i.waiting, a.Ref)
			if a.Target != nil && i.evacuated[a.Target.FailureDomain] {
				t.Fatalf("%s sends %d attempt %d to %s in the evacuated domain %s after %T", i.name, a.Ref, a.Attempt, a.Target.ID, a.Target.FailureDomain, e)
			}
			if a.Target == nil && i.isEvacuated(i.arrived[a.Ref]) {
				t.Fatalf("%s sends %d through a peer, although all targets are evacuated", i.name, a.Ref)
			}
			i.running = append(i.running, a)
		case scheduler.Probe:
			if i.evacuated[a.Target.FailureDomain] {
				t.Fatalf("%s probes %s in the evacuated domain %s", i.name, a.Target.ID, a.Target.FailureDomain)
			}
			i.probes = append(i.probes, a.Target)
		case scheduler.Wait:
			i.waiting[a.Ref] = i.arrived[a.Ref]
		case scheduler.Abandon:
			i.drop(a.Ref, a.Attempt)
		case scheduler.Finish:
			i.checkOutcome(a)
		}
	}
	for ref, pool := range i.waiting {
		if i.isEvacuated(pool) {
			t.Fatalf("%s lets %d wait after %T, although all targets of %s are evacuated", i.name, ref, e, pool)
		}
	}
	return actions
}

// checkOutcome checks the refusal of a request whose targets are all evacuated. One whose deadline has passed may be
// refused for another reason.
func (i *fleetInstance) checkOutcome(a scheduler.Finish) {
	pool := i.arrived[a.Ref]
	delete(i.waiting, a.Ref)
	delete(i.arrived, a.Ref)
	n, ok := a.Outcome.(scheduler.NotRun)
	if !ok {
		return
	}
	isLate := i.fleet.now.Add(minServeTime).After(i.fleet.sentAt[a.Ref].Add(requestTime))
	isRightReason := (n.Reason == scheduler.ReasonEvacuated) == i.isEvacuated(pool) || isLate
	if !isRightReason || n.Reason == scheduler.ReasonEvacuated && n.RetryAfter != 3*time.Second {
		i.fleet.t.Fatalf("%s refuses %d with %s after %s, evacuated: %t", i.name, a.Ref, n.Reason, n.RetryAfter, i.isEvacuated(pool))
	}
}

// isEvacuated reports whether all targets of a pool are in evacuated domains.
func (i *fleetInstance) isEvacuated(pool identifier.Pool) bool {
	return len(i.pools[pool]) > 0 && !slices.ContainsFunc(i.pools[pool], func(t scheduler.Target) bool { return !i.evacuated[t.FailureDomain] })
}

func (i *fleetInstance) drop(ref scheduler.Ref, attempt int) {
	i.running = slices.DeleteFunc(i.running, func(s scheduler.Send) bool { return s.Ref == ref && s.Attempt == attempt })
}

// arrive lets a request of either service arrive: a stream, or one that may run once only.
func (i *fleetInstance) arrive(t *rapid.T) {
	i.fleet.lastRef++
	pool := rapid.SampledFrom([]identifier.Pool{"ledger", "ledger", "archive"}).Draw(t, "pool")
	repeatable := rapid.Bool().Draw(t, "repeatable")
	i.arrived[i.fleet.lastRef], i.fleet.sentAt[i.fleet.lastRef] = pool, i.fleet.now
	i.step(scheduler.Arrived{Ref: i.fleet.lastRef, Request: scheduler.Request{
		Service: identifier.Service(pool), Pool: pool, Repeatable: repeatable, Stream: repeatable, ArrivedAt: i.fleet.now, LatencyGoal: 250 * time.Millisecond, GapGoal: 200 * time.Millisecond, Deadline: i.fleet.now.Add(requestTime), MaxAttempts: 2,
	}})
}

// progress lets a running attempt progress or end.
func (i *fleetInstance) progress(t *rapid.T) {
	if len(i.running) == 0 {
		return
	}
	s := i.running[rapid.IntRange(0, len(i.running)-1).Draw(t, "attempt")]
	if rapid.Bool().Draw(t, "event") {
		i.step(scheduler.Progressed{Ref: s.Ref, Attempt: s.Attempt, Event: true})
		return
	}
	endings := []scheduler.Ending{scheduler.Completed{}, scheduler.NotSent{}, scheduler.Refused{Status: 503}, scheduler.Broken{}, scheduler.Failed{Status: 500}}
	if s.Peer != "" {
		endings = []scheduler.Ending{scheduler.Completed{}, scheduler.NotSent{}, scheduler.Broken{}}
	}
	i.drop(s.Ref, s.Attempt)
	i.step(scheduler.Ended{Ref: s.Ref, Attempt: s.Attempt, Ending: rapid.SampledFrom(endings).Draw(t, "ending")})
}

// TestNothingIsSentToEvacuatedDomains plays instances that learn of evacuations at different times, in batches that may leave out
// superseded changes, restart, and meet refusals, broken answers, stalls and lost links. It guards against requests, hedges, trial
// requests and probes to domains that the instance knows as evacuated, against requests that wait although all targets are
// evacuated, and against running requests that an evacuation aborts or hedges.
func TestNothingIsSentToEvacuatedDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: scripter.Start, sentAt: map[scheduler.Ref]time.Time{}}
		for n := range instanceCount {
			f.instances = append(f.instances, f.start(n))
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{0, 5, 40, 300, 1300}).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, instanceCount-1).Draw(t, "instance")
			i := f.instances[n]
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0, 1:
				c := storeChange{domain: identifier.FailureDomain(fmt.Sprintf("z%d", rapid.IntRange(0, domainCount-1).Draw(t, "domain")))}
				c.removed = rapid.IntRange(0, 2).Draw(t, "removed") == 0
				c.malformed = !c.removed && rapid.IntRange(0, 4).Draw(t, "malformed") == 0
				f.log = append(f.log, c)
			case 2, 3, 4:
				i.follow(rapid.IntRange(i.revision, len(f.log)).Draw(t, "revision"), rapid.Bool().Draw(t, "onlyLast"))
			case 5:
				f.instances[n] = f.start(n)
			case 6, 7:
				i.step(scheduler.Ticked{})
			case 8:
				if len(i.probes) > 0 {
					i.step(scheduler.Probed{Target: i.probes[0], Answered: rapid.Bool().Draw(t, "answered")})
					i.probes = i.probes[1:]
				}
			case 9, 10:
				i.progress(t)
			default:
				i.arrive(t)
			}
		}
	})
}
