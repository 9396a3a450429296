package auditor

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// maxLostAnswers is the number of lost answers after which an append fails.
const maxLostAnswers = 3

// Platform is the part of the platform's key-value store that a Trail uses.
// storeclient.Client implements it.
type Platform interface {
	Get(ctx context.Context, key string) (storeclient.Entry, error)
	Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	Swap(ctx context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error)
}

// Config configures a Trail. Platform is required.
type Config struct {
	Platform Platform
	Instance identifier.Instance // recorded in every entry
	PageSize int                 // size limit of a page in bytes; default 64 KiB
	Now      func() time.Time    // default time.Now
}

// Trail appends to and reads the audit trail. It is safe for concurrent use.
type Trail struct {
	cfg Config

	mu         sync.Mutex
	knownPage  uint64 // number of an existing page, from which the search for the last one starts; zero if unknown
	newestSeen Entry  // the newest entry that this Trail has read or appended
}

// New returns a Trail for cfg. It makes no call.
func New(cfg Config) *Trail {
	if cfg.PageSize <= 0 {
		cfg.PageSize = maxPageSize
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Trail{cfg: cfg}
}

// Append adds r to the trail and returns its entry. If the last two pages already hold an
// entry with the same ID, Append returns that entry and adds nothing. A zero time or
// instance is filled in. The errors are *PageError, *storeclient.UnavailableError and
// *storeclient.UnknownError; after each, an append with the same ID is safe.
func (t *Trail) Append(ctx context.Context, r Record) (Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.At.IsZero() {
		r.At = t.cfg.Now()
	}
	if r.Instance == "" {
		r.Instance = t.cfg.Instance
	}
	r = withID(r)
	return t.retryAppend(ctx, r)
}

// retryAppend repeats the append until the trail holds r. After a conflict, and after a write
// whose answer was lost, it reads the end of the trail again and first searches it for r.
func (t *Trail) retryAppend(ctx context.Context, r Record) (Entry, error) {
	var unknown error // error of the last write whose answer was lost
	for lost := 0; lost < maxLostAnswers; {
		end, err := t.readEnd(ctx)
		if err != nil {
			return Entry{}, eris.Wrap(cmp.Or(unknown, err), "read the end of the audit trail")
		}
		t.recordSeen(end)
		if e, ok := end.find(r.ID); ok {
			return e, nil
		}
		added, err := t.add(ctx, end, r)
		switch {
		case err == nil:
			t.newestSeen = added
			return added, nil
		case errors.As(err, new(*storeclient.UnknownError)):
			unknown = err
			lost++
		case !errors.As(err, new(*storeclient.ConflictError)):
			return Entry{}, eris.Wrap(cmp.Or(unknown, err), "append to the audit trail")
		}
		if ctx.Err() != nil {
			var stopped error = &storeclient.UnavailableError{Call: "append", Cause: ctx.Err()}
			return Entry{}, eris.Wrap(cmp.Or(unknown, stopped), "append to the audit trail")
		}
	}
	return Entry{}, eris.Wrap(unknown, "append to the audit trail")
}

// add writes r after the end of the trail. If the trail was rewound, a record of that
// precedes r in the same write.
func (t *Trail) add(ctx context.Context, end trailEnd, r Record) (Entry, error) {
	last := end.lastPage.last()
	var added []Entry
	if rewind, ok := t.detectRewind(end); ok {
		added = append(added, chain(last, rewind))
		last = added[0]
	}
	entry := chain(last, r)
	added = append(added, entry)
	value, err := json.Marshal(Page{Number: end.lastPage.Number, Entries: append(end.lastPage.Entries, added...)})
	if err != nil {
		return Entry{}, err
	}
	if end.lastPage.Number > 0 && len(value) <= t.cfg.PageSize {
		_, err = t.cfg.Platform.Swap(ctx, pageKey(end.lastPage.Number), end.revision, value)
		return entry, err
	}
	next := Page{Number: end.lastPage.Number + 1, Entries: added}
	if value, err = json.Marshal(next); err != nil {
		return Entry{}, err
	}
	_, err = t.cfg.Platform.Create(ctx, pageKey(next.Number), value, "")
	return entry, err
}

// detectRewind returns a record with ActionRewound if the trail lacks the newest entry seen,
// for example because the platform's store was restored from an older backup.
func (t *Trail) detectRewind(end trailEnd) (Record, bool) {
	if t.newestSeen.Sequence == 0 {
		return Record{}, false
	}
	last := end.lastPage.last()
	if last.Sequence >= t.newestSeen.Sequence && t.holdsSeen(end) {
		return Record{}, false
	}
	return withID(Record{
		At: t.cfg.Now(), Actor: string(t.cfg.Instance), Instance: t.cfg.Instance, Action: ActionRewound,
		Detail: fmt.Sprintf("this instance saw entry %d with hash %s, which the trail lacks", t.newestSeen.Sequence, t.newestSeen.Hash),
	}), true
}

// holdsSeen reports whether the trail can still hold the newest entry seen: it is false only
// if the last two pages have another entry with the same sequence number.
func (t *Trail) holdsSeen(end trailEnd) bool {
	for _, p := range []Page{end.previousPage, end.lastPage} {
		for _, e := range p.Entries {
			if e.Sequence == t.newestSeen.Sequence {
				return e.Hash == t.newestSeen.Hash
			}
		}
	}
	return true
}

// recordSeen records the newest entry of the trail as seen, unless the trail lacks the entry
// seen before.
func (t *Trail) recordSeen(end trailEnd) {
	if last := end.lastPage.last(); last.Sequence > t.newestSeen.Sequence && t.holdsSeen(end) {
		t.newestSeen = last
	}
}
