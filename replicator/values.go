package replicator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// Version is a version of a large value.
type Version struct {
	storeclient.Entry
	Era  storeclient.Era     // in which the revision counts; zero if its source names none
	Peer identifier.Instance // that has returned it; empty for the store
}

// Value is a version of a large value, with an earlier version of it as base if the replica still has the
// one that was asked for.
type Value struct {
	Version
	Base         []byte // nil if there is none
	BaseRevision uint64 // zero if there is none
}

// ValueSource fetches the values of references. It must be safe for concurrent use.
type ValueSource interface {
	// FetchValue returns the value of a reference, or a newer version of it in the same era. The version that the
	// replica holds is given as base; its Revision is zero if there is none.
	FetchValue(ctx context.Context, r Reference, base storeclient.Entry) (Version, error)
}

// ValueArrival reports how a value was fetched.
type ValueArrival struct {
	Entry storeclient.Entry
	Wait  time.Duration // since the replica learned that there is a newer version
}

// MissingValueError reports that the replica does not have the value of a key at a revision of an era or a later one.
type MissingValueError struct {
	Key      string
	Era      storeclient.Era
	Revision uint64
	IsGone   bool // the key does not exist
}

func (e *MissingValueError) Error() string {
	return fmt.Sprintf("replicator: the replica does not have key %q at revision %d of era %d or a later one", e.Key, e.Revision, e.Era)
}

// WatchReferences does what Watch does, but returns references in place of large values.
func (r *Replicator) WatchReferences(ctx context.Context, after uint64, wait time.Duration) (PeerChanges, error) {
	return r.watch(ctx, after, wait, func() (PeerChanges, bool) {
		changes, references, known := r.core.ReferencesSince(after)
		return PeerChanges{Changes: changes, References: references}, known
	})
}

// UpdateWithReferences does what UpdateSince does, but returns references to the values that this replica is
// missing itself.
func (r *Replicator) UpdateWithReferences(after uint64) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addContact(r.core.UpdateWithReferences(after))
}

// Value waits at most wait for the value of a reference or a newer version in the same era, and returns the newest
// that it has. It also waits for the era; that of a reference which names none is the replica's. Its error is
// *MissingValueError.
func (r *Replicator) Value(ctx context.Context, reference Reference, base uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	missing := &MissingValueError{Key: reference.Key, Era: reference.Era, Revision: reference.Revision}
	for {
		r.mu.Lock()
		answered, era := r.answered, r.core.Era()
		isEra := r.core.peerEra(reference.Era) == era
		e, newest := r.core.Entry(reference.Key)
		v := Value{Version: Version{Entry: e, Era: era}}
		if old, ok := r.versions.find(reference.Key, base); ok {
			v.Base, v.BaseRevision = old.Value, base
		}
		r.mu.Unlock()
		if isEra && e.Revision >= reference.Revision && e.Revision > 0 {
			return v, nil
		}
		missing.IsGone = isEra && newest == 0
		if missing.IsGone || reference.Era != 0 && reference.Era < era {
			return Value{}, missing
		}
		select {
		case <-answered:
		case <-ctx.Done():
			return Value{}, missing
		}
	}
}

// errNoValueSource reports that a peer has returned a reference although no source of values is configured.
var errNoValueSource = errors.New("replicator: there is no source of values")

// fetchValue fetches the value of a reference.
func (r *Replicator) fetchValue(ctx context.Context, a FetchValue) Event {
	r.mu.Lock()
	base, _ := r.core.Entry(a.Key)
	r.mu.Unlock()
	v, err := Version{}, errNoValueSource
	if r.cfg.Values != nil {
		v, err = r.cfg.Values.FetchValue(ctx, a.Reference, base)
	}
	line := r.cfg.Logger.Debug().Err(err).Str("key", a.Key).Uint64("revision", a.Revision).Int("size", a.Size).Dur("sinceReference", time.Since(a.Since))
	if err != nil {
		line.Int("failures", a.Failures+1).Msg("value of a reference not fetched; retrying after a delay")
		return ValueFailed{Number: a.Number, Key: a.Key}
	}
	line.Uint64("fetched", v.Revision).Uint64("era", uint64(v.Era)).Msg("value of a reference fetched")
	if r.cfg.OnValue != nil {
		r.cfg.OnValue(ValueArrival{Entry: v.Entry, Wait: time.Since(a.Since)})
	}
	return ValueFetched{Number: a.Number, Version: v}
}

// Bounds of the versions of large values that are kept as bases for differences.
const (
	maxVersions     = 8       // of one key; a follower is rarely more than three versions behind
	maxVersionBytes = 4 << 20 // of all keys; ten versions of 1,640 routes, 3% of the smallest instance's memory
)

// versions keeps the last versions of large values, with the newest. Its zero value is ready for use. It is not
// safe for concurrent use.
type versions struct {
	entries []storeclient.Entry // in the order in which they were applied
	bytes   int
}

// add keeps the large values among the changes of actions, and drops the oldest ones beyond the bounds and those of an
// earlier era. It
// returns whether actions notify of changes.
func (v *versions) add(actions []Action) bool {
	changed := false
	for _, a := range actions {
		if _, ok := a.(Restored); ok {
			v.entries, v.bytes = nil, 0 // their revisions may be given out again
		}
		n, ok := a.(NotifyChanges)
		changed = changed || ok
		for _, ch := range n.Changes {
			if ch.Deleted {
				v.drop(ch.Key)
			} else if len(ch.Value) > LargeSize {
				v.keep(ch.Entry)
			}
		}
	}
	return changed
}

func (v *versions) keep(e storeclient.Entry) {
	v.entries = append(v.entries, e)
	v.bytes += len(e.Value)
	count := 0
	for i := len(v.entries) - 1; i >= 0; i-- {
		if v.entries[i].Key != e.Key {
			continue
		}
		if count++; count > maxVersions {
			v.remove(i)
			break
		}
	}
	for v.bytes > maxVersionBytes {
		v.remove(v.oldestSpare())
	}
}

// oldestSpare returns the position of the oldest version of a key with more than two versions, or of the oldest
// version of all. A value that changes rarely thus keeps its base while another one changes often.
func (v *versions) oldestSpare() int {
	counts := map[string]int{}
	for _, e := range v.entries {
		counts[e.Key]++
	}
	return max(slices.IndexFunc(v.entries, func(e storeclient.Entry) bool { return counts[e.Key] > 2 }), 0)
}

// drop forgets all versions of a key.
func (v *versions) drop(key string) {
	for i := len(v.entries) - 1; i >= 0; i-- {
		if v.entries[i].Key == key {
			v.remove(i)
		}
	}
}

func (v *versions) remove(i int) {
	v.bytes -= len(v.entries[i].Value)
	v.entries = slices.Delete(v.entries, i, i+1)
}

// find returns the version of a key at a revision, or false if it is not kept.
func (v *versions) find(key string, revision uint64) (storeclient.Entry, bool) {
	i := slices.IndexFunc(v.entries, func(e storeclient.Entry) bool { return e.Key == key && e.Revision == revision })
	if i < 0 || revision == 0 {
		return storeclient.Entry{}, false
	}
	return v.entries[i], true
}
