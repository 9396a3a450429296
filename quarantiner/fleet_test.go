package quarantiner_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/quarantiner"
	"amaranthmill/scheduler"
)

// Sizes and times of a simulated fleet.
const (
	fleetInstances = 4
	fleetEndpoints = 12
	listingDelay   = 3600 * time.Millisecond // from a crash until the store removes the endpoint's entry
	benignRunTime  = 400 * time.Millisecond
	announceRetry  = 250 * time.Millisecond
	announceTTL    = 10 * time.Second
	stableTime     = 3 * time.Second // without a disruption, after which an instance is bound by time limits
	crashing       = identifier.Fingerprint(1)
)

// fleet simulates instances, each with the cores scheduler.Scheduler and
// quarantiner.Quarantiner, in front of endpoints of one plain service. A run of a crashing
// request ends its endpoint, which returns as a new process. Peers' links, the store and the
// instances' ways to it fail, and instances restart.
type fleet struct {
	rand      *rand.Rand
	now       time.Time
	queue     []task // sorted by time
	instances []*simInstance
	endpoints map[identifier.Endpoint]*simEndpoint
	listed    []endpointlister.Endpoint // the entries in the store, sorted by ID
	stored    map[quarantiner.StoreLoss]uint64
	revision  uint64
	cut       map[[2]int]bool // links between instances
	storeDown bool
	nextRef   scheduler.Ref

	crashTime                                     time.Duration      // from the start of the crashing run
	repeatable                                    bool               // requests are repeatable
	accepts                                       bool               // addresses without a process accept connections, as those of a relay do
	looksComplete                                 bool               // answers have no length, so that one that a crash ends may look complete
	commonParts                                   []quarantiner.Part // of all requests
	crashSends                                    []crashSend
	crashes                                       []time.Time
	knownAt                                       map[int]time.Time // when each instance first quarantined crashingPart
	quarantinedBenign, servedBenign, brokenBenign int
}

type task struct {
	at time.Time
	do func()
}

// crashSend is an attempt of a crashing request that reached an endpoint.
type crashSend struct {
	at      time.Time
	inTouch bool // the instance had not been disrupted for stableTime
}

type simEndpoint struct {
	id    identifier.Endpoint
	start identifier.ProcessStart
	up    bool
	runs  map[runKey]bool
}

// runKey identifies an attempt of one run of an instance's process.
type runKey struct {
	instance, process int
	ref               scheduler.Ref
	attempt           int
}

// simInstance is an instance and the runs of its process.
type simInstance struct {
	number      int
	process     int // counts the runs of the process
	up          bool
	storeCut    bool
	scheduler   *scheduler.Scheduler
	quarantiner *quarantiner.Quarantiner
	requests    map[scheduler.Ref]simRequest
	known       map[quarantiner.StoreLoss]uint64 // losses of the store that the instance has applied
	disruptedAt time.Time                        // end of the last disruption
}

type simRequest struct {
	fingerprint identifier.Fingerprint
	parts       []quarantiner.Part
	crashes     bool                        // a run of the request ends its endpoint
	processes   map[identifier.Process]bool // to which a benign request was sent
	onEnd       func(scheduler.Outcome)
}

func newFleet(seed uint64) *fleet { return newFleetOf(seed, fleetEndpoints) }

// newFleetOf returns a fleet with n endpoints.
func newFleetOf(seed uint64, n int) *fleet {
	r := rand.New(rand.NewPCG(seed, 17))
	f := &fleet{
		rand: r, now: scripter.Start, endpoints: map[identifier.Endpoint]*simEndpoint{}, stored: map[quarantiner.StoreLoss]uint64{}, cut: map[[2]int]bool{}, knownAt: map[int]time.Time{},
		crashTime: time.Duration(1+r.IntN(400)) * time.Millisecond, repeatable: r.IntN(3) > 0, accepts: r.IntN(4) == 0,
		commonParts: []quarantiner.Part{{Fingerprint: firstPart, ID: "first"}},
	}
	for i := range n {
		f.addEndpoint(identifier.Endpoint(fmt.Sprintf("e%02d", i)))
	}
	for i := range fleetInstances {
		f.instances = append(f.instances, &simInstance{number: i})
		f.startInstance(f.instances[i])
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	t := task{f.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(f.queue, t, func(a, b task) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.queue = slices.Insert(f.queue, i, t)
}

// run carries out the tasks in the order of their times until end.
func (f *fleet) run(length time.Duration) {
	for end := scripter.Start.Add(length); len(f.queue) > 0 && f.queue[0].at.Before(end); {
		next := f.queue[0]
		f.queue = f.queue[1:]
		f.now = next.at
		next.do()
	}
}

// random returns a random time of at least one and at most limit milliseconds.
func (f *fleet) random(limit int) time.Duration {
	return time.Duration(1+f.rand.IntN(limit)) * time.Millisecond
}

func (f *fleet) addEndpoint(id identifier.Endpoint) {
	e := f.endpoints[id]
	if e == nil {
		e = &simEndpoint{id: id}
		f.endpoints[id] = e
	}
	e.start = identifier.ProcessStart(f.now.UnixMilli())
	e.up, e.runs = true, map[runKey]bool{}
	f.list(func(entries []endpointlister.Endpoint) []endpointlister.Endpoint {
		return append(deleteEntry(entries, id), endpointlister.Endpoint{ID: id, ProcessStart: e.start, Slots: 8, Address: netip.MustParseAddrPort("10.1.0.7:9000")})
	})
}

func deleteEntry(entries []endpointlister.Endpoint, id identifier.Endpoint) []endpointlister.Endpoint {
	return slices.DeleteFunc(entries, func(e endpointlister.Endpoint) bool { return e.ID == id })
}

// list changes the entries in the store and propagates the list to the instances.
func (f *fleet) list(change func([]endpointlister.Endpoint) []endpointlister.Endpoint) {
	f.listed = change(slices.Clone(f.listed))
	slices.SortFunc(f.listed, func(a, b endpointlister.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	f.propagate()
}

// propagate lets each instance read the store after a delay.
func (f *fleet) propagate() {
	for _, i := range f.instances {
		f.after(f.random(300), func() { f.readStore(i) })
	}
}

// readStore applies the content of the store at an instance, if the store can be reached.
func (f *fleet) readStore(i *simInstance) {
	if !i.up || i.storeCut || f.storeDown {
		return
	}
	f.stepQuarantiner(i, quarantiner.EndpointsChanged{Complete: true, Changed: f.listed})
	f.readLosses(i)
	var targets []scheduler.Target
	for _, e := range f.listed {
		targets = append(targets, scheduler.Target{ID: e.ID, Pool: "ledger", ProcessStart: e.ProcessStart, Slots: e.Slots})
	}
	f.stepScheduler(i, scheduler.TargetsChanged{Complete: true, Changed: targets})
}

// readLosses applies the losses in the store at an instance.
func (f *fleet) readLosses(i *simInstance) {
	for _, l := range sortedLosses(f.stored) {
		if i.known[l] != f.stored[l] {
			i.known[l] = f.stored[l]
			f.stepQuarantiner(i, quarantiner.LossStored{Fingerprint: l.Fingerprint, Kind: l.Kind, Process: l.Process, Revision: f.stored[l]})
		}
	}
	for _, l := range sortedLosses(i.known) {
		if f.stored[l] == 0 {
			delete(i.known, l)
			f.stepQuarantiner(i, quarantiner.LossDeleted(l))
		}
	}
}

func sortedLosses(m map[quarantiner.StoreLoss]uint64) []quarantiner.StoreLoss {
	var out []quarantiner.StoreLoss
	for l := range m {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b quarantiner.StoreLoss) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Process.Endpoint, b.Process.Endpoint), cmp.Compare(a.Process.Start, b.Process.Start))
	})
	return out
}

// startInstance starts the process of an instance without any memory.
func (f *fleet) startInstance(i *simInstance) {
	i.process++
	i.up = true
	i.scheduler = scheduler.New(scheduler.Config{RetrySlack: 10000, FirstStart: true})
	i.quarantiner = quarantiner.New(quarantiner.Config{})
	i.requests, i.known = map[scheduler.Ref]simRequest{}, map[quarantiner.StoreLoss]uint64{}
	f.readStore(i)
}

// restartInstance kills the process of an instance and starts it after a time. Its runs go on
// at the endpoints.
func (f *fleet) restartInstance(i *simInstance) {
	if !i.up {
		return
	}
	i.up = false
	for _, r := range i.requests {
		r.onEnd(scheduler.Unknown{Reason: scheduler.ReasonCallerGone})
	}
	i.requests = nil
	f.after(f.random(2000), func() {
		f.startInstance(i)
		i.disruptedAt = f.now
	})
}

func (f *fleet) send(i *simInstance, r simRequest) {
	if !i.up || len(f.listed) == 0 {
		r.onEnd(scheduler.NotRun{})
		return
	}
	f.nextRef++
	i.requests[f.nextRef] = r
	var parts []identifier.Fingerprint
	for _, p := range r.parts {
		parts = append(parts, p.Fingerprint)
	}
	f.stepScheduler(i, scheduler.Arrived{Ref: f.nextRef, Request: scheduler.Request{
		Fingerprint: r.fingerprint, Parts: parts, Service: "ledger", Pool: "ledger", Repeatable: f.repeatable, ArrivedAt: f.now,
		LatencyGoal: time.Second, Deadline: f.now.Add(6 * time.Second), MaxAttempts: 2,
	}})
}

func (f *fleet) stepScheduler(i *simInstance, e scheduler.Event) {
	process := i.process
	for _, a := range slices.Clone(i.scheduler.Step(f.now, e)) {
		switch a := a.(type) {
		case scheduler.Send:
			target := *a.Target
			f.stepQuarantiner(i, quarantiner.AttemptStarted{
				Fingerprint: i.requests[a.Ref].fingerprint, Parts: i.requests[a.Ref].parts, Process: identifier.Process{Endpoint: target.ID, Start: target.ProcessStart},
			})
			key := runKey{instance: i.number, process: process, ref: a.Ref, attempt: a.Attempt}
			f.after(f.random(5), func() { f.begin(i, key, target) })
		case scheduler.Abandon:
			key := runKey{instance: i.number, process: process, ref: a.Ref, attempt: a.Attempt}
			f.after(f.random(3), func() { f.abandon(i, key) })
		case scheduler.Finish:
			r := i.requests[a.Ref]
			delete(i.requests, a.Ref)
			if n, ok := a.Outcome.(scheduler.NotRun); ok && n.Reason == scheduler.ReasonQuarantined {
				f.stepQuarantiner(i, quarantiner.RequestRefused{Fingerprint: n.Fingerprint})
			}
			r.onEnd(a.Outcome)
		case scheduler.WakeAt:
			f.after(a.At.Sub(f.now), func() {
				if i.up && i.process == process {
					f.stepScheduler(i, scheduler.Ticked{})
				}
			})
		}
	}
}
