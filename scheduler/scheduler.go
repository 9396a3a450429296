package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Defaults of Config.
const (
	defaultRetryRatio            = 0.18
	defaultRetrySlack            = 40
	defaultRetryWindow           = 10 * time.Second
	defaultMaxTargetWait         = 1500 * time.Millisecond
	defaultMinStreamStall        = 160 * time.Millisecond
	defaultStreamStallFactor     = 5
	defaultMinFirstEventStall    = 300 * time.Millisecond
	defaultFirstEventStallFactor = 2.5
	defaultTrialInterval         = 1200 * time.Millisecond
	defaultMaxLoad               = 1.1
	defaultTickInterval          = 40 * time.Millisecond
	defaultColdExcess            = 1
)

// Config configures a Scheduler. The zero value is usable.
type Config struct {
	Instance      identifier.Instance      // this instance
	FailureDomain identifier.FailureDomain // failure domain of this instance; targets in it are preferred

	RetryRatio float64 // retries that each request adds to the budget; zero means 0.18
	RetrySlack float64 // retries that all instances together may accumulate; zero means 40

	RetryWindow time.Duration // over which the operators count retries; zero means 10 s
	FirstStart  bool          // the whole system starts for the first time, so that no earlier process of this instance has spent retries
	Random      rand.Source   // source of the jitter of closures; nil means no jitter

	MaxTargetWait         time.Duration // longest time that a request waits for a target; zero means 1.5 s
	MinStreamStall        time.Duration // shortest time without an event after which a target with running streams is stalled; zero means 160 ms
	StreamStallFactor     int           // the same time as a multiple of the pool's mean gap between events; the larger of the two applies; zero means 5
	MinFirstEventStall    time.Duration // shortest time without an answer after which a target without running streams is stalled; zero means 300 ms
	FirstEventStallFactor float64       // the same time as a multiple of the pool's mean time to the first event; the larger of the two applies; zero means 2.5
	TrialInterval         time.Duration // time between two trial requests to a stalled target; zero means 1.2 s
	MaxLoad               float64       // load as a fraction of a target's slots from which the target gets no more requests; zero means 1.1
	TickInterval          time.Duration // time between two checks of the targets' progress; zero means 40 ms

	ColdExcess float64 // factor on the ColdLimit of a target that its requests in one second must not exceed; zero means 1
	ColdSlack  float64 // requests that a cold target may get in one second beyond that
}

// Scheduler is the deterministic core that schedules requests. It is not safe for concurrent
// use; run it with a stepper.Stepper. The slice that Step returns is valid until the next Step.
type Scheduler struct {
	cfg     Config
	targets map[identifier.Endpoint]*target
	pools   map[identifier.Pool]*pool
	flights map[Ref]*flight
	stopAt  time.Time                  // deadline of all requests of an instance that stops; zero if it does not
	queues  map[identifier.Pool]*queue // of the pools with requests that wait for a target
	rates   map[identifier.Pool]*poolRates
	budget  retryBudget
	latency latencyCounter
	demand  demandCounter
	reach   reach
	peers   []*peer // in the order in which this instance prefers them

	endedProcesses map[identifier.Process]time.Time // when each was learned to have ended

	statements          map[identifier.Process]*statement
	statementsCheckedAt time.Time                                  // when it was last checked which statements can be forgotten
	lastStated          map[identifier.Endpoint]identifier.Process // of each endpoint, the process with the latest start that has said that it leaves or is closed
	restrictions        map[identifier.Fingerprint]restriction
	copies              map[identifier.Fingerprint]int // number of flights with a fingerprint

	held               int       // requests that wait because all targets are past their learned limits
	holdEndsAt         time.Time // the earliest end of such a wait; zero if there is none
	capacityReportedAt time.Time

	instances        instanceList
	limitsReportedAt time.Time
	hasQueriedLimits bool
	starts           map[identifier.Endpoint]listedStarts // of the endpoints of services with a cold rate
	cold             map[identifier.Process]*statement    // of the processes that were last reported as cold
	warmAt           time.Time                            // before which none of them is warm, as was known when they were last checked

	random  *rand.Rand       // nil for no jitter
	free    []candidate      // buffer of freeTargets
	ranked  []rankedInstance // buffer of rank
	wakeAt  time.Time
	actions []Action
}

// New returns a Scheduler for cfg.
func New(cfg Config) *Scheduler {
	defaulter.Set(&cfg.RetryRatio, defaultRetryRatio)
	defaulter.Set(&cfg.RetrySlack, defaultRetrySlack)
	defaulter.Set(&cfg.RetryWindow, defaultRetryWindow)
	defaulter.Set(&cfg.MaxTargetWait, defaultMaxTargetWait)
	defaulter.Set(&cfg.MinStreamStall, defaultMinStreamStall)
	defaulter.Set(&cfg.StreamStallFactor, defaultStreamStallFactor)
	defaulter.Set(&cfg.MinFirstEventStall, defaultMinFirstEventStall)
	defaulter.Set(&cfg.FirstEventStallFactor, defaultFirstEventStallFactor)
	defaulter.Set(&cfg.TrialInterval, defaultTrialInterval)
	defaulter.Set(&cfg.MaxLoad, defaultMaxLoad)
	defaulter.Set(&cfg.TickInterval, defaultTickInterval)
	defaulter.Set(&cfg.ColdExcess, defaultColdExcess)
	s := &Scheduler{
		cfg: cfg, targets: map[identifier.Endpoint]*target{}, pools: map[identifier.Pool]*pool{}, statements: map[identifier.Process]*statement{}, lastStated: map[identifier.Endpoint]identifier.Process{},
		flights: map[Ref]*flight{}, queues: map[identifier.Pool]*queue{}, rates: map[identifier.Pool]*poolRates{}, restrictions: map[identifier.Fingerprint]restriction{}, copies: map[identifier.Fingerprint]int{}, budget: newRetryBudget(cfg), cold: map[identifier.Process]*statement{}, starts: map[identifier.Endpoint]listedStarts{},
		instances: newInstanceList(Instance{Name: cfg.Instance, FailureDomain: cfg.FailureDomain}),
	}
	if cfg.Random != nil {
		s.random = rand.New(cfg.Random)
	}
	return s
}

// Step applies e at now and returns the actions that it causes.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	s.actions = s.actions[:0]
	s.budget.advance(now)
	s.reportWarm(now)
	switch e := e.(type) {
	case TargetsChanged:
		s.changeTargets(now, e)
		s.placeAllWaiting(now)
		s.refuseEvacuated(now)
	case InstancesSet:
		s.instances.set(now, e.Instances)
		s.budget.setInstances(len(s.instances.listed))
		s.setPeers(s.instances.listed)
	case LimitsReported:
		s.handleLimitNews(now, e.News)
		s.handleColdNews(now, e.News)
	case RetryBudgetSet:
		s.budget.ratio, s.budget.slack = e.Ratio, e.Slack
		s.budget.setInstances(s.budget.instances)
	case RestrictionSet:
		s.setRestriction(e)
		s.placeAllWaiting(now)
		if e.Restriction == Quarantined || e.Restriction == OnTrial {
			s.checkWaiting(now) // what it refuses is refused at once
		}
	case ProcessStated:
		s.handleStatement(now, e)
	case ProcessEnded:
		s.handleProcessEnded(now, e.Process)
	case Stopping:
		s.stopAt = e.At
		for _, ref := range slices.Sorted(maps.Keys(s.flights)) {
			s.limitDeadline(s.flights[ref])
		}
	case Arrived:
		s.handleArrival(now, e)
	case Progressed:
		s.handleProgress(now, e)
	case Ended:
		s.handleEnd(now, e)
	case CallerLeft:
		s.handleCallerLeft(e.Ref)
	case PeerAnswered:
		s.handlePeerAnswer(e)
	case Probed:
		s.handleProbed(now, e)
		s.placeAllWaiting(now)
	case DemandDue:
		s.reportDemand(now, true)
	case Ticked:
		s.handleTick(now)
	}
	s.scheduleTick(now)
	return s.actions
}

func (s *Scheduler) handleTick(now time.Time) {
	s.wakeAt = time.Time{}
	s.checkStalls(now)
	s.checkOverdue(now)
	s.updateReach(now)
	s.probe(now)
	s.placeAllWaiting(now)
	s.checkWaiting(now)
	s.holdEndsAt = s.nextHoldEnd(now)
	s.reportLatency(now)
	s.reportDemand(now, false)
	s.instances.update(now)
	s.reportLimits(now)
	s.reportCapacity(now)
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// scheduleTick requests the next tick while any request is in flight or the instance is cut off. A tick that was requested
// and has not come yet stays due, also when its time has passed.
func (s *Scheduler) scheduleTick(now time.Time) {
	if len(s.flights) == 0 && !s.reach.isCutOff() {
		return
	}
	at := now.Add(s.cfg.TickInterval)
	if s.held > 0 && !s.holdEndsAt.IsZero() && s.holdEndsAt.Before(at) {
		at = later(s.holdEndsAt, now.Add(minTickInterval))
	}
	if !s.wakeAt.IsZero() && !at.Before(s.wakeAt) {
		return
	}
	s.wakeAt = at
	s.emit(WakeAt{At: s.wakeAt})
}

// changeTargets changes the set of targets. The measurements of a target that changes stay unless
// it is another incarnation.
func (s *Scheduler) changeTargets(now time.Time, e TargetsChanged) {
	if e.Complete {
		e.Removed = s.missingIn(e.Changed)
	}
	for _, id := range e.Removed {
		s.removeTarget(id)
	}
	for _, t := range e.Changed {
		s.setTarget(now, t)
	}
	s.queryLimits(e.Changed)
	s.forgetStatements(now)
}

// missingIn returns the targets that a new set lacks.
func (s *Scheduler) missingIn(targets []Target) []identifier.Endpoint {
	missing := maps.Clone(s.targets)
	for _, t := range targets {
		delete(missing, t.ID)
	}
	return slices.Sorted(maps.Keys(missing))
}

// setTarget adds or replaces a target.
func (s *Scheduler) setTarget(now time.Time, t Target) {
	old := s.targets[t.ID]
	if old != nil && old.Pool == t.Pool && old.isSameIncarnation(&t) {
		s.pools[t.Pool].replaceTarget(old, &t)
		s.updateCold(now, old)
		return
	}
	s.removeTarget(t.ID)
	added := &target{Target: &t, hash: hashOf(fmt.Sprintf("%s/%d", t.ID, t.ProcessStart)), endpointHash: hashOf(string(t.ID)), attempts: map[Ref]*attempt{}, addedAt: now, statement: s.statements[t.Process()]}
	if old != nil && old.isSameIncarnation(&t) {
		added = old // its measurements hold in the other pool
		added.Target = &t
	}
	s.targets[t.ID] = added
	if s.pools[t.Pool] == nil {
		s.pools[t.Pool] = &pool{name: t.Pool, capacity: newPoolCapacity()}
	}
	s.pools[t.Pool].add(added)
	added.pool = s.pools[t.Pool]
	s.inheritStatement(now, added)
	s.updateCold(now, added)
}

// removeTarget removes a target, if there is one, and its pool if that is empty then.
func (s *Scheduler) removeTarget(id identifier.Endpoint) {
	t := s.targets[id]
	if t == nil {
		return
	}
	delete(s.targets, id)
	pl := s.pools[t.Pool]
	pl.remove(t)
	if len(pl.targets) == 0 {
		delete(s.pools, t.Pool)
	}
}
