package storeclient

import (
	"context"
	"time"
)

// defaultWatchWait is the default of the longest time for which the store holds one watch.
const defaultWatchWait = 30 * time.Second

// Change is an entry that was written or deleted.
type Change struct {
	Entry
	Deleted bool
}

// Changes is the result of a watch: the changes after the requested revision, and the revision
// from which to continue. A watch that times out has no entries.
type Changes struct {
	Entries  []Change
	Revision uint64
	Era      Era // in which Revision counts
}

// Watch waits up to Config.WatchWait for changes of the keys that begin with prefix after
// revision after. It makes one attempt and counts as one read. If the last call failed, Watch returns
// without waiting, because its answer shows that the store works again. Its errors
// are *CompactedError, if the store no longer holds that history, and *UnavailableError.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Changes, error) {
	if c.isFailing() {
		return c.Poll(ctx, prefix, after)
	}
	return c.watch(ctx, prefix, after, c.cfg.WatchWait)
}

// Poll returns the changes of the keys that begin with prefix after revision after, as Watch does, without
// waiting for any.
func (c *Client) Poll(ctx context.Context, prefix string, after uint64) (Changes, error) {
	return c.watch(ctx, prefix, after, 0)
}

// watch lets the store hold the call for at most wait.
func (c *Client) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	call := Call{Operation: OperationWatch, Key: prefix, Revision: after, Wait: wait}
	a, err := c.attempt(ctx, call)
	if err != nil {
		return Changes{}, err
	}
	if a.Result == ResultCompacted {
		return Changes{}, &CompactedError{Prefix: prefix, Revision: after}
	}
	if a.Result != ResultOK {
		return Changes{}, unexpectedAnswer(call, a)
	}
	changes := Changes{Revision: a.Revision, Era: a.era}
	for _, e := range a.Entries {
		changes.Entries = append(changes.Entries, Change{Entry: e.entry(), Deleted: e.Deleted})
	}
	return changes, nil
}
