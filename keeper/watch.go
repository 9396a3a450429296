package keeper

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// watchWait is the longest that the service holds one watch.
const watchWait = 30 * time.Second

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

// Watch waits up to 30 s for changes of the keys that begin with prefix after revision
// after. It makes one attempt and counts as one read. While the circuit is open it does
// not wait, since it may be the trial call that others depend on. Its error is *UnavailableError.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Changes, error) {
	wait := watchWait
	if c.circuitOpen() {
		wait = 0
	}
	r := request{
		kind: "watch", key: prefix, method: http.MethodGet, path: "/watch", extra: wait,
		query: url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}},
	}
	a, err := c.try(ctx, r)
	if err != nil {
		return Changes{}, err
	}
	var wire entriesWire
	if err := a.decode(&wire); err != nil || a.status != http.StatusOK {
		return Changes{}, unexpected(r, a, err)
	}
	changes := Changes{Revision: wire.Revision}
	for _, e := range wire.Entries {
		changes.Entries = append(changes.Entries, Change{Entry: e.entry(), Deleted: e.Deleted})
	}
	return changes, nil
}
