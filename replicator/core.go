package replicator

import (
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/storeclient"
)

// Defaults of Config.
const (
	defaultMinInterval    = 300 * time.Millisecond
	defaultUrgentInterval = 100 * time.Millisecond
	defaultBackoff        = 100 * time.Millisecond
	defaultMaxBackoff     = 400 * time.Millisecond
	defaultPeerInterval   = 300 * time.Millisecond
	defaultContactTime    = 2200 * time.Millisecond
	defaultAnswerTimeout  = 1600 * time.Millisecond
	defaultRestoreGrace   = 2200 * time.Millisecond // slightly longer than the other writers take to write their entries again
	maxContactGap         = 2400 * time.Millisecond // between two answers of the store for which it counts as answering without interruption; entries live for three intervals of 1.2 s, so that none expires in less
	lossThreshold         = 2                       // consecutive failures after which the store counts as lost; a single watch may be aborted at any time
)

// Core decides when to list, to watch and to query peers, and holds the replica. One call to the
// store is pending while the store answers. After a failure, or if a watch is overdue, the next calls
// are made at intervals whether or not the previous ones have ended, because a call into silence
// ends only at its timeout.
// Core is not safe for concurrent use.
type Core struct {
	minInterval, urgentInterval, backoff, maxBackoff, peerInterval, contactTime, answerTimeout, restoreGrace time.Duration

	urgent bool

	entries      map[string]storeclient.Entry
	missing      map[string]*missingValue // values of which only references are known, by key
	fetches      uint64                   // number of the last fetch of a value
	removed      []storeclient.Change     // the latest maxRemovals removals, in order of revision
	removalFloor uint64                   // removals up to this revision may be missing from removed
	gaps         []gap                    // the latest maxGaps gaps above removalFloor, in order of revision
	era          storeclient.Era          // in which all revisions count
	wasRestored  bool                     // the store has been restored since the first list
	revision     uint64
	listed       bool // the entries are complete as of revision
	fromPeer     bool // the entries came from a peer and have to be confirmed by a list from the store

	calledAt     time.Time // when the last call was made
	answeredAt   time.Time // when the store last answered, this instance or the one at the top of those that it follows
	lostAt       time.Time
	round        uint64 // number of the store's answers to this replica
	pending      int    // calls of this round that have not ended
	failures     int
	lost         bool
	nextCallAt   time.Time // when the next call is due; zero while a list is pending and no call has failed
	nextQueryAt  time.Time // when the next query to peers is due; zero for none
	queryUntil   time.Time // end of the queries after the return of the store
	contactSince time.Time // when the store began to answer without interruption
	peerContact  Contact   // the last known time in which it has answered peers without interruption
	confirmUntil time.Time // when the entries that a restored store lacks are removed; zero if there are none
}

// NewCore returns a Core for cfg. It uses only the durations of cfg.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		minInterval: cfg.MinInterval, urgentInterval: cfg.UrgentInterval, backoff: cfg.Backoff, maxBackoff: cfg.MaxBackoff, peerInterval: cfg.PeerInterval,
		contactTime: cfg.ContactTime, answerTimeout: cfg.AnswerTimeout, restoreGrace: cfg.RestoreGrace,
		entries: map[string]storeclient.Entry{}, missing: map[string]*missingValue{},
	}
}

func (c Config) withDefaults() Config {
	defaulter.Set(&c.MinInterval, defaultMinInterval)
	defaulter.Set(&c.UrgentInterval, defaultUrgentInterval)
	defaulter.Set(&c.Backoff, defaultBackoff)
	defaulter.Set(&c.MaxBackoff, defaultMaxBackoff)
	defaulter.Set(&c.PeerInterval, defaultPeerInterval)
	defaulter.Set(&c.ContactTime, defaultContactTime)
	defaulter.Set(&c.AnswerTimeout, defaultAnswerTimeout)
	defaulter.Set(&c.RestoreGrace, defaultRestoreGrace)
	return c
}

// Step applies e at time now and returns the resulting actions.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Started:
		c.answeredAt = now
		return append(c.startCall(now), c.scheduleWake()...)
	case UrgentSet:
		c.urgent = e.On
	case Listed:
		return c.handleList(now, e)
	case Watched:
		return c.handleWatch(now, e)
	case Failed:
		return c.handleFailure(now, e)
	case ValueFetched:
		return c.handleValue(now, e)
	case ValueFailed:
		return c.handleValueFailure(now, e)
	case PeerAnswered:
		return c.handleUpdate(now, e)
	case Ticked:
		return c.handleTick(now)
	}
	return nil
}

// Revision returns the store revision that the replica reflects, or zero before the first list.
func (c *Core) Revision() uint64 { return c.revision }

// AnsweredAt returns when the store sent its last answer, to this replica or to the one from which
// the peer that this replica follows has it. It returns the zero time if the replica is incomplete
// or the store is lost.
func (c *Core) AnsweredAt() time.Time {
	if !c.listed || c.lost {
		return time.Time{}
	}
	return c.answeredAt
}

func (c *Core) handleList(now time.Time, e Listed) []Action {
	from := Origin{Kind: OriginList, Era: e.Snapshot.Era}
	if e.Call.Round != c.round {
		return c.ignore(IgnoredOvertaken, from, e.Snapshot.Revision) // it may hold entries that have been removed since
	}
	if e.Snapshot.Era < c.era {
		out := c.ignore(IgnoredOtherEra, from, e.Snapshot.Revision)
		return append(out, c.handleFailure(now, Failed{Call: e.Call})...)
	}
	if !c.listed && len(c.entries) == 0 {
		c.removalFloor = e.Snapshot.Revision
	}
	out := c.handleSuccess(now, 0, e.Call)
	out = append(out, c.adoptEra(now, e.Snapshot.Era, e.Snapshot.Revision)...)
	out = append(out, c.replaceEntries(now, from, e.Snapshot)...)
	c.listed, c.fromPeer = true, false
	return append(out, c.scheduleCall(now)...)
}

func (c *Core) handleWatch(now time.Time, e Watched) []Action {
	from := Origin{Kind: OriginWatch, Era: e.Changes.Era, Peer: e.Peer}
	if e.Call.Round != c.round {
		return c.ignore(IgnoredOvertaken, from, e.Changes.Revision) // it may hold entries that have been removed since
	}
	if e.Changes.Era != c.era || e.Call.Era != c.era {
		out := c.ignore(IgnoredOtherEra, from, e.Changes.Revision)
		return append(out, c.handleFailure(now, Failed{Compacted: e.Changes.Era >= c.era, Call: e.Call})...) // the history of a later era starts with a list
	}
	out := c.handleSuccess(now, e.Age, e.Call)
	out = append(out, c.applyChanges(now, from, e.Changes)...)
	out = append(out, c.applyReferences(now, e.References)...)
	return append(out, c.scheduleCall(now)...)
}

// startCall starts a List if the entries are incomplete or unconfirmed, and a Watch otherwise.
func (c *Core) startCall(now time.Time) []Action {
	call := Call{Round: c.round, Era: c.era, At: now, PreviousAt: c.calledAt}
	isList, isOverdue := !c.listed || c.fromPeer, c.pending > 0
	c.calledAt, c.nextCallAt = now, time.Time{}
	c.pending++
	switch {
	case c.failures > 0 || isOverdue && !isList:
		c.nextCallAt = now.Add(c.maxBackoff)
	case !isList:
		c.nextCallAt = c.overdueAt(now)
	}
	if isList {
		return []Action{List{Call: call}}
	}
	return []Action{Watch{After: c.revision, Poll: c.lost || c.failures > 0 || isOverdue, Call: call}}
}

// overdueAt returns when a watch that is made now no longer delays the next call. The time counts from the
// last answer of the store, because what a peer told of it may be old.
func (c *Core) overdueAt(now time.Time) time.Time {
	at := c.answeredAt.Add(c.answerTimeout)
	if soonest := now.Add(c.backoff); at.Before(soonest) {
		return soonest
	}
	return at
}

// scheduleCall starts the next call after an answer, or delays it to the end of the interval so
// that changes in quick succession share one call.
func (c *Core) scheduleCall(now time.Time) []Action {
	interval := c.minInterval
	if c.urgent {
		interval = c.urgentInterval
	}
	if at := c.calledAt.Add(interval); now.Before(at) {
		c.nextCallAt = at
		return c.scheduleWake()
	}
	return append(c.startCall(now), c.scheduleWake()...)
}

// handleSuccess records an answer whose content the store sent age before now. After a long time
// without an answer the store counts as lost until now, although fewer calls than lossThreshold have
// failed: entries may have expired.
func (c *Core) handleSuccess(now time.Time, age time.Duration, answered Call) []Action {
	var out []Action
	at := now.Add(-age)
	isInterrupted := c.contactSince.IsZero() || isLonger(c.answeredAt, at, maxContactGap)
	if isInterrupted && !c.lost && c.listed {
		c.lost, c.lostAt = true, now
		out = append(out, Health{Lost: true, Since: c.answeredAt})
	}
	if isInterrupted || c.lost {
		c.contactSince = at
	}
	if at.After(c.answeredAt) {
		c.answeredAt = at
	}
	c.round++
	c.pending, c.failures = 0, 0
	if !c.lost {
		return out
	}
	c.lost, c.nextQueryAt, c.queryUntil = false, now, now.Add(c.contactTime)
	c.extendConfirmation(now)
	return append(out, Health{Since: c.lostAt, Answered: answered})
}

func (c *Core) handleFailure(now time.Time, e Failed) []Action {
	if e.Call.Round != c.round {
		return nil
	}
	c.pending--
	if e.Compacted {
		c.listed = false
		return c.scheduleCall(now)
	}
	c.failures++
	c.scheduleRetry(now, e.NotSent)
	var out []Action
	if !c.lost && c.failures >= lossThreshold {
		c.lost, c.lostAt, c.nextQueryAt = true, now, now
		out = append(out, Health{Lost: true, Since: c.answeredAt})
	}
	return append(out, c.handleTick(now)...)
}

// scheduleRetry sets the time of the next call after a failure. A call that is pending does not delay
// it, and a call that the store's client has rejected costs the store nothing.
func (c *Core) scheduleRetry(now time.Time, notSent bool) {
	if notSent {
		c.nextCallAt = now.Add(c.backoff)
		return
	}
	at := now.Add(min(c.backoff<<min(c.failures-1, 10), c.maxBackoff))
	if c.pending == 0 || c.nextCallAt.IsZero() || at.Before(c.nextCallAt) {
		c.nextCallAt = at
	}
}

func (c *Core) handleUpdate(now time.Time, e PeerAnswered) []Action {
	u := e.Update
	era := c.peerEra(u.Era)
	from := Origin{Kind: OriginUpdate, Era: era, Peer: u.Peer}
	if era < c.era {
		return c.ignore(IgnoredOtherEra, from, u.Revision)
	}
	var out []Action
	if era > c.era {
		switch {
		case !c.lost:
			return nil // the store's own answer shows the new era
		case !u.Complete:
			return []Action{QueryPeers{Era: c.era}}
		}
		out = c.adoptEra(now, era, u.Revision)
	}
	if u.IsInContact {
		until := now.Add(-u.AnswerAge)
		contact := Contact{Since: until.Add(-u.ContactTime), Until: until}
		c.peerContact = contact.extend(c.peerContact)
		out = append(out, contact)
	}
	if !c.lost || u.Revision <= c.revision {
		return out
	}
	if !u.Complete && e.Query.Era != c.era { // the changes begin after a revision of an earlier era
		return append(out, c.ignore(IgnoredOtherEra, from, u.Revision)...)
	}
	if !u.Complete {
		out = append(out, c.applyChanges(now, from, storeclient.Changes{Revision: u.Revision, Entries: u.Entries})...)
	} else {
		c.fromPeer = true
		out = append(out, c.replaceEntries(now, from, u.snapshot(), u.References...)...)
	}
	if len(u.References) == 0 {
		return out
	}
	out = append(out, c.applyReferences(now, u.References)...)
	return append(out, c.scheduleWake()...)
}

func (c *Core) handleTick(now time.Time) []Action {
	var out []Action
	if !c.lost && !now.Before(c.queryUntil) {
		c.nextQueryAt = time.Time{}
	}
	if !c.nextQueryAt.IsZero() && !now.Before(c.nextQueryAt) {
		c.nextQueryAt = now.Add(c.peerInterval)
		out = append(out, QueryPeers{Era: c.era, After: c.completeRevision()})
	}
	if !c.nextCallAt.IsZero() && !now.Before(c.nextCallAt) {
		out = append(out, c.startCall(now)...)
	}
	out = append(out, c.startFetches(now)...)
	out = append(out, c.dropUnconfirmed(now)...)
	return append(out, c.scheduleWake()...)
}

// scheduleWake requests a tick at the earliest of the next call, the next query to peers, the next fetch of a value
// and the removal of the entries that a restored store lacks, if one is due.
func (c *Core) scheduleWake() []Action {
	at := c.nextCallAt
	confirmUntil := c.confirmUntil
	if c.lost {
		confirmUntil = time.Time{}
	}
	for _, next := range []time.Time{c.nextQueryAt, c.nextFetchAt(), confirmUntil} {
		if at.IsZero() || (!next.IsZero() && next.Before(at)) {
			at = next
		}
	}
	if at.IsZero() {
		return nil
	}
	return []Action{WakeAt{At: at}}
}
