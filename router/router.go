package router

import (
	"math/rand/v2"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Defaults of Config.
const (
	defaultMaxAttempts     = 3
	defaultRetryShare      = 0.1
	defaultRetryBurst      = 16
	defaultChoices         = 4
	defaultLoadBound       = 1.1
	defaultFreeLoad        = 0.85
	defaultAffinityWeight  = 0.5
	defaultReportHalfLife  = 250 * time.Millisecond
	defaultPrefixBlocks    = 1 << 16
	defaultCapacity        = 64
	defaultSuspicionFor    = time.Hour
	defaultSuspicionSettle = 500 * time.Millisecond
	defaultPatience        = 5 * time.Second
	defaultSuspendFor      = 5 * time.Second
)

// Config configures a Router. The zero value is usable.
type Config struct {
	MaxAttempts int     // of one request, without those of which no byte was sent; zero means 3
	RetryShare  float64 // retries that each first attempt allows; zero means 0.1
	RetryBurst  int     // retries that a time without any saves up; zero means 16

	Candidates      int           // targets that are compared by load for one request; zero means 4
	LoadBoundRatio  float64       // of the load of a target chosen by prefix, in parts of the mean; zero means 1.1
	MinLoadBound    float64       // at which a target may be chosen by prefix whatever the mean is; zero means 0.85
	AffinityWeight  float64       // of a wholly cached prompt, in parts of a target's capacity; zero means 0.5, negative none
	ReportHalfLife  time.Duration // in which half of a load report's weight goes over to the mean; zero means 250 ms
	MaxPrefixBlocks int           // prompt blocks remembered; zero means 65536
	DefaultCapacity int           // of a target that reports none; zero means 64

	SuspicionTTL        time.Duration // how long a fingerprint stays suspected; zero means 1 h
	SuspicionSettleTime time.Duration // between a crash and the second run of what ran there; zero means 500 ms
	MaxTargetWait       time.Duration // that a begun or suspected request waits for a target; zero means 5 s
	SuspensionTime      time.Duration // that a target which broke an attempt is left alone without a newer report; zero means 5 s

	Rand rand.Source // nil means a fixed seed
}

// Router is the deterministic core of routing. It is not safe for concurrent use; run
// it with a stepper.Stepper. The slice that Step returns is valid until the next Step.
type Router struct {
	cfg      Config
	rand     *rand.Rand
	table    targetTable
	prefixes prefixTable
	remotes  []remote
	budget   retryBudget
	suspects suspectList
	losses   []loss
	requests map[Ref]*flight
	running  map[uint64]copies // by fingerprint
	slots    map[identifier.Pool]int
	actions  []Action
	cached   []cachedPrefix // scratch of choose
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
		budget:   newRetryBudget(cfg.RetryShare, cfg.RetryBurst),
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
	case InstancesSet:
		r.table.instances = max(e.Count, 1)
		r.setSlots(now)
	case RemoteSet:
		r.setRemote(e)
		r.setSlots(now)
	case SuspicionReceived:
		r.suspected(now, e.Suspicion)
	case Arrived:
		r.arrived(now, e)
	case Ended:
		r.ended(now, e)
	case WaitElapsed:
		if f := r.requests[e.Ref]; f != nil && !f.runs() {
			r.next(now, f)
		}
	case WaitCanceled:
		if f := r.requests[e.Ref]; f != nil && !f.runs() {
			r.finish(f, callerGone)
		}
	}
	return r.actions
}

func (r *Router) act(a Action) { r.actions = append(r.actions, a) }

func (c Config) withDefaults() Config {
	defaulter.Set(&c.MaxAttempts, defaultMaxAttempts)
	defaulter.Set(&c.RetryShare, defaultRetryShare)
	defaulter.Set(&c.RetryBurst, defaultRetryBurst)
	defaulter.Set(&c.Candidates, defaultChoices)
	defaulter.Set(&c.LoadBoundRatio, defaultLoadBound)
	defaulter.Set(&c.MinLoadBound, defaultFreeLoad)
	defaulter.Set(&c.AffinityWeight, defaultAffinityWeight)
	defaulter.Set(&c.ReportHalfLife, defaultReportHalfLife)
	defaulter.Set(&c.MaxPrefixBlocks, defaultPrefixBlocks)
	defaulter.Set(&c.DefaultCapacity, defaultCapacity)
	defaulter.Set(&c.SuspicionTTL, defaultSuspicionFor)
	defaulter.Set(&c.SuspicionSettleTime, defaultSuspicionSettle)
	defaulter.Set(&c.MaxTargetWait, defaultPatience)
	defaulter.Set(&c.SuspensionTime, defaultSuspendFor)
	if c.Rand == nil {
		c.Rand = rand.NewPCG(1, 1)
	}
	return c
}
