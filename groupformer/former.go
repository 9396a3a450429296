package groupformer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Config configures a Former. The zero value is usable.
type Config struct {
	FirstStart bool          // the whole system starts for the first time, so that no request has come yet
	DrainTime  time.Duration // for which an engine that drains goes on; zero means 2 s
}

// defaultDrainTime is the shortest that the platform's operators grant.
const defaultDrainTime = 2 * time.Second

// Former is the deterministic core of forming groups. It is not safe for concurrent use.
type Former struct {
	drainTime          time.Duration
	services           map[identifier.Service]*resolver.EngineProfile
	engines            map[identifier.Endpoint]*engine
	sortedByID         []*engine // by name; nil after engines came or went
	groups             map[identifier.Group]*group
	released           map[identifier.Group]releasedGroup // groups that were broken up, whose members may report them yet
	assignedCurrent    bool                               // the engines say whether a group has them; false after groups or engines changed
	leaseUntil         time.Time                          // of the lease
	fence              uint64
	epochsIssued       uint64 // given out under this fence
	ordersIssued       uint64
	loadBudgets        map[identifier.Service]*loadBudget
	demands            map[poolKey]*demand
	beforeFirstRequest bool // no request has come yet
	storeLost          bool
	storeChangedAt     time.Time // when that last changed
	newEngineAt        time.Time // when the last engine was listed that was not known before
	countsEmittedAt    time.Time
	actions            []Action
}

// New returns a Former for cfg.
func New(cfg Config) *Former {
	defaulter.Set(&cfg.DrainTime, defaultDrainTime)
	return &Former{
		drainTime:          cfg.DrainTime,
		beforeFirstRequest: cfg.FirstStart, services: map[identifier.Service]*resolver.EngineProfile{}, engines: map[identifier.Endpoint]*engine{},
		groups: map[identifier.Group]*group{}, released: map[identifier.Group]releasedGroup{}, loadBudgets: map[identifier.Service]*loadBudget{},
		demands: map[poolKey]*demand{},
	}
}

// Step applies e at now and returns the actions that it causes.
func (f *Former) Step(now time.Time, e Event) []Action {
	f.actions = nil
	if f.storeChangedAt.IsZero() {
		f.storeChangedAt = now // a store that was not well until now would have told this instance nothing
	}
	switch e := e.(type) {
	case EndpointsSet:
		f.setEndpoints(now, e.Endpoints)
	case ServicesSet:
		f.setServices(now, e.Services)
	case LeaseSet:
		f.setLease(e)
	case LatencyReported:
		f.updateDemand(e)
	case FirstRequestReceived:
		f.beforeFirstRequest = false
	case StoreHealthSet:
		f.storeLost, f.storeChangedAt = e.Lost, now
	case HeadStalled:
		f.suspectGroup(e.Head)
	case Reported:
		f.handleReport(now, e)
	case Unreachable:
		f.handleUnreachable(now, e)
	case OrderEnded:
		f.handleOrderEnded(now, e)
	}
	if now.Before(f.leaseUntil) {
		f.plan(now)
	}
	return f.actions
}

func (f *Former) emit(a Action) { f.actions = append(f.actions, a) }

// setLease takes in the lease. Under a new fence what was known of groups is read anew from the engines.
func (f *Former) setLease(h LeaseSet) {
	if h.Fence > f.fence {
		f.fence, f.epochsIssued = h.Fence, 0
		f.groups, f.assignedCurrent = map[identifier.Group]*group{}, false
		f.released = map[identifier.Group]releasedGroup{}
		for _, e := range f.engines {
			e.pending, e.stagingModel = nil, ""
			e.uncertain = e.Membership.Group != "" || len(e.Staged) > 0 // an engine that has nothing has taken no order
		}
	}
	f.leaseUntil = h.Until
}

// epochsPerFence bounds the epochs that one holder of the lease gives out.
const epochsPerFence = 1 << 20

// nextEpoch returns an epoch higher than any that was given out before by any holder.
func (f *Former) nextEpoch() identifier.Epoch {
	f.epochsIssued++
	return identifier.Epoch(f.fence*epochsPerFence + f.epochsIssued)
}

func (f *Former) setServices(now time.Time, services []resolver.Service) {
	f.services = map[identifier.Service]*resolver.EngineProfile{}
	for _, s := range services {
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		f.services[s.Name] = s.Engine
		if f.loadBudgets[s.Name] == nil {
			f.loadBudgets[s.Name] = newLoadBudget(now, s.Engine.LoadsPerSecond)
		}
	}
}

// setEndpoints replaces the list. An engine that is not listed any more is asked whether it lives.
func (f *Former) setEndpoints(now time.Time, endpoints []endpointlister.Endpoint) {
	listed := map[identifier.Endpoint]bool{}
	for _, l := range endpoints {
		if l.FabricDomain == "" {
			continue
		}
		listed[l.ID] = true
		e := f.engines[l.ID]
		if e == nil {
			f.sortedByID, f.assignedCurrent = nil, false
			f.engines[l.ID] = &engine{Endpoint: l, lastListing: l, listed: true, idleSince: now}
			f.newEngineAt = now
			continue
		}
		e.applyListing(now, l)
	}
	for id, e := range f.engines {
		if listed[id] || !e.listed {
			continue
		}
		e.listed, e.unlistedAt = false, now
		e.suspected = true
	}
}

// sortedEngines returns the engines in the order of their names. The caller must not change it.
func (f *Former) sortedEngines() []*engine {
	if f.sortedByID == nil {
		f.sortedByID = slices.SortedFunc(maps.Values(f.engines), func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	}
	return f.sortedByID
}
