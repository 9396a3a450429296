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
	stored, _, err := c.get(ctx, key, 0)
	if err != nil {
		return Entry{}, err
	}
	return stored.entry(), nil
}

// GetAtLeast returns the entry of key at a revision of an era or a later one. Its errors are *NotFoundError and
// *UnavailableError, whose cause is *StaleError if the store returned an older one, and *EndedEraError if it is in another era.
func (c *Client) GetAtLeast(ctx context.Context, key string, era Era, revision uint64) (Entry, error) {
	stored, answered, err := c.get(ctx, key, revision)
	if err != nil {
		return Entry{}, err
	}
	if answered != era {
		return Entry{}, &UnavailableError{Call: OperationGet, Cause: &EndedEraError{Era: era, Known: answered}}
	}
	return stored.entry(), nil
}

// get returns key as stored, and the era of the answer. It repeats the read if the answer is stale, that is, older than
// revision atLeast.
func (c *Client) get(ctx context.Context, key string, atLeast uint64) (StoredEntry, Era, error) {
	call := Call{Operation: OperationGet, Key: key}
	for attempt := range c.cfg.Attempts {
		if attempt > 0 && c.backOff(ctx, attempt) != nil {
			break
		}
		a, _, err := c.callWithRetries(ctx, call)
		if err != nil {
			return StoredEntry{}, 0, err
		}
		if a.Result == ResultNotFound {
			return StoredEntry{}, 0, &NotFoundError{Key: key}
		}
		if a.Result != ResultOK || len(a.Entries) != 1 {
			return StoredEntry{}, 0, unexpectedAnswer(call, a)
		}
		if a.Entries[0].Revision >= atLeast {
			return a.Entries[0], a.era, nil
		}
	}
	return StoredEntry{}, 0, &UnavailableError{Call: OperationGet, Cause: &StaleError{Key: key, Revision: atLeast}}
}

// Create stores value under key if the key does not exist. With a lease other than "", the key
// is deleted when the lease expires. Its errors are *ConflictError, *UnavailableError,
// *UnknownError and, for an expired lease, *NotFoundError. An *UnknownError with a *ConflictError
// as its cause means that the key now holds another writer's value, and that this write may have
// taken effect before.
func (c *Client) Create(ctx context.Context, key string, value []byte, lease LeaseID) (Entry, error) {
	return c.put(ctx, OperationCreate, key, 0, value, lease)
}

// Swap replaces the value of key if its last write has the given revision. The key is detached from
// its lease if it had one. Its errors are those of Create.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error) {
	return c.put(ctx, OperationSwap, key, revision, value, "")
}

// SwapLeased is Swap with a lease: the key is deleted when the lease expires.
func (c *Client) SwapLeased(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error) {
	return c.put(ctx, OperationSwap, key, revision, value, lease)
}

// put writes value under key if the key is at revision. If an answer was lost, put resolves the
// outcome by reading the key back.
func (c *Client) put(ctx context.Context, op Operation, key string, revision uint64, value []byte, lease LeaseID) (Entry, error) {
	name := c.newWriteName()
	call := Call{Operation: op, Key: key, Revision: revision, Era: c.Era(), Value: addWriteName(name, value)}
	if lease != "" {
		call.Lease, call.Era = splitLease(lease)
	}
	a, mayHaveApplied, err := c.callWithRetries(ctx, call)
	if isEnded(err) && !mayHaveApplied && lease != "" {
		return Entry{}, &NotFoundError{Key: string(lease)}
	}
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
		return Entry{}, unexpectedAnswer(call, a)
	case !mayHaveApplied:
		return Entry{}, &ConflictError{Key: key, Revision: a.Revision}
	}
	return c.readBack(ctx, call, name, a.Revision)
}

// readBack resolves the outcome of a write whose first answer was lost and whose retry met a
// conflict at revision. The conflict is either with the write itself or with another writer. In the
// second case, the write may have taken effect before the other one replaced its value.
func (c *Client) readBack(ctx context.Context, call Call, name string, revision uint64) (Entry, error) {
	stored, _, err := c.get(ctx, call.Key, revision)
	if err != nil {
		return Entry{}, &UnknownError{Call: call.Operation, Key: call.Key, Cause: err}
	}
	if writer, _ := splitWriteName(stored.Value); writer != name {
		conflict := &ConflictError{Key: call.Key, Revision: stored.Revision}
		return Entry{}, &UnknownError{Call: call.Operation, Key: call.Key, Cause: conflict}
	}
	return stored.entry(), nil
}

// Delete removes key if its last write has the given revision. Its errors are *NotFoundError,
// *ConflictError, *UnavailableError and *UnknownError.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	call := Call{Operation: OperationDelete, Key: key, Revision: revision, Era: c.Era()}
	a, mayHaveApplied, err := c.callWithRetries(ctx, call)
	if err != nil {
		return err
	}
	switch a.Result {
	case ResultOK:
		return nil
	case ResultNotFound:
		if mayHaveApplied {
			return nil
		}
		return &NotFoundError{Key: key}
	case ResultConflict:
		return &ConflictError{Key: key, Revision: a.Revision}
	}
	return unexpectedAnswer(call, a)
}

// List returns the entries whose keys begin with prefix, in the order of the store. Its error is *UnavailableError.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	s, err := c.Snapshot(ctx, prefix)
	return s.Entries, err
}

// Snapshot holds the entries below a prefix. The pages of one list are read one after another, so
// a watch after Revision returns every later change, including changes that Entries may already
// contain.
type Snapshot struct {
	Entries  []Entry
	Revision uint64 // revision of the store at the first page; zero if the store reports none
	Era      Era    // in which Revision counts
}

// Snapshot returns the entries whose keys begin with prefix and the revision to watch after. Its error is *UnavailableError.
func (c *Client) Snapshot(ctx context.Context, prefix string) (Snapshot, error) {
	var s Snapshot
	call := Call{Operation: OperationList, Key: prefix}
	for {
		a, _, err := c.callWithRetries(ctx, call)
		if err != nil {
			return Snapshot{}, err
		}
		if a.Result != ResultOK {
			return Snapshot{}, unexpectedAnswer(call, a)
		}
		if call.After == "" {
			s.Revision, s.Era = a.Revision, a.era
		}
		if a.era != s.Era {
			return Snapshot{}, &UnavailableError{Call: call.Operation, Cause: &EndedEraError{Era: s.Era, Known: a.era}}
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
