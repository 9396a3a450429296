package replicator

import (
	"cmp"
	"maps"
	"slices"

	"amaranthmill/keeper"
)

// Update is what a replica has beyond a revision that another one stands at.
type Update struct {
	Revision uint64 // that the replica stands at; zero if it has nothing newer
	Complete bool   // Entries are all of the replica rather than what changed
	Entries  []keeper.Change
}

func (n Update) snapshot() keeper.Snapshot {
	s := keeper.Snapshot{Revision: n.Revision}
	for _, ch := range n.Entries {
		if !ch.Deleted {
			s.Entries = append(s.Entries, ch.Entry)
		}
	}
	return s
}

// UpdateSince returns what the replica has beyond a revision: the changes if all of them are still
// known, and else everything.
func (c *Core) UpdateSince(after uint64) Update {
	if c.revision <= after {
		return Update{}
	}
	if changes, ok := c.ChangesSince(after); ok {
		return Update{Revision: changes.Revision, Entries: changes.Entries}
	}
	n := Update{Revision: c.revision, Complete: true}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		n.Entries = append(n.Entries, keeper.Change{Entry: c.entries[key]})
	}
	return n
}

// rememberedRemovals bounds the removals that are kept for peers that follow this replica.
const rememberedRemovals = 4096

// remember keeps a removal.
func (c *Core) remember(ch keeper.Change) {
	if len(c.removed) >= rememberedRemovals {
		c.floor = c.removed[0].Revision
		c.removed = slices.Delete(c.removed, 0, 1)
	}
	c.removed = append(c.removed, ch)
}

// ChangesSince returns the changes after a revision, sorted by revision, or false if some of them are not known any more.
func (c *Core) ChangesSince(after uint64) (keeper.Changes, bool) {
	if after < c.floor || !c.listed {
		return keeper.Changes{}, false
	}
	out := keeper.Changes{Revision: c.revision}
	for _, e := range c.entries {
		if e.Revision > after {
			out.Entries = append(out.Entries, keeper.Change{Entry: e})
		}
	}
	for _, ch := range c.removed {
		if ch.Revision > after {
			out.Entries = append(out.Entries, ch)
		}
	}
	slices.SortFunc(out.Entries, func(a, b keeper.Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return out, true
}
