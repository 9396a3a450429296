package storeclient

import (
	"context"
	"time"
)

// defaultWatchWait is how long the service holds one watch at most.
const defaultWatchWait = 30 * time.Second

// Change is an entry that was written or deleted.
type Change struct {
	Entry
	Deleted bool
}

// Changes is what a watch found: the changes after the revision asked for, and the
// revision to ask after next. A watch that waited in vain has no entries.
type Changes struct {
	Entries  []Change
	Revision uint64
}

// Watch waits up to Config.WatchWait for changes of the keys that begin with prefix after
// revision after. It makes one attempt and counts as one read. While the circuit is open it
// does not wait, since it may be the trial call that others depend on. Its errors are
// *CompactedError if that history is gone, and *UnavailableError.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Changes, error) {
	wait := c.cfg.WatchWait
	if c.circuitOpen() {
		wait = 0
	}
	call := Call{Operation: OperationWatch, Key: prefix, Revision: after, Wait: wait}
	a, err := c.try(ctx, call)
	if err != nil {
		return Changes{}, err
	}
	if a.Result == ResultCompacted {
		return Changes{}, &CompactedError{Prefix: prefix, Revision: after}
	}
	if a.Result != ResultOK {
		return Changes{}, unexpected(call, a)
	}
	changes := Changes{Revision: a.Revision}
	for _, e := range a.Entries {
		changes.Entries = append(changes.Entries, Change{Entry: e.entry(), Deleted: e.Deleted})
	}
	return changes, nil
}
