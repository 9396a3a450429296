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
	FirstStart bool          // the whole system starts for the first time, so that no request has arrived yet
	DrainTime  time.Duration // how long a draining engine continues to serve; zero means 2 s
}

// defaultDrainTime is the shortest drain time that the platform's operators grant.
const defaultDrainTime = 2 * time.Second

// Former is the deterministic core that forms groups. It is not safe for concurrent use.
type Former struct {
	drainTime          time.Duration
	services           map[identifier.Service]*resolver.EngineProfile // only those that run models
	engines            map[identifier.Endpoint]*engine
	sortedByID         []*engine // nil after engines were added or removed
	groups             map[identifier.Group]*group
	released           map[identifier.Group]releasedGroup // dissolved groups, which their members may still report
	assignedCurrent    bool                               // engine.assigned is up to date; false after groups or engines changed
	leaseUntil         time.Time                          // when the lease ends unless it is renewed
	epochs             epochs
	ordersIssued       uint64
	loadBudgets        map[identifier.Service]*loadBudget
	demands            map[poolKey]*demand
	demandReports      demandReports
	groupLosses        map[poolKey]*lossRate
	corrections        map[poolKey]float64 // of the needs, because of missed goals
	allocations        map[identifier.Service]*allocation
	evacuated          map[identifier.FailureDomain]bool // failure domains whose capacity does not count for demand and deficits
	leaseBeganAt       time.Time                         // when this instance got the lease under its fence
	beforeFirstRequest bool                              // the system started for the first time and no request has arrived yet
	storeLost          bool                              // the store is unreachable
	storeChangedAt     time.Time                         // when storeLost last changed
	newEngineAt        time.Time                         // when an engine was last listed for the first time
	countsEmittedAt    time.Time
	plannedAt          time.Time // when all decisions were last taken
	wakeAt             time.Time // of the tick that was requested; zero for none
	actions            []Action
}

// New returns a Former for cfg.
func New(cfg Config) *Former {
	defaulter.Set(&cfg.DrainTime, defaultDrainTime)
	return &Former{
		drainTime:          cfg.DrainTime,
		beforeFirstRequest: cfg.FirstStart, services: map[identifier.Service]*resolver.EngineProfile{}, engines: map[identifier.Endpoint]*engine{},
		groups: map[identifier.Group]*group{}, released: map[identifier.Group]releasedGroup{}, loadBudgets: map[identifier.Service]*loadBudget{},
		demands: map[poolKey]*demand{}, groupLosses: map[poolKey]*lossRate{}, corrections: map[poolKey]float64{}, allocations: map[identifier.Service]*allocation{},
	}
}

// Step applies e at now and returns the actions that it causes.
func (f *Former) Step(now time.Time, e Event) []Action {
	f.actions = nil
	if f.storeChangedAt.IsZero() {
		f.storeChangedAt = now // an outage before the first event was not reported to this instance, so it may have ended just now
	}
	switch e := e.(type) {
	case EndpointsChanged:
		f.changeEndpoints(now, e)
	case ServicesSet:
		f.setServices(now, e.Services)
	case LeaseSet:
		f.setLease(now, e)
	case EvacuationChanged:
		f.setEvacuated(e.Domains)
	case LatencyReported:
		f.updateDemand(e)
	case DemandReported:
		f.demandReports.add(now, e)
		return nil // the next tick takes it into account; a plan for each report of each instance would cost more than all others
	case FirstRequestReceived:
		f.beforeFirstRequest = false
	case StoreHealthSet:
		f.storeLost, f.storeChangedAt = e.Lost, now
	case HeadStalled:
		f.suspectGroup(e.Head)
	case LeavingStated:
		f.handleLeaving(now, e)
	case Reported:
		f.handleReport(now, e)
	case Unreachable:
		f.handleUnreachable(now, e)
	case OrderEnded:
		f.handleOrderEnded(now, e)
	}
	if now.Before(f.leaseUntil) {
		f.planWhenDue(now)
	}
	return f.actions
}

// planTimePerEngine is the time for which the plan is not made again, for each known engine. A plan
// looks at all engines, so that without this time the work of a second grows with the square of
// the engines: with each event of each engine.
const planTimePerEngine = 20 * time.Microsecond

// planWhenDue takes all decisions that are possible now, or requests a tick for them if the last plan
// was made a moment ago.
func (f *Former) planWhenDue(now time.Time) {
	due := f.plannedAt.Add(time.Duration(len(f.engines)) * planTimePerEngine)
	switch {
	case !now.Before(due):
		f.plannedAt, f.wakeAt = now, time.Time{}
		f.plan(now)
	case f.wakeAt.IsZero():
		f.wakeAt = due
		f.emit(WakeAt{At: due})
	}
}

func (f *Former) emit(a Action) { f.actions = append(f.actions, a) }

// setLease records the lease. Under another fence, the known groups are discarded and learned
// again from the engines.
func (f *Former) setLease(now time.Time, lease LeaseSet) {
	if lease.Fence != f.epochs.fence && lease.Fence > 0 {
		f.demandReports, f.allocations = demandReports{}, map[identifier.Service]*allocation{}
		f.leaseBeganAt = now
		f.epochs.setFence(lease.Fence)
		f.groups, f.assignedCurrent = map[identifier.Group]*group{}, false
		f.released = map[identifier.Group]releasedGroup{}
		for _, e := range f.engines {
			e.pending, e.stagingModel = nil, ""
			e.failedQueries = 0                                         // nothing was queried since the previous lease ended
			e.uncertain = e.Membership.Group != "" || len(e.Staged) > 0 // an engine with no membership and no staged weights has accepted no order
		}
	}
	f.leaseUntil = lease.Until
}

// setServices replaces the services. Services without models are ignored.
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

// changeEndpoints changes the list of endpoints. Endpoints without a fabric domain belong to
// plain services and are ignored. An engine that is no longer listed is queried to find out
// whether it is alive.
func (f *Former) changeEndpoints(now time.Time, c EndpointsChanged) {
	if c.Complete {
		c.Removed = f.missingIn(c.Changed)
	}
	for _, l := range c.Changed {
		f.applyListing(now, l)
	}
	for _, id := range c.Removed {
		if e := f.engines[id]; e != nil && e.listed {
			e.listed, e.unlistedAt = false, now
			e.suspected = true
		}
	}
}

// applyListing applies the entry of an endpoint on the list.
func (f *Former) applyListing(now time.Time, l endpointlister.Endpoint) {
	if l.FabricDomain == "" {
		return
	}
	f.epochs.observe(l.Membership.Epoch)
	if e := f.engines[l.ID]; e != nil {
		e.applyListing(now, l)
		return
	}
	f.sortedByID, f.assignedCurrent = nil, false
	f.engines[l.ID] = &engine{Endpoint: l, lastListing: l, listed: true, idleSince: now}
	f.newEngineAt = now
}

// missingIn returns the listed engines that a new list lacks.
func (f *Former) missingIn(list []endpointlister.Endpoint) []identifier.Endpoint {
	missing := maps.Clone(f.engines)
	for _, l := range list {
		if l.FabricDomain != "" {
			delete(missing, l.ID)
		}
	}
	return slices.Collect(maps.Keys(missing))
}

// sortedEngines returns the engines, sorted by ID. The caller must not modify the slice.
func (f *Former) sortedEngines() []*engine {
	if f.sortedByID == nil {
		f.sortedByID = slices.SortedFunc(maps.Values(f.engines), func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	}
	return f.sortedByID
}
