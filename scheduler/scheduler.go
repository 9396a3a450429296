package scheduler

import (
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
)

// Config configures a Scheduler. The zero value is usable.
type Config struct {
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
}

// Scheduler is the deterministic core that schedules requests. It is not safe for concurrent
// use; run it with a stepper.Stepper. The slice that Step returns is valid until the next Step.
type Scheduler struct {
	cfg     Config
	targets map[identifier.Endpoint]*target
	pools   map[identifier.Pool]*pool
	flights map[Ref]*flight
	queues  map[identifier.Pool]*queue // of the pools with requests that wait for a target
	rates   map[identifier.Pool]*poolRates
	budget  retryBudget
	latency latencyCounter

	statements   map[identifier.Process]*statement
	restrictions map[identifier.Fingerprint]restriction
	copies       map[identifier.Fingerprint]int // number of flights with a fingerprint

	random  *rand.Rand  // nil for no jitter
	free    []candidate // buffer of freeTargets
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
	s := &Scheduler{
		cfg: cfg, targets: map[identifier.Endpoint]*target{}, pools: map[identifier.Pool]*pool{}, statements: map[identifier.Process]*statement{},
		flights: map[Ref]*flight{}, queues: map[identifier.Pool]*queue{}, rates: map[identifier.Pool]*poolRates{}, restrictions: map[identifier.Fingerprint]restriction{}, copies: map[identifier.Fingerprint]int{}, budget: newRetryBudget(cfg),
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
	switch e := e.(type) {
	case TargetsChanged:
		s.changeTargets(now, e)
		s.placeAllWaiting(now)
	case InstanceCountSet:
		s.budget.setInstances(e.Count)
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
	case Arrived:
		s.handleArrival(now, e)
	case Progressed:
		s.handleProgress(now, e)
	case Ended:
		s.handleEnd(now, e)
	case CallerLeft:
		s.handleCallerLeft(e.Ref)
	case Ticked:
		s.wakeAt = time.Time{}
		s.checkStalls(now)
		s.placeAllWaiting(now)
		s.checkWaiting(now)
		s.reportLatency(now)
	}
	s.scheduleTick(now)
	return s.actions
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// scheduleTick requests the next tick while any request is in flight. A tick that was requested
// and has not come yet stays due, also when its time has passed.
func (s *Scheduler) scheduleTick(now time.Time) {
	if len(s.flights) == 0 || !s.wakeAt.IsZero() {
		return
	}
	s.wakeAt = now.Add(s.cfg.TickInterval)
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
		old.Target = &t
		return
	}
	s.removeTarget(t.ID)
	added := &target{Target: &t, attempts: map[Ref]*attempt{}, addedAt: now, statement: s.statements[t.Process()]}
	if old != nil && old.isSameIncarnation(&t) {
		added = old // its measurements hold in the other pool
		added.Target = &t
	}
	s.targets[t.ID] = added
	if s.pools[t.Pool] == nil {
		s.pools[t.Pool] = &pool{name: t.Pool}
	}
	s.pools[t.Pool].add(added)
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

// candidate is a target that may take another request.
type candidate struct {
	target *target
	load   float64 // as a fraction of its slots
	score  float64 // the load and what else speaks against the target; the lowest is the best
}

// freeTargets returns the targets of a pool that may take a request which no target runs. The slice
// is valid until the next call.
func (s *Scheduler) freeTargets(now time.Time, pl *pool) []candidate {
	m := pl.means(now)
	s.free = s.free[:0]
	for _, t := range pl.targets {
		if c, ok := s.candidate(now, t, m); ok {
			s.free = append(s.free, c)
		}
	}
	return s.free
}

// candidate returns t as a candidate for a request which no target runs, or false if t may take none.
func (s *Scheduler) candidate(now time.Time, t *target, m means) (candidate, bool) {
	if !s.mayTake(now, t) {
		return candidate{}, false
	}
	load := t.load(now, m.otherRequests)
	return candidate{target: t, load: load, score: load + s.penalty(now, t, m.gap)}, load < s.cfg.MaxLoad
}

// chooseCandidate returns the best of the candidates for f, or false if f has tried all of them. A copy of
// a request shares the target of the first copy while that has enough free slots.
func (s *Scheduler) chooseCandidate(now time.Time, f *flight, candidates []candidate) (candidate, bool) {
	var best candidate
	found := false
	shared := s.targetOfCopy(f)
	for _, c := range candidates {
		if f.hasTried(now, c.target) || len(f.running) > 0 && !c.target.stalledAt.IsZero() {
			continue // a hedge is no trial request, because the first attempt may be at a silent target already
		}
		if c.target == shared && c.load < maxCopyLoad {
			return c, true
		}
		if !found || c.score < best.score || c.score == best.score && s.winsTie(f, c.target, best.target) {
			best, found = c, true
		}
	}
	return best, found
}

// chooseTarget returns the best target for f and its load, or the reason why no target is available.
func (s *Scheduler) chooseTarget(now time.Time, f *flight) (*target, float64, Reason) {
	pl := s.pools[f.Pool]
	if pl == nil {
		return nil, 0, ReasonNoTarget
	}
	if c, ok := s.chooseCandidate(now, f, s.freeTargets(now, pl)); ok {
		return c.target, c.load, ""
	}
	return nil, 0, s.waitReason(now, f, pl)
}

// waitReason returns the reason why no target of a pool is available for f.
func (s *Scheduler) waitReason(now time.Time, f *flight, pl *pool) Reason {
	m := pl.means(now)
	for _, t := range pl.targets {
		if !f.hasTried(now, t) && s.isFull(now, t, m) {
			return ReasonFull
		}
	}
	if _, isClosed := pl.reopensAt(now); isClosed {
		return ReasonClosed
	}
	return ReasonNoTarget
}

// isFull reports whether t takes no request because of those that it runs: it has refused one, or
// the estimate of its load says so.
func (s *Scheduler) isFull(now time.Time, t *target, m means) bool {
	if now.Before(t.refusedUntil) {
		return t.statement.admits(now)
	}
	return s.mayTake(now, t) && t.load(now, m.otherRequests) >= s.cfg.MaxLoad
}

// winsTie reports whether t is preferred to best if both have the same score. The order of
// the targets differs between requests, so that equal targets share the requests.
func (s *Scheduler) winsTie(f *flight, t, best *target) bool {
	return tieHash(f.ref, t.ID) < tieHash(f.ref, best.ID)
}

func tieHash(ref Ref, id identifier.Endpoint) uint64 {
	h := uint64(ref) * 0x9e3779b97f4a7c15
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return h
}

// penalty returns the value that is added to the load of t to get its score. Like the load,
// it is a fraction of t's slots.
func (s *Scheduler) penalty(now time.Time, t *target, poolMeanGap time.Duration) float64 {
	score := prefillPenalty * float64(t.prefillBacklog()) / 1000
	if t.FailureDomain != s.cfg.FailureDomain {
		score += remoteDomainPenalty
	}
	if t.SpansFabricDomains {
		score += fabricSpanPenalty
	}
	if t.MemberMissing {
		score += missingMemberPenalty
	}
	if now.Sub(t.addedAt) < time.Second {
		score += newTargetPenalty
	}
	if poolMeanGap > 0 && now.Sub(t.gapMeasuredAt) < latencySampleTTL {
		if ratio := float64(t.meanGap) / float64(poolMeanGap); ratio > slowThreshold {
			score += slowPenalty * (ratio - 1)
		}
	}
	return score + 0.25*float64(min(t.consecutiveFailures, 8))
}

// mayTake reports whether t may take a request which no target runs: its process has neither said
// that it leaves nor asked for no requests, and either t is not stalled, or a trial request is due.
func (s *Scheduler) mayTake(now time.Time, t *target) bool {
	if !t.statement.admits(now) || now.Before(t.refusedUntil) {
		return false
	}
	if t.stalledAt.IsZero() {
		return true
	}
	return len(t.attempts) == 0 && now.Sub(t.lastTrialAt) >= s.cfg.TrialInterval && now.Sub(t.stalledAt) >= s.cfg.TrialInterval
}
