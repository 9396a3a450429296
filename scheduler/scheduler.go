package scheduler

import (
	"slices"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Defaults of Config.
const (
	defaultRetryShare  = 0.18
	defaultRetryStock  = 40
	defaultPatience    = 1500 * time.Millisecond
	defaultStallFloor  = 160 * time.Millisecond
	defaultStallGaps   = 5
	defaultStallAnswer = 300 * time.Millisecond
	defaultStallFirsts = 2.5
	defaultTryAgain    = 1200 * time.Millisecond
	defaultOverfill    = 1.1
	defaultTick        = 40 * time.Millisecond
)

// Config configures a Scheduler. The zero value is usable.
type Config struct {
	FailureDomain identifier.FailureDomain // of this instance, whose targets are preferred

	RetryRatio float64 // arrivals beyond the first that each request allows; zero means 0.18
	RetrySlack float64 // such arrivals that all instances together may save up; zero means 40

	MaxTargetWait         time.Duration // that a request waits for a target at most; zero means 1.5 s
	StreamStallMin        time.Duration // without an event, after which a target with running streams stands still at the earliest; zero means 160 ms
	StreamStallFactor     int           // mean gaps between events for which the same holds; zero means 5
	FirstEventStallMin    time.Duration // without any answer, after which a target stands still; zero means 300 ms
	FirstEventStallFactor float64       // mean times to the first event for which the same holds; zero means 2.5
	TrialInterval         time.Duration // between two requests that try a target that stands still; zero means 1.2 s
	MaxLoad               float64       // of a target's slots, up to which requests are placed there; zero means 1.1
	TickInterval          time.Duration // between two looks at the targets' progress; zero means 40 ms
}

// Scheduler is the deterministic core of placing. It is not safe for concurrent use; run it
// with a stepper.Stepper. The slice that Step returns is valid until the next Step.
type Scheduler struct {
	cfg      Config
	targets  map[identifier.Endpoint]*target
	pools    map[identifier.Pool]*pool
	flights  map[Ref]*flight
	waiting  []*flight // the one that goes first at the front
	rates    map[identifier.Pool]*traffic
	budget   budget
	pressure pressure
	wakeAt   time.Time
	actions  []Action
}

// New returns a Scheduler for cfg.
func New(cfg Config) *Scheduler {
	defaulter.Set(&cfg.RetryRatio, defaultRetryShare)
	defaulter.Set(&cfg.RetrySlack, defaultRetryStock)
	defaulter.Set(&cfg.MaxTargetWait, defaultPatience)
	defaulter.Set(&cfg.StreamStallMin, defaultStallFloor)
	defaulter.Set(&cfg.StreamStallFactor, defaultStallGaps)
	defaulter.Set(&cfg.FirstEventStallMin, defaultStallAnswer)
	defaulter.Set(&cfg.FirstEventStallFactor, defaultStallFirsts)
	defaulter.Set(&cfg.TrialInterval, defaultTryAgain)
	defaulter.Set(&cfg.MaxLoad, defaultOverfill)
	defaulter.Set(&cfg.TickInterval, defaultTick)
	return &Scheduler{
		cfg: cfg, targets: map[identifier.Endpoint]*target{}, pools: map[identifier.Pool]*pool{},
		flights: map[Ref]*flight{}, rates: map[identifier.Pool]*traffic{}, budget: newBudget(cfg.RetryRatio, cfg.RetrySlack),
	}
}

// Step applies e at now and returns the actions that it causes.
func (p *Scheduler) Step(now time.Time, e Event) []Action {
	p.actions = p.actions[:0]
	switch e := e.(type) {
	case TargetsSet:
		p.setTargets(now, e.Targets)
		p.placeWaiting(now)
	case InstanceCountSet:
		p.budget.setInstances(e.Count)
	case RetryBudgetSet:
		p.budget.share, p.budget.stock = e.Ratio, e.Slack
		p.budget.setInstances(p.budget.instances)
	case Arrived:
		p.arrived(now, e)
	case Progressed:
		p.progressed(now, e)
	case Ended:
		p.ended(now, e)
		p.placeWaiting(now)
	case CallerLeft:
		p.left(e.Ref)
	case Ticked:
		p.wakeAt = time.Time{}
		p.checkStalls(now)
		p.placeWaiting(now)
		p.tellPressure(now)
	}
	p.wake(now)
	return p.actions
}

func (p *Scheduler) act(a Action) { p.actions = append(p.actions, a) }

// wake asks for the next tick while there is something to look at.
func (p *Scheduler) wake(now time.Time) {
	if len(p.flights) == 0 || p.wakeAt.After(now) {
		return
	}
	p.wakeAt = now.Add(p.cfg.TickInterval)
	p.act(WakeAt{At: p.wakeAt})
}

// setTargets replaces the set and keeps what is known of targets that stay.
func (p *Scheduler) setTargets(now time.Time, targets []Target) {
	old := p.targets
	p.targets = make(map[identifier.Endpoint]*target, len(targets))
	p.pools = make(map[identifier.Pool]*pool, len(p.pools))
	for i := range targets {
		t := old[targets[i].ID]
		if t == nil || !t.isSame(&targets[i]) {
			t = &target{flights: map[Ref]*flight{}, since: now}
		}
		t.Target = targets[i]
		p.targets[t.ID] = t
		if p.pools[t.Pool] == nil {
			p.pools[t.Pool] = &pool{name: t.Pool}
		}
		p.pools[t.Pool].targets = append(p.pools[t.Pool].targets, t)
	}
}

// choose returns the best target for f and its load, or the reason why there is none.
func (p *Scheduler) choose(now time.Time, f *flight) (*target, float64, Reason) {
	pl := p.pools[f.Pool]
	if pl == nil {
		return nil, 0, ReasonNoTarget
	}
	meanOthers, meanGap := pl.meanOthers(now), pl.meanGap(now)
	var best *target
	bestScore, bestLoad, reason := 0.0, 0.0, ReasonNoTarget
	for _, t := range pl.targets {
		if f.hasTried(now, t) || !p.isTrusted(now, t) {
			continue
		}
		load := t.load(now, meanOthers)
		if load >= p.cfg.MaxLoad {
			reason = ReasonFull
			continue
		}
		score := load + p.penalty(now, t, meanGap)
		if best == nil || score < bestScore || score == bestScore && p.breaksTie(f, t, best) {
			best, bestScore, bestLoad = t, score, load
		}
	}
	return best, bestLoad, reason
}

// breaksTie spreads requests over targets that are equally good, in another order for each request.
func (p *Scheduler) breaksTie(f *flight, t, best *target) bool {
	return tieHash(f.ref, t.ID) < tieHash(f.ref, best.ID)
}

func tieHash(ref Ref, id identifier.Endpoint) uint64 {
	h := uint64(ref) * 0x9e3779b97f4a7c15
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return h
}

// penalty returns what counts against t besides its load, in parts of its slots.
func (p *Scheduler) penalty(now time.Time, t *target, meanGap time.Duration) float64 {
	score := readWeight * float64(t.reading()) / 1000
	if t.FailureDomain != p.cfg.FailureDomain {
		score += remoteWeight
	}
	if t.SpansFabricDomains {
		score += farWeight
	}
	if t.MemberMissing {
		score += doubtWeight
	}
	if now.Sub(t.since) < time.Second {
		score += freshWeight
	}
	if meanGap > 0 && now.Sub(t.gapAt) < speedLife {
		if slower := float64(t.gap) / float64(meanGap); slower > slowFactor {
			score += slowWeight * (slower - 1)
		}
	}
	return score + 0.25*float64(min(t.consecutive, 8))
}

// isTrusted reports whether a request may be placed at t: it does not stand still, or it is time to try it.
func (p *Scheduler) isTrusted(now time.Time, t *target) bool {
	if t.stalledAt.IsZero() {
		return true
	}
	return len(t.flights) == 0 && now.Sub(t.tried) >= p.cfg.TrialInterval && now.Sub(t.stalledAt) >= p.cfg.TrialInterval
}

// enqueue makes f wait in the order of priority and, within a priority, of deadline.
func (p *Scheduler) enqueue(f *flight) {
	at, _ := slices.BinarySearchFunc(p.waiting, f, func(a, b *flight) int {
		if b.goesBefore(a) {
			return 1
		}
		return -1
	})
	p.waiting = slices.Insert(p.waiting, at, f)
}

func (p *Scheduler) dequeue(f *flight) {
	if i := slices.Index(p.waiting, f); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}
