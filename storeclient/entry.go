package storeclient

import "context"

// Entry is one key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // of the key's last write
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
func (c *Client) get(ctx context.Context, key string, atLeast uint64) (StoredEntry, error) {
	call := Call{Operation: OperationGet, Key: key}
	for attempt := range c.cfg.Attempts {
		if attempt > 0 && c.pause(ctx, attempt) != nil {
			break
		}
		a, _, err := c.retry(ctx, call)
		if err != nil {
			return StoredEntry{}, err
		}
		if a.Result == ResultNotFound {
			return StoredEntry{}, &NotFoundError{Key: key}
		}
		if a.Result != ResultOK || len(a.Entries) != 1 {
			return StoredEntry{}, unexpected(call, a)
		}
		if a.Entries[0].Revision >= atLeast {
			return a.Entries[0], nil
		}
	}
	return StoredEntry{}, &UnavailableError{Call: OperationGet, Cause: &StaleError{Key: key, Revision: atLeast}}
}

// Create stores value under key if there is none. With a lease other than "", the key
// goes when the lease lapses. Its errors are *ConflictError, *UnavailableError,
// *UnknownError and, for a lapsed lease, *NotFoundError. An *UnknownError with a
// *ConflictError as its cause says that another writer's value stands now, and that this write
// may have stood before it.
func (c *Client) Create(ctx context.Context, key string, value []byte, lease LeaseID) (Entry, error) {
	return c.put(ctx, OperationCreate, key, 0, value, lease)
}

// Swap replaces the value of key if its last write is revision. The key loses the lease
// that it may have had. Its errors are those of Create.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error) {
	return c.put(ctx, OperationSwap, key, revision, value, "")
}

// SwapLeased is Swap for a key that is to go when lease lapses.
func (c *Client) SwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error) {
	return c.put(ctx, OperationSwap, key, revision, value, lease)
}

// put writes value under key if the key is at revision, and settles a lost answer.
func (c *Client) put(ctx context.Context, op Operation, key string, revision uint64, value []byte, lease LeaseID) (Entry, error) {
	name := c.writeName()
	call := Call{Operation: op, Key: key, Revision: revision, Value: seal(name, value), Lease: lease}
	a, unsure, err := c.retry(ctx, call)
	if err != nil {
		return Entry{}, err
	}
	switch {
	case a.Result == ResultOK:
		return Entry{Key: key, Value: value, Revision: a.Revision}, nil
	case a.Result == ResultNotFound:
		return Entry{}, &NotFoundError{Key: key}
	case a.Result == ResultNoLease:
		return Entry{}, &NotFoundError{Key: string(lease)}
	case a.Result != ResultConflict:
		return Entry{}, unexpected(call, a)
	case !unsure:
		return Entry{}, &ConflictError{Key: key, Revision: a.Revision}
	}
	return c.readBack(ctx, call, name, a.Revision)
}

// readBack settles a write whose first answer was lost and whose repetition met a
// conflict at revision: the conflict is either the write itself or another writer. In
// the second case the write may have taken effect before the other one replaced it.
func (c *Client) readBack(ctx context.Context, call Call, name string, revision uint64) (Entry, error) {
	stored, err := c.get(ctx, call.Key, revision)
	if err != nil {
		return Entry{}, &UnknownError{Call: call.Operation, Key: call.Key, Cause: err}
	}
	if writer, _ := open(stored.Value); writer != name {
		conflict := &ConflictError{Key: call.Key, Revision: stored.Revision}
		return Entry{}, &UnknownError{Call: call.Operation, Key: call.Key, Cause: conflict}
	}
	return stored.entry(), nil
}

// Delete removes key if its last write is revision. Its errors are *NotFoundError,
// *ConflictError, *UnavailableError and *UnknownError.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	call := Call{Operation: OperationDelete, Key: key, Revision: revision}
	a, unsure, err := c.retry(ctx, call)
	if err != nil {
		return err
	}
	switch a.Result {
	case ResultOK:
		return nil
	case ResultNotFound:
		if unsure {
			return nil
		}
		return &NotFoundError{Key: key}
	case ResultConflict:
		return &ConflictError{Key: key, Revision: a.Revision}
	}
	return unexpected(call, a)
}

// List returns the entries whose keys begin with prefix, as the service orders them. Its error is *UnavailableError.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	s, err := c.Snapshot(ctx, prefix)
	return s.Entries, err
}

// Snapshot is the entries below a prefix. Pages of one list are read one after another:
// a watch after Revision tells of every later change, some of which Entries may have already.
type Snapshot struct {
	Entries  []Entry
	Revision uint64 // of the service at the first page; zero if it names none
}

// Snapshot returns the entries whose keys begin with prefix and the revision to watch after. Its error is *UnavailableError.
func (c *Client) Snapshot(ctx context.Context, prefix string) (Snapshot, error) {
	var s Snapshot
	call := Call{Operation: OperationList, Key: prefix}
	for {
		a, _, err := c.retry(ctx, call)
		if err != nil {
			return Snapshot{}, err
		}
		if a.Result != ResultOK {
			return Snapshot{}, unexpected(call, a)
		}
		if call.After == "" {
			s.Revision = a.Revision
		}
		for _, e := range a.Entries {
			s.Entries = append(s.Entries, e.entry())
			call.After = e.Key
		}
		if !a.HasMore || len(a.Entries) == 0 {
			return s, nil
		}
	}
}
