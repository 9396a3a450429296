package quarantiner

import (
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// Defaults of Config.
const (
	defaultSuspicionTTL    = 10 * time.Minute
	defaultQuarantineTTL   = time.Hour
	defaultAnsweredTTL     = time.Minute
	defaultPartAnsweredTTL = 15 * time.Second
	defaultProofDelay      = time.Second
	defaultClearDelay      = 4500 * time.Millisecond
	defaultExposureTTL     = 6 * time.Second
	defaultDisproofDelay   = 6 * time.Second
	defaultCheckTimeout    = time.Second
	defaultAnnounceDelay   = 1500 * time.Millisecond
	defaultStoreDelay      = time.Second
	defaultTakeOverDelay   = 3 * time.Second
	defaultStoreRetryDelay = 5 * time.Second
	defaultTickInterval    = 250 * time.Millisecond
)

// Config configures a Quarantiner. The zero value is usable.
type Config struct {
	SuspicionTTL    time.Duration // of a single loss; zero means 10 min
	QuarantineTTL   time.Duration // of a quarantine, from its last loss; zero means 1 h
	AnsweredTTL     time.Duration // after a complete answer, in which a request is not suspected; zero means 1 min
	PartAnsweredTTL time.Duration // the same for a part, whose answers come more often; a part that begins to crash endpoints is not recognized before; zero means 15 s
	ProofDelay      time.Duration // for which a process must outlive the start of a run until other parts are blamed before those of the run; zero means 1 s
	ClearDelay      time.Duration // for which a process must outlive an answer that clears its parts; longer than endpoints that have ended stay listed; zero means 4.5 s
	ExposureTTL     time.Duration // after an attempt without a complete answer, within which the end of its endpoint counts as a loss; longer than endpoints that have ended stay listed; zero means 6 s
	DisproofDelay   time.Duration // after which a listed process counts as alive although its address accepted no connection; longer than endpoints that have ended stay listed; zero means 6 s
	CheckTimeout    time.Duration // after which a check of a connection has no result; zero means 1 s
	AnnounceDelay   time.Duration // longest time for which a loss is not announced because a copy of the request runs; zero means 1.5 s
	StoreDelay      time.Duration // after which a single loss that did not reach all peers is stored, unless an answer cleared it before; zero means 1 s
	TakeOverDelay   time.Duration // after which an instance stores the losses of a quarantined request that other instances have not stored; zero means 3 s
	StoreRetryDelay time.Duration // between two attempts to store a loss; zero means 5 s
	TickInterval    time.Duration // between two checks of what is due; zero means 250 ms
}

// Quarantiner is the deterministic core that decides which requests are quarantined. It is not
// safe for concurrent use; run it with a stepper.Stepper.
type Quarantiner struct {
	cfg            Config
	endpoints      map[identifier.Endpoint]endpointlister.Endpoint // as listed
	storeLost      bool
	storeHealthyAt time.Time // since when the store has been healthy
	running        map[identifier.Fingerprint]int
	exposures      map[identifier.Process][]exposure // in order of time
	exposureCount  int
	ended          map[identifier.Process]time.Time // when a process disappeared from the list within ExposureTTL
	checks         map[identifier.Process]time.Time // start of each pending check
	checking       map[identifier.Fingerprint]int   // exposures with a pending check
	suspects       map[identifier.Fingerprint]*suspect
	order          []identifier.Fingerprint // of the suspects, by first loss
	restrictions   map[identifier.Fingerprint]Restrict
	explained      map[identifier.Process]bool // processes that ended under a quarantined part
	answered       answeredList                // requests
	answeredParts  answeredList
	runs           []run        // in order of time
	completions    []completion // in order of time
	judged         bool         // a part is quarantined
	wakeAt         time.Time
	actions        []Action
}

// New returns a Quarantiner for cfg.
func New(cfg Config) *Quarantiner {
	defaulter.Set(&cfg.SuspicionTTL, defaultSuspicionTTL)
	defaulter.Set(&cfg.QuarantineTTL, defaultQuarantineTTL)
	defaulter.Set(&cfg.AnsweredTTL, defaultAnsweredTTL)
	defaulter.Set(&cfg.PartAnsweredTTL, defaultPartAnsweredTTL)
	defaulter.Set(&cfg.ProofDelay, defaultProofDelay)
	defaulter.Set(&cfg.ClearDelay, defaultClearDelay)
	defaulter.Set(&cfg.ExposureTTL, defaultExposureTTL)
	defaulter.Set(&cfg.DisproofDelay, defaultDisproofDelay)
	defaulter.Set(&cfg.CheckTimeout, defaultCheckTimeout)
	defaulter.Set(&cfg.AnnounceDelay, defaultAnnounceDelay)
	defaulter.Set(&cfg.StoreDelay, defaultStoreDelay)
	defaulter.Set(&cfg.TakeOverDelay, defaultTakeOverDelay)
	defaulter.Set(&cfg.StoreRetryDelay, defaultStoreRetryDelay)
	defaulter.Set(&cfg.TickInterval, defaultTickInterval)
	return &Quarantiner{
		cfg: cfg, endpoints: map[identifier.Endpoint]endpointlister.Endpoint{}, running: map[identifier.Fingerprint]int{}, exposures: map[identifier.Process][]exposure{}, ended: map[identifier.Process]time.Time{}, checks: map[identifier.Process]time.Time{},
		checking: map[identifier.Fingerprint]int{}, suspects: map[identifier.Fingerprint]*suspect{}, restrictions: map[identifier.Fingerprint]Restrict{},
		explained: map[identifier.Process]bool{}, answered: newAnsweredList(cfg.AnsweredTTL, maxAnsweredRequests), answeredParts: newAnsweredList(cfg.PartAnsweredTTL, maxAnsweredParts),
	}
}

// Step applies e at now and returns the actions that it causes. The slice is valid until the
// next Step.
func (q *Quarantiner) Step(now time.Time, e Event) []Action {
	q.actions = q.actions[:0]
	switch e := e.(type) {
	case AttemptStarted:
		q.running[e.Fingerprint]++
		q.startRuns(now, e)
	case AttemptEnded:
		q.handleEnd(now, e)
	case ConnectionChecked:
		q.endCheck(now, e.Process, e.Accepted)
	case EndpointsChanged:
		q.changeEndpoints(now, e)
	case StoreHealthSet:
		if q.storeLost && !e.Lost {
			q.storeHealthyAt = now
		}
		q.storeLost = e.Lost
	case ReportReceived:
		q.handleReport(now, e.Report)
	case LossStored:
		q.handleStored(now, e)
	case LossDeleted:
		q.handleDeleted(now, e)
	case AnnouncementFailed:
		if s := q.suspects[e.Fingerprint]; s != nil {
			s.unshared = true
			q.store(now, s, false)
		}
	case RequestRefused:
		if s := q.suspects[e.Fingerprint]; s != nil && s.quarantined {
			q.store(now, s, true)
		}
	case QuarantineLifted:
		q.lift(now, e.Fingerprint)
	case Ticked:
		q.wakeAt = time.Time{}
		q.handleTick(now)
	}
	q.scheduleTick(now)
	return q.actions
}

func (q *Quarantiner) emit(a Action) { q.actions = append(q.actions, a) }

func (q *Quarantiner) handleEnd(now time.Time, e AttemptEnded) {
	if q.running[e.Fingerprint]--; q.running[e.Fingerprint] <= 0 {
		delete(q.running, e.Fingerprint)
	}
	q.endRuns(now, e)
	switch e.Result {
	case ResultNotRun:
	case ResultAnswered:
		q.proveAlive(now, e.Process)
		q.clear(now, attribute{fingerprint: e.Fingerprint}, true)
	case ResultUndelimited:
		q.proveAlive(now, e.Process)
		q.expose(now, e)
	case ResultUnanswered, ResultBroken:
		q.expose(now, e)
	}
	q.update(now, e.Fingerprint)
}

// update announces and stores what is due for a fingerprint and derives its restriction.
func (q *Quarantiner) update(now time.Time, fp identifier.Fingerprint) {
	if s := q.suspects[fp]; s != nil {
		q.announce(now, s)
		q.store(now, s, false)
	}
	q.restrict(fp)
}

// handleReport merges the report of a peer. It refutes the quarantine of a fingerprint that was
// answered here recently.
func (q *Quarantiner) handleReport(now time.Time, r Report) {
	a := attribute{fingerprint: r.Fingerprint, kind: r.Kind, part: r.Part}
	if r.Cleared {
		q.clear(now, a, false)
		return
	}
	if q.answeredOf(r.Kind).hasRecent(now, r.Fingerprint) {
		if len(r.Losses) >= r.Kind.lossesToQuarantine() {
			q.emit(Announce{Report{Fingerprint: r.Fingerprint, Kind: r.Kind, Part: r.Part, Cleared: true}})
		}
		return
	}
	for _, p := range r.Losses {
		q.addLoss(now, a, p, SourcePeer)
	}
	q.update(now, r.Fingerprint)
}

// handleStored takes over a loss that the store holds. If the fingerprint was answered
// recently, the loss is deleted.
func (q *Quarantiner) handleStored(now time.Time, e LossStored) {
	l := q.addLoss(now, attribute{fingerprint: e.Fingerprint, kind: e.Kind}, e.Process, SourceStore)
	if l == nil {
		q.emit(DeleteLoss(e))
		return
	}
	l.revision = e.Revision
	q.update(now, e.Fingerprint)
}

// handleDeleted records that the store no longer holds a loss: its lease expired, or another
// instance cleared or withdrew it and announced that. The loss itself stays.
func (q *Quarantiner) handleDeleted(now time.Time, e LossDeleted) {
	s := q.suspects[e.Fingerprint]
	if s == nil {
		return
	}
	if l := s.find(e.Process); l != nil {
		l.revision, l.storeTriedAt = 0, now
	}
}

func (q *Quarantiner) handleTick(now time.Time) {
	q.expireExposures(now)
	q.proveCompletions(now)
	if q.judged {
		q.judge(now, nil)
	}
	for _, fp := range slices.Clone(q.order) {
		s := q.suspects[fp]
		if s == nil {
			continue
		}
		if !now.Before(s.expiry(q.cfg)) {
			q.removeSuspect(now, s, DecisionExpire)
			continue
		}
		q.withdraw(now, s)
		q.update(now, fp)
	}
}

// scheduleTick requests the next tick while anything may become due. A tick that was requested and has
// not come yet stays due, also when its time has passed.
func (q *Quarantiner) scheduleTick(now time.Time) {
	if q.exposureCount == 0 && len(q.suspects) == 0 && len(q.completions) == 0 || !q.wakeAt.IsZero() {
		return
	}
	q.wakeAt = now.Add(q.cfg.TickInterval)
	q.emit(WakeAt{At: q.wakeAt})
}
