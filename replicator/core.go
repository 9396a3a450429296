package replicator

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/keeper"
)

// Defaults of Config.
const (
	defaultMinInterval = 300 * time.Millisecond
	defaultHurry       = 100 * time.Millisecond
	defaultBackoff     = 100 * time.Millisecond
	defaultMaxBackoff  = 400 * time.Millisecond
	defaultPeerEvery   = 300 * time.Millisecond
	failuresToLose     = 2 // in a row, after which the store counts as lost; one watch may be cut at any time
)

// Event is what a Core learns: Started, Hurried, Listed, Watched, Failed, PeerAnswered or Ticked.
type Event interface{ event() }

// Started begins the first list.
type Started struct{}

// Listed is the answer to a List action.
type Listed struct{ Snapshot keeper.Snapshot }

// Watched is the answer to a Watch action.
type Watched struct{ Changes keeper.Changes }

// Failed says that the call under way brought nothing. Compacted says that the history it asked for is gone.
type Failed struct{ Compacted bool }

// PeerAnswered is what a peer's replica has beyond this one, in answer to an AskPeers action.
type PeerAnswered struct{ Update Update }

// UrgentSet says whether changes are wanted as soon as they come, rather than several at a time.
type UrgentSet struct{ On bool }

// Ticked follows a WakeAt action at its time.
type Ticked struct{}

func (UrgentSet) event()    {}
func (Started) event()      {}
func (Listed) event()       {}
func (Watched) event()      {}
func (Failed) event()       {}
func (PeerAnswered) event() {}
func (Ticked) event()       {}

// Action is what a Core wants done: List, Watch, AskPeers, WakeAt, Change or Health.
type Action interface{ action() }

// List asks the store for all entries.
type List struct{}

// Watch asks the store for the changes after a revision.
type Watch struct{ After uint64 }

// QueryPeers asks a peer for what its replica has beyond a revision.
type QueryPeers struct{ After uint64 }

// WakeAt asks for a Ticked event at At. It replaces the WakeAt before it.
type WakeAt struct{ At time.Time }

// NotifyChanges tells of entries that were written or removed, in the order in which they were.
type NotifyChanges struct{ Changes []keeper.Change }

// Health says whether the store answers.
type Health struct {
	Lost  bool
	Since time.Time // the last answer before the loss; the loss before a return
}

func (List) action()          {}
func (Watch) action()         {}
func (QueryPeers) action()    {}
func (WakeAt) action()        {}
func (NotifyChanges) action() {}
func (Health) action()        {}

// Core decides when to list, watch and ask peers, and holds the replica. It has one call
// of the store under way at most. It is not safe for concurrent use.
type Core struct {
	minInterval, hurry, backoff, maxBackoff, peerEvery time.Duration

	hurried bool

	entries  map[string]keeper.Entry
	removed  []keeper.Change // the last ones, by revision
	floor    uint64          // up to which removals are not remembered
	revision uint64
	listed   bool // the entries are complete as of revision
	fromPeer bool // entries came from a peer, so that the store's own list has to confirm them

	called   time.Time // when the last call was made
	answered time.Time // when the store last answered
	lostAt   time.Time
	failures int
	lost     bool
	callAt   time.Time // of the next call; zero while one is under way
	askAt    time.Time // of the next question to peers; zero while the store answers
}

// NewCore returns a Core for cfg; only its durations matter.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		minInterval: cfg.MinInterval, hurry: cfg.UrgentInterval, backoff: cfg.Backoff, maxBackoff: cfg.MaxBackoff, peerEvery: cfg.PeerInterval,
		entries: map[string]keeper.Entry{},
	}
}

func (c Config) withDefaults() Config {
	defaulter.Set(&c.MinInterval, defaultMinInterval)
	defaulter.Set(&c.UrgentInterval, defaultHurry)
	defaulter.Set(&c.Backoff, defaultBackoff)
	defaulter.Set(&c.MaxBackoff, defaultMaxBackoff)
	defaulter.Set(&c.PeerInterval, defaultPeerEvery)
	return c
}

// Step applies e at now and returns the actions that it causes.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Started:
		c.answered = now
		return c.call(now)
	case UrgentSet:
		c.hurried = e.On
	case Listed:
		out := c.succeeded(now)
		if !c.listed && len(c.entries) == 0 {
			c.floor = e.Snapshot.Revision
		}
		out = append(out, c.replace(e.Snapshot)...)
		c.listed, c.fromPeer = true, false
		return append(out, c.next(now)...)
	case Watched:
		out := c.succeeded(now)
		out = append(out, c.apply(e.Changes)...)
		return append(out, c.next(now)...)
	case Failed:
		return c.failed(now, e.Compacted)
	case PeerAnswered:
		return c.peerAnswered(e.Update)
	case Ticked:
		return c.ticked(now)
	}
	return nil
}

// Revision returns the store's revision that the replica stands at, or zero before the first list.
func (c *Core) Revision() uint64 { return c.revision }

// IsFresh reports whether the store answered within the last age, itself or by a peer that follows it.
func (c *Core) IsFresh(now time.Time, age time.Duration) bool {
	return c.listed && !c.lost && now.Sub(c.answered) <= age
}

// call makes the call that the replica needs.
func (c *Core) call(now time.Time) []Action {
	c.called, c.callAt = now, time.Time{}
	if !c.listed || c.fromPeer {
		return []Action{List{}}
	}
	return []Action{Watch{After: c.revision}}
}

// next makes the next call after an answer, or plans it so that changes in quick succession share a call.
func (c *Core) next(now time.Time) []Action {
	interval := c.minInterval
	if c.hurried {
		interval = c.hurry
	}
	if at := c.called.Add(interval); now.Before(at) {
		c.callAt = at
		return []Action{c.wake()}
	}
	return c.call(now)
}

func (c *Core) succeeded(now time.Time) []Action {
	c.answered, c.failures, c.askAt = now, 0, time.Time{}
	if !c.lost {
		return nil
	}
	c.lost = false
	return []Action{Health{Since: c.lostAt}}
}

func (c *Core) failed(now time.Time, compacted bool) []Action {
	if compacted {
		c.listed = false
		return c.next(now)
	}
	c.failures++
	c.callAt = now.Add(min(c.backoff<<min(c.failures-1, 10), c.maxBackoff))
	var out []Action
	if !c.lost && c.failures >= failuresToLose {
		c.lost, c.lostAt, c.askAt = true, now, now
		out = append(out, Health{Lost: true, Since: c.answered})
	}
	return append(out, c.ticked(now)...)
}

func (c *Core) peerAnswered(n Update) []Action {
	if !c.lost || n.Revision <= c.revision {
		return nil
	}
	if !n.Complete {
		return c.apply(keeper.Changes{Revision: n.Revision, Entries: n.Entries})
	}
	c.fromPeer = true
	return c.replace(n.snapshot())
}

func (c *Core) ticked(now time.Time) []Action {
	var out []Action
	if !c.askAt.IsZero() && !now.Before(c.askAt) {
		c.askAt = now.Add(c.peerEvery)
		out = append(out, QueryPeers{After: c.revision})
	}
	if !c.callAt.IsZero() && !now.Before(c.callAt) {
		out = append(out, c.call(now)...)
	}
	if c.callAt.IsZero() && c.askAt.IsZero() {
		return out
	}
	return append(out, c.wake())
}

// wake asks for a tick at the earlier of what is planned.
func (c *Core) wake() WakeAt {
	at := c.callAt
	if at.IsZero() || (!c.askAt.IsZero() && c.askAt.Before(at)) {
		at = c.askAt
	}
	return WakeAt{At: at}
}

// replace takes a whole list in place of the entries.
func (c *Core) replace(s keeper.Snapshot) []Action {
	var changes []keeper.Change
	listed := make(map[string]bool, len(s.Entries))
	for _, e := range s.Entries {
		listed[e.Key] = true
		if old, ok := c.entries[e.Key]; !ok || old.Revision < e.Revision {
			c.entries[e.Key] = e
			changes = append(changes, keeper.Change{Entry: e})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if !listed[key] && c.entries[key].Revision <= s.Revision {
			gone := keeper.Change{Entry: keeper.Entry{Key: key, Revision: s.Revision}, Deleted: true}
			changes = append(changes, gone)
			c.remember(gone)
			delete(c.entries, key)
		}
	}
	c.revision = max(c.revision, s.Revision)
	return changed(changes)
}

// apply takes the changes of a watch.
func (c *Core) apply(w keeper.Changes) []Action {
	var changes []keeper.Change
	for _, ch := range w.Entries {
		old, ok := c.entries[ch.Key]
		if ok && old.Revision >= ch.Revision || !ok && ch.Deleted {
			continue
		}
		if ch.Deleted {
			delete(c.entries, ch.Key)
			c.remember(ch)
		} else {
			c.entries[ch.Key] = ch.Entry
		}
		changes = append(changes, ch)
	}
	c.revision = max(c.revision, w.Revision)
	return changed(changes)
}

func changed(changes []keeper.Change) []Action {
	if len(changes) == 0 {
		return nil
	}
	return []Action{NotifyChanges{Changes: changes}}
}
