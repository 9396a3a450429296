package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// Update is what a replica holds beyond the revision of another replica.
type Update struct {
	Peer        identifier.Instance // that has returned it
	Era         storeclient.Era     // in which the revisions count
	Revision    uint64              // of the replica; zero if it has nothing newer
	Complete    bool                // Entries is the complete replica rather than the changes
	IsInContact bool                // the store answers the replica
	ContactTime time.Duration       // for which it has answered the replica, or peers of which that knows, without interruption until its last answer to the replica
	AnswerAge   time.Duration       // since that answer
	Entries     []storeclient.Change
	References  []Reference // to values that the replica itself is missing; nil for a peer that does not know references
}

func (u Update) snapshot() storeclient.Snapshot {
	s := storeclient.Snapshot{Revision: u.Revision}
	for _, ch := range u.Entries {
		if !ch.Deleted {
			s.Entries = append(s.Entries, ch.Entry)
		}
	}
	return s
}

// UpdateSince returns what the replica holds beyond a revision: the changes if all of them are
// still known, and otherwise the complete replica. Its Revision lies before the first value that is missing, so
// that the receiver does not skip that value.
func (c *Core) UpdateSince(after uint64) Update {
	if c.completeRevision() <= after {
		return Update{Era: c.era}
	}
	if changes, ok := c.ChangesSince(after); ok {
		return Update{Era: c.era, Revision: changes.Revision, Entries: changes.Entries}
	}
	return c.completeUpdate()
}

// completeUpdate returns the complete replica, without the entries that a restored store lacks.
func (c *Core) completeUpdate() Update {
	u := Update{Era: c.era, Revision: c.completeRevision(), Complete: true}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[key]; !isUnconfirmed(e) {
			u.Entries = append(u.Entries, storeclient.Change{Entry: e})
		}
	}
	return u
}

// maxRemovals bounds the number of removals that are kept for peers that follow this replica.
const maxRemovals = 4096

// recordRemoval keeps a removal and drops the oldest one beyond maxRemovals.
func (c *Core) recordRemoval(ch storeclient.Change) {
	if len(c.removed) >= maxRemovals {
		c.removalFloor = c.removed[0].Revision
		c.removed = slices.Delete(c.removed, 0, 1)
	}
	c.removed = append(c.removed, ch)
}

// maxGaps bounds the number of gaps that are kept.
const maxGaps = 32

// gap is an interval of revisions that the replica has passed by a list. A key that was written and removed within it
// is in neither of the lists, so that the replica does not know the removal. A follower that was strictly within it
// may have the key.
type gap struct {
	from, to uint64
}

// recordGap keeps the gap from the revision of the replica to that of a list, and drops the oldest one beyond maxGaps.
func (c *Core) recordGap(listed uint64) {
	if listed <= c.revision+1 {
		return
	}
	if len(c.gaps) >= maxGaps {
		c.removalFloor = max(c.removalFloor, c.gaps[0].to)
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
	c.gaps = append(c.gaps, gap{from: c.revision, to: listed})
}

// isInGap reports whether a revision lies strictly within a gap.
func (c *Core) isInGap(revision uint64) bool {
	return slices.ContainsFunc(c.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}

// ChangesSince returns the changes after a revision, sorted by revision, or false if the replica no
// longer knows all of them. Their Revision lies before the first value that is missing, so that a follower
// asks for that value again. Writes after it are included, because none of them waits for another one. Removals are
// not: a follower that went over to a replica of a lower revision would get the entry again.
func (c *Core) ChangesSince(after uint64) (storeclient.Changes, bool) {
	out, ok := c.allChangesSince(after)
	out.Revision = min(out.Revision, c.completeRevision())
	out.Entries = slices.DeleteFunc(out.Entries, func(ch storeclient.Change) bool { return ch.Deleted && ch.Revision > out.Revision })
	return out, ok
}

// allChangesSince returns all changes after a revision with the replica's revision, or false if the replica no longer
// knows all of them.
func (c *Core) allChangesSince(after uint64) (storeclient.Changes, bool) {
	if after < c.removalFloor || !c.listed || c.isInGap(after) {
		return storeclient.Changes{}, false
	}
	out := storeclient.Changes{Revision: c.revision, Era: c.era}
	for _, e := range c.entries {
		if e.Revision > after {
			out.Entries = append(out.Entries, storeclient.Change{Entry: e})
		}
	}
	for _, ch := range c.removed {
		if ch.Revision > after {
			out.Entries = append(out.Entries, ch)
		}
	}
	slices.SortFunc(out.Entries, func(a, b storeclient.Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return out, true
}
