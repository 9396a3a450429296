package replicator

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/storeclient"
)

// replaceEntries replaces the entries by a complete list. It keeps entries with a later revision, and those
// of which the list has a reference.
func (c *Core) replaceEntries(now time.Time, s storeclient.Snapshot, references ...Reference) []Action {
	var changes []storeclient.Change
	listed := make(map[string]bool, len(s.Entries))
	for _, r := range references {
		listed[r.Key] = true
	}
	for _, e := range s.Entries {
		listed[e.Key] = true
		wasMissing := c.dropMissing(e.Key, e.Revision)
		if old, ok := c.entries[e.Key]; ok && old.Revision < e.Revision || !ok && (wasMissing || !c.isRemoved(e)) {
			c.entries[e.Key] = e
			changes = append(changes, storeclient.Change{Entry: e})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[key]; !listed[key] && !isUnconfirmed(e) && e.Revision <= s.Revision {
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
	return notify(changes)
}

// applyChanges applies the changes of a watch. It ignores changes older than the stored entry.
func (c *Core) applyChanges(now time.Time, w storeclient.Changes) []Action {
	var changes []storeclient.Change
	for _, ch := range w.Entries {
		wasMissing := c.dropMissing(ch.Key, ch.Revision)
		old, ok := c.entries[ch.Key]
		if !ok && ch.Deleted && (wasMissing || ch.Revision > c.revision) {
			c.recordRemoval(ch) // a follower may have the entry from another replica, or know a reference
		}
		if ok && old.Revision >= ch.Revision || !ok && (ch.Deleted || !wasMissing && c.isRemoved(ch.Entry)) {
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
	return notify(changes)
}

// isRemoved reports whether an entry that the replica does not hold has been removed since. The replica knows the state of
// all keys at its revision, so that an answer with such an entry is older than the replica.
func (c *Core) isRemoved(e storeclient.Entry) bool { return e.Revision <= c.revision }

func notify(changes []storeclient.Change) []Action {
	if len(changes) == 0 {
		return nil
	}
	return []Action{NotifyChanges{Changes: changes}}
}
