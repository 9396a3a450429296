package router

import (
	"math/rand/v2"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Defaults of Config.
const (
	defaultMaxAttempts         = 3
	defaultRetryRatio          = 0.1
	defaultRetryBurst          = 16
	defaultCandidates          = 4
	defaultLoadBoundRatio      = 1.1
	defaultMinLoadBound        = 0.85
	defaultAffinityWeight      = 0.5
	defaultReportHalfLife      = 250 * time.Millisecond
	defaultMaxPrefixBlocks     = 1 << 16
	defaultCapacity            = 64
	defaultSuspicionTTL        = time.Hour
	defaultSuspicionSettleTime = 500 * time.Millisecond
	defaultMaxTargetWait       = 5 * time.Second
	defaultSuspensionTime      = 5 * time.Second
)

// Config configures a Router. The zero value is usable.
type Config struct {
	MaxAttempts int     // per request, not counting attempts of which no byte was sent; zero means 3
	RetryRatio  float64 // retries allowed per first attempt; zero means 0.1
	RetryBurst  int     // bound on the unused retries that accumulate; zero means 16

	Candidates      int           // targets whose load is compared for one request; zero means 4
	LoadBoundRatio  float64       // bound on the load of a target chosen by cached prefix, relative to the pool's mean load; zero means 1.1
	MinLoadBound    float64       // load up to which a target may be chosen by cached prefix whatever the mean is; zero means 0.85
	AffinityWeight  float64       // benefit of a fully cached prompt as a fraction of a target's capacity; zero means 0.5, negative means none
	ReportHalfLife  time.Duration // age at which a load report and the pool's mean have equal weight; zero means 250 ms
	MaxPrefixBlocks int           // prompt blocks remembered; zero means 65536
	DefaultCapacity int           // assumed for a target that reports no capacity; zero means 64

	SuspicionTTL        time.Duration // how long a fingerprint stays suspected; zero means 1 h
	SuspicionSettleTime time.Duration // delay between a crash and the second run of a request that ran there; zero means 500 ms
	MaxTargetWait       time.Duration // how long a request that may have run or is suspected waits for a target; zero means 5 s
	SuspensionTime      time.Duration // how long a target gets no requests after an attempt broke there, unless a newer report arrives; zero means 5 s

	Rand rand.Source // nil means a fixed seed
}

// Router is the deterministic core of routing. It is not safe for concurrent use; run
// it with a stepper.Stepper. The slice that Step returns is valid until the next Step.
type Router struct {
	cfg           Config
	rand          *rand.Rand
	table         targetTable
	prefixes      prefixTable
	peerLoads     []peerLoad
	budget        retryBudget
	suspects      suspectList
	losses        []loss
	requests      map[Ref]*flight
	running       map[uint64]copies // by fingerprint
	slots         map[identifier.Pool]int
	actions       []Action
	cachedScratch []cachedPrefix // reused by preferCached
}

// copies counts the requests of one fingerprint that run on one target.
type copies struct {
	target string
	count  int
}

// New returns a Router for cfg.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:      cfg,
		rand:     rand.New(cfg.Rand),
		table:    newTargetTable(),
		prefixes: newPrefixTable(cfg.MaxPrefixBlocks),
		budget:   newRetryBudget(cfg.RetryRatio, cfg.RetryBurst),
		suspects: newSuspectList(cfg.SuspicionTTL),
		requests: map[Ref]*flight{},
		running:  map[uint64]copies{},
		slots:    map[identifier.Pool]int{},
	}
}

// Step applies e at now and returns the actions that it causes.
func (r *Router) Step(now time.Time, e Event) []Action {
	r.actions = r.actions[:0]
	switch e := e.(type) {
	case TargetsSet:
		r.setTargets(now, e.Targets)
	case InstanceCountSet:
		r.table.instances = max(e.Count, 1)
		r.setSlots(now)
	case RemoteSet:
		r.setRemote(e)
		r.setSlots(now)
	case SuspicionReceived:
		r.handleSuspicion(now, e.Suspicion)
	case Arrived:
		r.handleArrived(now, e)
	case Ended:
		r.handleEnded(now, e)
	case WaitElapsed:
		if f := r.requests[e.Ref]; f != nil && !f.isRunning() {
			r.advance(now, f)
		}
	case WaitCanceled:
		if f := r.requests[e.Ref]; f != nil && !f.isRunning() {
			r.finish(f, callerGone)
		}
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func (c Config) withDefaults() Config {
	defaulter.Set(&c.MaxAttempts, defaultMaxAttempts)
	defaulter.Set(&c.RetryRatio, defaultRetryRatio)
	defaulter.Set(&c.RetryBurst, defaultRetryBurst)
	defaulter.Set(&c.Candidates, defaultCandidates)
	defaulter.Set(&c.LoadBoundRatio, defaultLoadBoundRatio)
	defaulter.Set(&c.MinLoadBound, defaultMinLoadBound)
	defaulter.Set(&c.AffinityWeight, defaultAffinityWeight)
	defaulter.Set(&c.ReportHalfLife, defaultReportHalfLife)
	defaulter.Set(&c.MaxPrefixBlocks, defaultMaxPrefixBlocks)
	defaulter.Set(&c.DefaultCapacity, defaultCapacity)
	defaulter.Set(&c.SuspicionTTL, defaultSuspicionTTL)
	defaulter.Set(&c.SuspicionSettleTime, defaultSuspicionSettleTime)
	defaulter.Set(&c.MaxTargetWait, defaultMaxTargetWait)
	defaulter.Set(&c.SuspensionTime, defaultSuspensionTime)
	if c.Rand == nil {
		c.Rand = rand.NewPCG(1, 1)
	}
	return c
}
