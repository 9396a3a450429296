package replicator

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/storeclient"
)

// replaceEntries replaces the entries by a complete list. It keeps entries with a later revision, and those
// of which the list has a reference.
func (c *Core) replaceEntries(now time.Time, from Origin, s storeclient.Snapshot, references ...Reference) []Action {
	var out []Action
	var changes []storeclient.Change
	listed := make(map[string]bool, len(s.Entries))
	for _, r := range references {
		listed[r.Key] = true
	}
	for _, e := range s.Entries {
		listed[e.Key] = true
		wasMissing := c.dropMissing(e.Key, e.Revision)
		switch old, ok := c.entries[e.Key]; {
		case ok && old.Revision < e.Revision || !ok && (wasMissing || !c.isRemoved(e)):
			c.entries[e.Key] = e
			changes = append(changes, storeclient.Change{Entry: e})
		case old.Revision != e.Revision && len(out) == 0:
			out = c.ignoreEntry(from, e, s.Revision)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[key]; !listed[key] && !c.awaitsWriter(e) && e.Revision <= s.Revision {
			removal := storeclient.Change{Entry: storeclient.Entry{Key: key, Revision: s.Revision}, Deleted: true}
			changes = append(changes, removal)
			c.recordRemoval(removal)
			delete(c.entries, key)
			c.restartFetch(now, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.missing)) {
		if !listed[key] && c.dropMissing(key, s.Revision) {
			c.recordRemoval(storeclient.Change{Entry: storeclient.Entry{Key: key, Revision: s.Revision}, Deleted: true})
		}
	}
	c.recordGap(s.Revision)
	c.revision = max(c.revision, s.Revision)
	return append(out, notify(changes, from)...)
}

// applyChanges applies the changes of a watch. It ignores changes older than the stored entry.
func (c *Core) applyChanges(now time.Time, from Origin, w storeclient.Changes) []Action {
	var out []Action
	var changes []storeclient.Change
	for _, ch := range w.Entries {
		wasMissing := c.dropMissing(ch.Key, ch.Revision)
		old, ok := c.entries[ch.Key]
		if !ok && ch.Deleted && (wasMissing || ch.Revision > c.revision) {
			c.recordRemoval(ch) // a follower may have the entry from another replica, or know a reference
		}
		if ok && old.Revision >= ch.Revision || !ok && (ch.Deleted || !wasMissing && c.isRemoved(ch.Entry)) {
			if old.Revision != ch.Revision && !ch.Deleted && len(out) == 0 {
				out = c.ignoreEntry(from, ch.Entry, w.Revision)
			}
			continue
		}
		if ch.Deleted {
			delete(c.entries, ch.Key)
			c.recordRemoval(ch)
			c.restartFetch(now, ch.Key)
		} else {
			c.entries[ch.Key] = ch.Entry
		}
		changes = append(changes, ch)
	}
	c.revision = max(c.revision, w.Revision)
	return append(out, notify(changes, from)...)
}

// isRemoved reports whether an entry that the replica does not hold has been removed since. The replica knows the state of
// all keys at its revision, so that an answer with such an entry is older than the replica.
func (c *Core) isRemoved(e storeclient.Entry) bool { return e.Revision <= c.revision }

// ignoreEntry returns the report of an answer with entries that are older than the replica, of which e is the first one.
func (c *Core) ignoreEntry(from Origin, e storeclient.Entry, revision uint64) []Action {
	return []Action{Ignored{Reason: IgnoredOlder, Origin: from, Revision: revision, Key: e.Key, Held: c.revision, HeldEra: c.era}}
}

func notify(changes []storeclient.Change, from Origin) []Action {
	if len(changes) == 0 {
		return nil
	}
	return []Action{NotifyChanges{Changes: changes, Origin: from}}
}
