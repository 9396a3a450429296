package endpointlister

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

const (
	// attestTime is the time after a restore of the store from which on an entry shows what its endpoint says: one that
	// is not renewed expires within three intervals of 1.2 s, and one whose endpoint says something else is rewritten.
	attestTime = 5 * time.Second
	// goneMemory is the time for which what an endpoint last said is kept after it has left the list. It is longer than
	// the age of a copy from which a store is restored.
	goneMemory = 2 * time.Minute
)

// StoreRestored reports that the store was restored from an older copy. The entries that it holds are reported after it.
// Those up to Revision may come from the copy; those after it were written since.
type StoreRestored struct{ Revision uint64 }

func (StoreRestored) event() {}

// statement is the position of an entry among all that an endpoint has written.
type statement struct {
	start    identifier.ProcessStart
	sequence uint64
}

// precedes reports whether the endpoint wrote s before o.
func (s statement) precedes(o statement) bool {
	return s.start < o.start || s.start == o.start && s.sequence < o.sequence
}

// departure is an endpoint that has left the list.
type departure struct {
	id identifier.Endpoint
	at time.Time
}

// memory holds the last statement of each endpoint, also of those that left some time ago, and the older entries that a
// restored store has shown. Its zero value is ready for use.
type memory struct {
	last       map[identifier.Endpoint]statement
	doubted    map[identifier.Endpoint]EntryWritten // older than the last statement
	departures []departure                          // from the list, in the order of time
	revision   uint64                               // up to which entries may come from the copy
	attestedAt time.Time                            // end of attestTime after the last restore
}

// doubts reports whether an entry may come from the copy of a restored store although its endpoint has left the list or
// said something else since. It keeps the entry in that case, and its statement otherwise. The sequence does not tell
// whether an endpoint wrote the entry before it left, because a write that changes only the sequence is not reported.
func (m *memory) doubts(now time.Time, e EntryWritten, isListed bool) bool {
	if m.last == nil {
		m.last, m.doubted = map[identifier.Endpoint]statement{}, map[identifier.Endpoint]EntryWritten{}
	}
	s := statement{start: e.Endpoint.ProcessStart, sequence: e.Sequence}
	last, isKnown := m.last[e.Endpoint.ID]
	isOld := isKnown && (!last.precedes(s) || !isListed && s.start <= last.start)
	if isOld && e.Revision <= m.revision && now.Before(m.attestedAt) {
		m.doubted[e.Endpoint.ID] = e
		return true
	}
	delete(m.doubted, e.Endpoint.ID)
	m.last[e.Endpoint.ID] = s
	return false
}

// extend restarts attestTime if entries are doubted, because the store was lost in it.
func (m *memory) extend(now time.Time) {
	if len(m.doubted) > 0 {
		m.attestedAt = now.Add(attestTime)
	}
}

// depart records that an endpoint has left the list, and forgets those that left long ago and did not come back. isListed
// reports whether an endpoint is on the list.
func (m *memory) depart(now time.Time, id identifier.Endpoint, isListed func(identifier.Endpoint) bool) {
	m.departures = append(m.departures, departure{id: id, at: now})
	for now.Sub(m.departures[0].at) > goneMemory {
		if old := m.departures[0].id; !isListed(old) {
			delete(m.last, old)
		}
		m.departures = m.departures[1:]
	}
}

// takeAttested returns the doubted entries that the store still holds once attestTime has passed, and forgets them.
func (m *memory) takeAttested(now time.Time) []EntryWritten {
	if len(m.doubted) == 0 || now.Before(m.attestedAt) {
		return nil
	}
	var out []EntryWritten
	for _, id := range slices.Sorted(maps.Keys(m.doubted)) {
		out = append(out, m.doubted[id])
	}
	clear(m.doubted)
	return out
}
