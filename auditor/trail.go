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

// lostAnswers bounds the lost answers after which an append gives up.
const lostAnswers = 3

// Platform is the part of the platform's service that a Trail uses. storeclient.Client is one.
type Platform interface {
	Get(ctx context.Context, key string) (storeclient.Entry, error)
	Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	Swap(ctx context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error)
}

// Config configures a Trail. Platform is required.
type Config struct {
	Platform Platform
	Instance identifier.Instance // named in every entry
	PageSize int                 // the size in bytes at which a page is full; default 64 KiB
	Now      func() time.Time    // default time.Now
}

// Trail appends to and reads the audit trail. It is safe for concurrent use.
type Trail struct {
	cfg Config

	mu   sync.Mutex
	hint uint64 // a page that exists, or zero
	seen Entry  // the newest entry seen
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

// Append adds r to the trail and returns its entry. A record whose ID stands in the last
// two pages already is not added again. The time and the instance are filled in if they
// are zero. The errors are *PageError, *storeclient.UnavailableError and
// *storeclient.UnknownError; an append of the same ID is safe after each.
func (t *Trail) Append(ctx context.Context, r Record) (Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.At.IsZero() {
		r.At = t.cfg.Now()
	}
	if r.Instance == "" {
		r.Instance = t.cfg.Instance
	}
	r = identified(r)
	return t.settle(ctx, r)
}

// settle adds r until it stands in the trail. After a conflict, and after a write whose
// answer was lost, it reads the end again and looks for r there first.
func (t *Trail) settle(ctx context.Context, r Record) (Entry, error) {
	var unknown error // a write whose answer was lost
	for lost := 0; lost < lostAnswers; {
		end, err := t.end(ctx)
		if err != nil {
			return Entry{}, eris.Wrap(cmp.Or(unknown, err), "read the end of the audit trail")
		}
		t.see(end)
		if e, ok := end.find(r.ID); ok {
			return e, nil
		}
		added, err := t.add(ctx, end, r)
		switch {
		case err == nil:
			t.seen = added
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

// add writes r after the trail's end, behind a note of a rewound trail if there is need.
func (t *Trail) add(ctx context.Context, at end, r Record) (Entry, error) {
	last := at.page.last()
	var added []Entry
	if note, ok := t.rewound(at); ok {
		added = append(added, chain(last, note))
		last = added[0]
	}
	entry := chain(last, r)
	added = append(added, entry)
	value, err := json.Marshal(Page{Number: at.page.Number, Entries: append(at.page.Entries, added...)})
	if err != nil {
		return Entry{}, err
	}
	if at.page.Number > 0 && len(value) <= t.cfg.PageSize {
		_, err = t.cfg.Platform.Swap(ctx, pageKey(at.page.Number), at.revision, value)
		return entry, err
	}
	next := Page{Number: at.page.Number + 1, Entries: added}
	if value, err = json.Marshal(next); err != nil {
		return Entry{}, err
	}
	_, err = t.cfg.Platform.Create(ctx, pageKey(next.Number), value, "")
	return entry, err
}

// rewound returns the note to be kept if the trail lacks the newest entry seen.
func (t *Trail) rewound(at end) (Record, bool) {
	if t.seen.Sequence == 0 {
		return Record{}, false
	}
	last := at.page.last()
	if last.Sequence >= t.seen.Sequence && t.holdsSeen(at) {
		return Record{}, false
	}
	return identified(Record{
		At: t.cfg.Now(), Actor: string(t.cfg.Instance), Instance: t.cfg.Instance, Action: ActionRewound,
		Detail: fmt.Sprintf("this instance saw entry %d with hash %s, which the trail lacks", t.seen.Sequence, t.seen.Hash),
	}), true
}

// holdsSeen reports whether the newest entry seen is in the end, or before it.
func (t *Trail) holdsSeen(at end) bool {
	for _, p := range []Page{at.before, at.page} {
		for _, e := range p.Entries {
			if e.Sequence == t.seen.Sequence {
				return e.Hash == t.seen.Hash
			}
		}
	}
	return true
}

// see keeps the newest entry of the trail if the trail still has the one seen before.
func (t *Trail) see(at end) {
	if last := at.page.last(); last.Sequence > t.seen.Sequence && t.holdsSeen(at) {
		t.seen = last
	}
}
