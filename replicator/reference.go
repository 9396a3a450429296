package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/storeclient"
)

// LargeSize is the size from which a value is sent to followers as a reference, in bytes.
const LargeSize = 16 << 10

// Reference names a version of a large value without the value.
type Reference struct {
	Key      string
	Era      storeclient.Era // in which the revision counts; zero if its source names none
	Revision uint64
	Size     int // of the value in bytes
}

// missingValue is a value of which the replica knows only a reference. The entry of the key is
// that of the version before, if there is one.
type missingValue struct {
	Reference           // the newest one
	since     time.Time // when the first reference arrived after the last value
	fetch     uint64    // number of the pending fetch; zero for none
	requested uint64    // revision that the pending fetch must at least return
	retryAt   time.Time // when the next fetch is due while none is pending
	failures  int       // consecutive
}

// FetchValue requests the value of a reference or a newer version of it. Its outcome is reported with the
// same number.
type FetchValue struct {
	Reference
	Number   uint64
	Base     uint64    // revision of the version that the replica holds; zero for none
	Failures int       // fetches of the value that have failed in a row
	Since    time.Time // when the replica learned that a newer version than the one that it holds exists
}

// ValueFetched is the answer to a FetchValue action.
type ValueFetched struct {
	Number uint64
	Version
}

// ValueFailed reports that a FetchValue action has failed.
type ValueFailed struct {
	Number uint64
	Key    string
}

func (FetchValue) action()  {}
func (ValueFetched) event() {}
func (ValueFailed) event()  {}

// applyReferences records references that are newer than what the replica knows and starts the fetches
// of their values. A newer reference replaces an older one; a pending fetch continues, because its answer is
// at least a newer version than the one held, and the newest that the peer has.
func (c *Core) applyReferences(now time.Time, references []Reference) []Action {
	for _, r := range references {
		if e, ok := c.entries[r.Key]; ok && e.Revision >= r.Revision {
			continue
		}
		r.Era = c.era
		m := c.missing[r.Key]
		switch {
		case m == nil:
			c.missing[r.Key] = &missingValue{Reference: r, since: now, retryAt: now}
		case m.Revision < r.Revision:
			m.Reference = r
		}
	}
	return c.startFetches(now)
}

// startFetches starts the fetches that are due, one for each key.
func (c *Core) startFetches(now time.Time) []Action {
	var out []Action
	for _, key := range slices.Sorted(maps.Keys(c.missing)) {
		m := c.missing[key]
		if m.fetch != 0 || now.Before(m.retryAt) {
			continue
		}
		c.fetches++
		m.fetch, m.requested = c.fetches, m.Revision
		out = append(out, FetchValue{Reference: m.Reference, Number: m.fetch, Base: c.entries[key].Revision, Failures: m.failures, Since: m.since})
	}
	return out
}

// handleValue applies a fetched value. The fetch of a value that was removed or superseded in the meantime no
// longer counts.
func (c *Core) handleValue(now time.Time, e ValueFetched) []Action {
	m := c.missing[e.Entry.Key]
	if m == nil || m.fetch != e.Number {
		return nil
	}
	failed := ValueFailed{Number: e.Number, Key: e.Entry.Key}
	switch {
	case !c.isCurrent(e.Version):
		out := c.ignore(IgnoredOtherEra, Origin{Kind: OriginValue, Era: e.Era, Peer: e.Peer}, e.Entry.Revision)
		return append(out, c.handleValueFailure(now, failed)...)
	case e.Entry.Revision < m.requested:
		return c.handleValueFailure(now, failed)
	}
	m.fetch, m.failures, m.retryAt = 0, 0, now
	var out []Action
	if old, ok := c.entries[e.Entry.Key]; !ok || old.Revision < e.Entry.Revision {
		c.entries[e.Entry.Key] = e.Entry
		m.since = now
		out = notify([]storeclient.Change{{Entry: e.Entry}}, Origin{Kind: OriginValue, Era: c.era, Peer: e.Peer})
	}
	c.dropMissing(e.Entry.Key, e.Entry.Revision)
	out = append(out, c.startFetches(now)...)
	return append(out, c.scheduleWake()...)
}

// isCurrent reports whether the revision of a fetched version counts in the era of the replica. A peer of a version that
// names no era may still be in the one before the last restore, if there was one.
func (c *Core) isCurrent(v Version) bool {
	return v.Era == c.era || v.Era == 0 && !c.wasRestored
}

// handleValueFailure schedules the next fetch.
func (c *Core) handleValueFailure(now time.Time, e ValueFailed) []Action {
	m := c.missing[e.Key]
	if m == nil || m.fetch != e.Number {
		return nil
	}
	m.fetch = 0
	m.failures++
	m.retryAt = now.Add(min(c.backoff<<min(m.failures-1, 10), c.maxBackoff))
	return c.scheduleWake()
}

// dropMissing forgets the reference of a key up to a revision. It returns whether there was one.
func (c *Core) dropMissing(key string, revision uint64) bool {
	m := c.missing[key]
	if m == nil || m.Revision > revision {
		return false
	}
	delete(c.missing, key)
	return true
}

// restartFetch ignores the pending fetch of a key that was removed and written again since: its answer may be
// a version from before the removal.
func (c *Core) restartFetch(now time.Time, key string) {
	if m := c.missing[key]; m != nil {
		m.fetch, m.retryAt = 0, now
	}
}

// nextFetchAt returns when the next fetch of a value is due, or the zero time.
func (c *Core) nextFetchAt() time.Time {
	var at time.Time
	for _, m := range c.missing {
		if m.fetch == 0 && (at.IsZero() || m.retryAt.Before(at)) {
			at = m.retryAt
		}
	}
	return at
}

// completeRevision returns the revision up to which the replica has all values.
func (c *Core) completeRevision() uint64 {
	revision := c.revision
	for _, m := range c.missing {
		revision = min(revision, m.Revision-1)
	}
	return revision
}

// Entry returns the entry of a key and the newest revision of the key that the replica knows, which is higher
// than that of the entry while its value is missing, and zero if the key does not exist.
func (c *Core) Entry(key string) (e storeclient.Entry, newest uint64) {
	e = c.entries[key]
	newest = e.Revision
	if m := c.missing[key]; m != nil {
		newest = max(newest, m.Revision)
	}
	return e, newest
}

// ReferencesSince returns the changes after a revision as ChangesSince does, but references in place of large
// values and of values that are missing. Revision is that of the replica.
func (c *Core) ReferencesSince(after uint64) (changes storeclient.Changes, references []Reference, ok bool) {
	all, ok := c.allChangesSince(after)
	if !ok {
		return storeclient.Changes{}, nil, false
	}
	changes.Revision, changes.Era = c.revision, c.era
	for _, ch := range all.Entries {
		switch {
		case ch.Deleted || len(ch.Value) <= LargeSize:
			changes.Entries = append(changes.Entries, ch)
		case c.missing[ch.Key] == nil:
			references = append(references, Reference{Key: ch.Key, Era: c.era, Revision: ch.Revision, Size: len(ch.Value)})
		}
	}
	return changes, append(references, c.missingSince(after)...), true
}

// UpdateWithReferences returns what UpdateSince does, but with references to the values that are missing, so
// that they do not delay the other entries. A complete update has the references of all of them, because the
// receiver deletes the keys that it does not name.
func (c *Core) UpdateWithReferences(after uint64) Update {
	if c.revision <= after {
		return Update{Era: c.era}
	}
	if changes, ok := c.allChangesSince(after); ok {
		return Update{Era: c.era, Revision: c.revision, Entries: changes.Entries, References: c.missingSince(after)}
	}
	u := c.completeUpdate()
	u.Revision, u.References = c.revision, c.missingSince(0)
	return u
}

// missingSince returns the references after a revision whose values are missing, sorted by key.
func (c *Core) missingSince(after uint64) []Reference {
	var out []Reference
	for _, m := range c.missing {
		if m.Revision > after {
			out = append(out, m.Reference)
		}
	}
	slices.SortFunc(out, func(a, b Reference) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
