package replicator

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/storeclient"
)

// Restored reports that the store was restored from an older copy, before the changes that the list of the new era
// shows. The replica has forgotten all revisions.
type Restored struct {
	Era         storeclient.Era // the new one
	Revision    uint64          // of the store in the new era
	OldRevision uint64          // that the replica reflected in the old one
}

func (Restored) action() {}

// Era returns the era in which Revision counts.
func (c *Core) Era() storeclient.Era { return c.era }

// peerEra returns the era in which the revisions of a peer count. One that names none is of a version that knows no eras,
// or follows a store that names none, and counts as in the era of this replica.
func (c *Core) peerEra(named storeclient.Era) storeclient.Era {
	if named == 0 {
		return c.era
	}
	return named
}

// adoptEra takes over the era of a complete list before its entries are applied. In a later era than the replica's,
// the entries that it holds get revision zero, which is lower than any in the list, and what followers could be told
// of the old era is forgotten.
func (c *Core) adoptEra(now time.Time, era storeclient.Era, revision uint64) []Action {
	if era == c.era {
		return nil
	}
	c.era = era
	if c.revision == 0 {
		return nil
	}
	restored := Restored{Era: era, Revision: revision, OldRevision: c.revision}
	for key, e := range c.entries {
		e.Revision = 0
		c.entries[key] = e
	}
	c.wasRestored = true
	c.missing = map[string]*missingValue{}
	c.removed, c.gaps = nil, nil
	c.removalFloor, c.revision = revision, 0
	c.contactSince, c.peerContact = now, Contact{}
	c.confirmUntil = now.Add(c.restoreGrace)
	return []Action{restored}
}

// isUnconfirmed reports whether an entry is of an earlier era and missing in the list of this one. It may have been
// written after the copy, so that its writer writes it again.
func isUnconfirmed(e storeclient.Entry) bool { return e.Revision == 0 }

// awaitsWriter reports whether an entry that the list of a restored store lacks may still be written again.
func (c *Core) awaitsWriter(e storeclient.Entry) bool {
	return isUnconfirmed(e) && !c.confirmUntil.IsZero()
}

// dropUnconfirmed removes the entries that were not written again in the time for that, unless the store is lost. An entry of
// which a reference of the new era is known stays until its value is fetched.
func (c *Core) dropUnconfirmed(now time.Time) []Action {
	if c.confirmUntil.IsZero() || c.lost || now.Before(c.confirmUntil) {
		return nil
	}
	c.confirmUntil = time.Time{}
	var changes []storeclient.Change
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if isUnconfirmed(c.entries[key]) && c.missing[key] == nil {
			changes = append(changes, storeclient.Change{Entry: storeclient.Entry{Key: key, Revision: c.revision}, Deleted: true})
			delete(c.entries, key)
		}
	}
	return notify(changes, Origin{Kind: OriginGrace, Era: c.era})
}

// extendConfirmation restarts the time for writing entries again, because the store was lost in it.
func (c *Core) extendConfirmation(now time.Time) {
	if !c.confirmUntil.IsZero() {
		c.confirmUntil = now.Add(c.restoreGrace)
	}
}
