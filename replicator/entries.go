package replicator

import (
	"maps"
	"slices"

	"amaranthmill/storeclient"
)

// replaceEntries replaces the entries by a complete list. It keeps entries with a later revision.
func (c *Core) replaceEntries(s storeclient.Snapshot) []Action {
	var changes []storeclient.Change
	listed := make(map[string]bool, len(s.Entries))
	for _, e := range s.Entries {
		listed[e.Key] = true
		if old, ok := c.entries[e.Key]; !ok || old.Revision < e.Revision {
			c.entries[e.Key] = e
			changes = append(changes, storeclient.Change{Entry: e})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if !listed[key] && c.entries[key].Revision <= s.Revision {
			removal := storeclient.Change{Entry: storeclient.Entry{Key: key, Revision: s.Revision}, Deleted: true}
			changes = append(changes, removal)
			c.recordRemoval(removal)
			delete(c.entries, key)
		}
	}
	c.revision = max(c.revision, s.Revision)
	return notify(changes)
}

// applyChanges applies the changes of a watch. It ignores changes older than the stored entry.
func (c *Core) applyChanges(w storeclient.Changes) []Action {
	var changes []storeclient.Change
	for _, ch := range w.Entries {
		old, ok := c.entries[ch.Key]
		if ok && old.Revision >= ch.Revision || !ok && ch.Deleted {
			continue
		}
		if ch.Deleted {
			delete(c.entries, ch.Key)
			c.recordRemoval(ch)
		} else {
			c.entries[ch.Key] = ch.Entry
		}
		changes = append(changes, ch)
	}
	c.revision = max(c.revision, w.Revision)
	return notify(changes)
}

func notify(changes []storeclient.Change) []Action {
	if len(changes) == 0 {
		return nil
	}
	return []Action{NotifyChanges{Changes: changes}}
}
