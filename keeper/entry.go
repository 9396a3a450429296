package keeper

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// Entry is one key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // of the key's last write
}

// entryWire is an entry as the service sends it.
type entryWire struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

// entriesWire is the answer to a list or a watch.
type entriesWire struct {
	Entries  []entryWire `json:"entries"`
	Revision uint64      `json:"revision"`
}

// writeWire is the body of a write.
type writeWire struct {
	Value []byte  `json:"value"`
	Lease LeaseID `json:"lease,omitempty"`
}

// revisionWire is the answer to a write, and to one that met a conflict.
type revisionWire struct {
	Revision uint64 `json:"revision"`
}

// entry returns e as the callers see it.
func (e entryWire) entry() Entry {
	_, value := open(e.Value)
	return Entry{Key: e.Key, Value: value, Revision: e.Revision}
}

// Get returns the entry of key. Its errors are *NotFoundError and *UnavailableError.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	stored, err := c.get(ctx, key, 0)
	if err != nil {
		return Entry{}, err
	}
	return stored.entry(), nil
}

// get returns key as stored. An answer older than revision atLeast is stale and is asked for again.
func (c *Client) get(ctx context.Context, key string, atLeast uint64) (entryWire, error) {
	r := request{kind: "get", key: key, method: http.MethodGet, path: "/kv/" + key}
	for attempt := range c.cfg.Attempts {
		if attempt > 0 && c.pause(ctx, attempt) != nil {
			break
		}
		a, _, err := c.retry(ctx, r)
		if err != nil {
			return entryWire{}, err
		}
		if a.status == http.StatusNotFound {
			return entryWire{}, &NotFoundError{Key: key}
		}
		var e entryWire
		if err := a.decode(&e); err != nil || a.status != http.StatusOK {
			return entryWire{}, unexpected(r, a, err)
		}
		if e.Revision >= atLeast {
			return e, nil
		}
	}
	return entryWire{}, &UnavailableError{Call: "get", Cause: &StaleError{Key: key, Revision: atLeast}}
}

// Create stores value under key if there is none. With a lease other than "", the key
// goes when the lease lapses. Its errors are *ConflictError, *UnavailableError,
// *UnknownError and, for a lapsed lease, *NotFoundError. An *UnknownError with a
// *ConflictError as its cause says that another writer's value stands now, and that this write
// may have stood before it.
func (c *Client) Create(ctx context.Context, key string, value []byte, lease LeaseID) (Entry, error) {
	return c.put(ctx, "create", key, 0, value, lease)
}

// Swap replaces the value of key if its last write is revision. The key loses the lease
// that it may have had. Its errors are those of Create.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error) {
	return c.put(ctx, "swap", key, revision, value, "")
}

// SwapLeased is Swap for a key that is to go when lease lapses.
func (c *Client) SwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error) {
	return c.put(ctx, "swap", key, revision, value, lease)
}

// put writes value under key if the key is at revision, and settles a lost answer.
func (c *Client) put(ctx context.Context, kind, key string, revision uint64, value []byte, lease LeaseID) (Entry, error) {
	name := c.writeName()
	r := request{
		kind: kind, key: key, method: http.MethodPut, path: "/kv/" + key, query: atRevision(revision), write: true,
		body: writeWire{Value: seal(name, value), Lease: lease},
	}
	a, unsure, err := c.retry(ctx, r)
	if err != nil {
		return Entry{}, err
	}
	var rev revisionWire
	switch a.status {
	case http.StatusOK, http.StatusConflict:
		if err := a.decode(&rev); err != nil {
			return Entry{}, unexpected(r, a, err)
		}
	case http.StatusNotFound:
		return Entry{}, &NotFoundError{Key: key}
	default:
		return Entry{}, unexpected(r, a, nil)
	}
	if a.status == http.StatusOK {
		return Entry{Key: key, Value: value, Revision: rev.Revision}, nil
	}
	if rev.Revision == revision && lease != "" {
		return Entry{}, &NotFoundError{Key: string(lease)}
	}
	if !unsure {
		return Entry{}, &ConflictError{Key: key, Revision: rev.Revision}
	}
	return c.readBack(ctx, r, name, rev.Revision)
}

// readBack settles a write whose first answer was lost and whose repetition met a
// conflict at revision: the conflict is either the write itself or another writer. In
// the second case the write may have taken effect before the other one replaced it.
func (c *Client) readBack(ctx context.Context, r request, name string, revision uint64) (Entry, error) {
	stored, err := c.get(ctx, r.key, revision)
	if err != nil {
		return Entry{}, &UnknownError{Call: r.kind, Key: r.key, Cause: err}
	}
	if writer, _ := open(stored.Value); writer != name {
		conflict := &ConflictError{Key: r.key, Revision: stored.Revision}
		return Entry{}, &UnknownError{Call: r.kind, Key: r.key, Cause: conflict}
	}
	return stored.entry(), nil
}

// Delete removes key if its last write is revision. Its errors are *NotFoundError,
// *ConflictError, *UnavailableError and *UnknownError.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	r := request{kind: "delete", key: key, method: http.MethodDelete, path: "/kv/" + key, query: atRevision(revision), write: true}
	a, unsure, err := c.retry(ctx, r)
	if err != nil {
		return err
	}
	switch a.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		if unsure {
			return nil
		}
		return &NotFoundError{Key: key}
	case http.StatusConflict:
		var rev revisionWire
		_ = a.decode(&rev) // the revision is for the reader of the error only
		return &ConflictError{Key: key, Revision: rev.Revision}
	}
	return unexpected(r, a, nil)
}

// List returns the entries whose keys begin with prefix, as the service orders them. Its error is *UnavailableError.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	r := request{kind: "list", key: prefix, method: http.MethodGet, path: "/kv", query: url.Values{"prefix": {prefix}}}
	a, _, err := c.retry(ctx, r)
	if err != nil {
		return nil, err
	}
	var wire entriesWire
	if err := a.decode(&wire); err != nil || a.status != http.StatusOK {
		return nil, unexpected(r, a, err)
	}
	entries := make([]Entry, len(wire.Entries))
	for i, e := range wire.Entries {
		entries[i] = e.entry()
	}
	return entries, nil
}

// atRevision is the query of a write conditional on revision.
func atRevision(revision uint64) url.Values {
	return url.Values{"revision": {strconv.FormatUint(revision, 10)}}
}
