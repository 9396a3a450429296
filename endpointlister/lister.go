package endpointlister

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
)

// defaultGrace is slightly longer than endpoints take to rewrite their entries after an outage
// of the store.
const defaultGrace = 2200 * time.Millisecond

// Config configures a Lister. The zero value is usable.
type Config struct {
	Grace time.Duration // after the end of an outage, in which a removed entry may reappear; zero means 2.2 s
}

// Event is an input of a Lister: EntryWritten, EntryRemoved, StoreLost, StoreRegained or
// Ticked.
type Event interface{ event() }

// EntryWritten reports that an endpoint has written its entry.
type EntryWritten struct{ Endpoint Endpoint }

// EntryRemoved reports that the entry of an endpoint is no longer in the store.
type EntryRemoved struct{ ID identifier.Endpoint }

// StoreLost reports that the store is unreachable or unhealthy.
type StoreLost struct{}

// StoreRegained reports that the store answers again.
type StoreRegained struct{}

// Ticked reports that time has passed.
type Ticked struct{}

func (EntryWritten) event()  {}
func (EntryRemoved) event()  {}
func (StoreLost) event()     {}
func (StoreRegained) event() {}
func (Ticked) event()        {}

// Action is an output of a Lister: EndpointListed, EndpointDelisted, EndpointHeld or WakeAt.
type Action interface{ action() }

// EndpointListed adds an endpoint to the list or replaces it there.
type EndpointListed struct{ Endpoint Endpoint }

// EndpointDelisted reports that an endpoint was removed from the list.
type EndpointDelisted struct {
	ID        identifier.Endpoint
	RemovedAt time.Time // when the removal of its entry was first observed
}

// EndpointHeld reports that an endpoint stays on the list although its entry is missing, because the
// entry may have expired in an outage of the store.
type EndpointHeld struct {
	ID        identifier.Endpoint
	StoreLost bool // the store is unreachable; otherwise the grace period after an outage runs
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
	grace        time.Duration
	endpoints    map[identifier.Endpoint]Endpoint
	missingSince map[identifier.Endpoint]time.Time // when the removal of a listed endpoint's entry was first observed
	storeLost    bool                              // the store is unreachable or unhealthy
	regainedAt   time.Time                         // when the store last became reachable again
}

// New returns a Lister for cfg.
func New(cfg Config) *Lister {
	defaulter.Set(&cfg.Grace, defaultGrace)
	return &Lister{grace: cfg.Grace, endpoints: map[identifier.Endpoint]Endpoint{}, missingSince: map[identifier.Endpoint]time.Time{}}
}

// Step applies e at now and returns the actions that it causes.
func (l *Lister) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case EntryWritten:
		return l.handleWritten(e.Endpoint)
	case EntryRemoved:
		return l.handleRemoved(now, e.ID)
	case StoreLost:
		l.storeLost = true
	case StoreRegained:
		l.storeLost = false
		l.regainedAt = now
		return l.requestTick()
	case Ticked:
		return l.expire(now)
	}
	return nil
}

func (l *Lister) handleWritten(e Endpoint) []Action {
	delete(l.missingSince, e.ID)
	old, ok := l.endpoints[e.ID]
	l.endpoints[e.ID] = e
	if ok && old.isEqual(e) {
		return nil
	}
	return []Action{EndpointListed{Endpoint: e}}
}

func (l *Lister) handleRemoved(now time.Time, id identifier.Endpoint) []Action {
	if _, ok := l.endpoints[id]; !ok {
		return nil
	}
	_, known := l.missingSince[id]
	if !known {
		l.missingSince[id] = now
	}
	out := l.expire(now)
	if _, held := l.missingSince[id]; held && !known {
		out = append(out, EndpointHeld{ID: id, StoreLost: l.storeLost})
	}
	return out
}

// expire removes from the list the endpoints whose entries are missing, unless the store is
// unreachable or the grace period after an outage has not ended.
func (l *Lister) expire(now time.Time) []Action {
	if l.storeLost || now.Before(l.regainedAt.Add(l.grace)) {
		return l.requestTick()
	}
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(l.missingSince)) {
		out = append(out, EndpointDelisted{ID: id, RemovedAt: l.missingSince[id]})
		delete(l.endpoints, id)
		delete(l.missingSince, id)
	}
	return out
}

// requestTick requests a tick at the end of the grace period if an endpoint's entry is
// missing.
func (l *Lister) requestTick() []Action {
	if l.storeLost || len(l.missingSince) == 0 {
		return nil
	}
	return []Action{WakeAt{At: l.regainedAt.Add(l.grace)}}
}
