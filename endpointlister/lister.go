package endpointlister

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

const (
	// defaultGrace is slightly longer than endpoints take to rewrite their entries after an outage
	// of the store.
	defaultGrace = 2200 * time.Millisecond
	// defaultCutGrace is slightly longer than the interval at which endpoints renew their entries.
	defaultCutGrace = 1300 * time.Millisecond
	// maxGap is the longest time between two answers of the store in which no outage can have made an
	// entry expire, because entries live for several intervals of their renewal.
	maxGap = 2 * time.Second
	// maxUnheard is the longest time without news of the store that is no cut of this instance. It spans
	// some intervals at which instances that have lost the store query others.
	maxUnheard = time.Second
)

// Config configures a Lister. The zero value is usable.
type Config struct {
	Grace    time.Duration // after the return of the store, in which a removed entry may reappear; zero means 2.2 s
	CutGrace time.Duration // after the end of a cut of this instance, in which the entry of an endpoint that was cut off with it may reappear; zero means 1.3 s
}

// Event is an input of a Lister: EntryWritten, EntryRemoved, StoreLost, StoreRegained, StoreRestored, StoreSeen or
// Ticked.
type Event interface{ event() }

// EntryWritten reports that an endpoint has written its entry.
type EntryWritten struct {
	Endpoint Endpoint
	Sequence uint64 // number of writes of the entry since Endpoint.ProcessStart
	Revision uint64 // of the entry in the store
}

// EntryRemoved reports that the entry of an endpoint is no longer in the store.
type EntryRemoved struct{ ID identifier.Endpoint }

// StoreLost reports that the store does not answer this instance.
type StoreLost struct{ AnsweredAt time.Time } // time of its last answer

// StoreRegained reports that the store answers this instance again.
type StoreRegained struct{}

// StoreSeen reports that the store has answered another instance without interruption for some time.
type StoreSeen struct {
	Since time.Time
	Until time.Time // time of the last answer
}

// Ticked reports that time has passed.
type Ticked struct{}

func (EntryWritten) event()  {}
func (EntryRemoved) event()  {}
func (StoreLost) event()     {}
func (StoreRegained) event() {}
func (StoreSeen) event()     {}
func (Ticked) event()        {}

// Action is an output of a Lister: EndpointListed, EndpointDelisted, EndpointHeld or WakeAt.
type Action interface{ action() }

// EndpointListed adds an endpoint to the list or replaces it there.
type EndpointListed struct{ Endpoint Endpoint }

// EndpointDelisted reports that an endpoint was removed from the list.
type EndpointDelisted struct {
	ID        identifier.Endpoint
	RemovedAt time.Time // when the removal of its entry was first observed
	HeldBy    Hold      // what kept it on the list since then; HoldNone if nothing did
}

// EndpointHeld reports that an endpoint stays on the list although its entry is missing, because the
// entry may have expired in an outage of the store.
type EndpointHeld struct {
	ID     identifier.Endpoint
	HeldBy Hold
	Until  time.Time // the end of the grace period, as known now; zero for HoldStoreLost
}

// Hold is the reason for which an endpoint without an entry stays on the list.
type Hold uint8

// The reasons.
const (
	HoldNone        Hold = iota
	HoldStoreLost        // the store answers neither this instance nor one that it reaches
	HoldAfterOutage      // Config.Grace has not passed since the store returned
	HoldAfterCut         // Config.CutGrace has not passed since this instance heard of the store again
)

// String returns the name of the reason in logs.
func (h Hold) String() string {
	return [...]string{"none", "storeLost", "afterOutage", "afterCut"}[h]
}

// WakeAt requests a Ticked event at a time.
type WakeAt struct{ At time.Time }

func (EndpointListed) action()   {}
func (EndpointDelisted) action() {}
func (EndpointHeld) action()     {}
func (WakeAt) action()           {}

// Lister is the deterministic core that maintains the list. An event costs what it changes, whatever
// the length of the list. It is not safe for concurrent use.
type Lister struct {
	cfg          Config
	endpoints    map[identifier.Endpoint]Endpoint
	missingSince map[identifier.Endpoint]time.Time // when the removal of a listed endpoint's entry was first observed
	storeLost    bool                              // the store does not answer this instance
	seenSince    time.Time                         // since when the store has answered some instance without a long gap
	seenUntil    time.Time                         // the last known time at which it answered one; later while it answers this one
	heardAt      time.Time                         // when that was learned
	reachedAt    time.Time                         // end of the last long time without such news
	memory       memory                            // of what endpoints have said
}

// New returns a Lister for cfg.
func New(cfg Config) *Lister {
	defaulter.Set(&cfg.Grace, defaultGrace)
	defaulter.Set(&cfg.CutGrace, defaultCutGrace)
	return &Lister{cfg: cfg, endpoints: map[identifier.Endpoint]Endpoint{}, missingSince: map[identifier.Endpoint]time.Time{}}
}

// Step applies e at now and returns the actions that it causes.
func (l *Lister) Step(now time.Time, e Event) []Action {
	out := l.handle(now, e)
	if l.storeLost {
		return out // a doubted entry shows nothing while the store does not answer
	}
	for _, attested := range l.memory.takeAttested(now) {
		out = append(out, l.handleWritten(now, attested)...)
	}
	if len(l.memory.doubted) > 0 {
		out = append(out, WakeAt{At: l.nextDecision(now)})
	}
	return out
}

// nextDecision returns when the doubted entries count, or when a grace period ends before that while entries are missing.
func (l *Lister) nextDecision(now time.Time) time.Time {
	at := l.memory.attestedAt
	if len(l.missingSince) == 0 || l.isUnseen(now) {
		return at
	}
	if until, _ := l.graceEnd(); until.Before(at) {
		return until
	}
	return at
}

func (l *Lister) handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case EntryWritten:
		return l.handleWritten(now, e)
	case EntryRemoved:
		return l.handleRemoved(now, e.ID)
	case StoreLost:
		l.storeLost, l.seenUntil, l.heardAt = true, e.AnsweredAt, e.AnsweredAt
	case StoreRegained:
		l.recordContact(now, StoreSeen{Since: now, Until: now})
		l.storeLost = false
		l.memory.extend(now)
		return l.expire(now)
	case StoreRestored:
		l.memory.revision, l.memory.attestedAt = e.Revision, now.Add(attestTime)
		clear(l.memory.doubted) // the entries of the copy before are gone
	case StoreSeen:
		if !l.storeLost {
			l.seenUntil, l.heardAt = now, now
		}
		l.recordContact(now, e)
		return l.expire(now)
	case Ticked:
		return l.expire(now)
	}
	return nil
}

// handleWritten takes over an entry. One that comes from the copy of a restored store changes nothing for now: what the
// endpoint has said since holds, also that it left.
func (l *Lister) handleWritten(now time.Time, written EntryWritten) []Action {
	e := written.Endpoint
	delete(l.missingSince, e.ID)
	if l.memory.doubts(now, written, l.isListed(e.ID)) {
		return nil
	}
	old, ok := l.endpoints[e.ID]
	e.setWarmAt(now, old)
	l.endpoints[e.ID] = e
	if ok && old.isEqual(e) {
		return nil
	}
	return []Action{EndpointListed{Endpoint: e}}
}

func (l *Lister) handleRemoved(now time.Time, id identifier.Endpoint) []Action {
	delete(l.memory.doubted, id)
	if _, ok := l.endpoints[id]; !ok {
		return nil
	}
	_, known := l.missingSince[id]
	if !known {
		l.missingSince[id] = now
	}
	out := l.expire(now)
	if _, held := l.missingSince[id]; held && !known {
		out = append(out, l.hold(now, id))
	}
	return out
}

// hold returns the action that reports why an endpoint without an entry stays on the list.
func (l *Lister) hold(now time.Time, id identifier.Endpoint) EndpointHeld {
	if l.isUnseen(now) {
		return EndpointHeld{ID: id, HeldBy: HoldStoreLost}
	}
	until, reason := l.graceEnd()
	return EndpointHeld{ID: id, HeldBy: reason, Until: until}
}

// recordContact records a time in which the store has answered an instance without interruption. Such
// times with only a short gap between them count as one.
func (l *Lister) recordContact(now time.Time, e StoreSeen) {
	wasAway := e.Since.Sub(l.seenUntil) > maxGap
	isConnected := l.seenSince.Sub(e.Until) <= maxGap
	if wasAway || isConnected && e.Since.Before(l.seenSince) {
		l.seenSince = e.Since
	}
	if now.Sub(l.heardAt) > maxUnheard {
		l.reachedAt = now
	}
	l.heardAt = now
	if e.Until.After(l.seenUntil) {
		l.seenUntil = e.Until
	}
}

// isUnseen reports whether the store is not known to answer any instance.
func (l *Lister) isUnseen(now time.Time) bool {
	return l.storeLost && now.Sub(l.seenUntil) > maxGap
}

// expire removes from the list the endpoints whose entries are missing, unless the store is
// not known to answer or a grace period has not ended.
func (l *Lister) expire(now time.Time) []Action {
	if len(l.missingSince) == 0 || l.isUnseen(now) {
		return nil
	}
	until, reason := l.graceEnd()
	if now.Before(until) {
		return []Action{WakeAt{At: until}}
	}
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(l.missingSince)) {
		gone := EndpointDelisted{ID: id, RemovedAt: l.missingSince[id]}
		if gone.RemovedAt.Before(until) {
			gone.HeldBy = reason
		}
		out = append(out, gone)
		delete(l.endpoints, id)
		delete(l.missingSince, id)
		l.memory.depart(now, id, l.isListed)
	}
	return out
}

// isListed reports whether an endpoint is on the list.
func (l *Lister) isListed(id identifier.Endpoint) bool {
	_, ok := l.endpoints[id]
	return ok
}

// graceEnd returns the time from which a missing entry shows that its endpoint has left, and the
// grace period that ends then.
func (l *Lister) graceEnd() (time.Time, Hold) {
	afterOutage, afterCut := l.seenSince.Add(l.cfg.Grace), l.reachedAt.Add(l.cfg.CutGrace)
	if afterCut.After(afterOutage) {
		return afterCut, HoldAfterCut
	}
	return afterOutage, HoldAfterOutage
}
