package auditor

import (
	"context"
	"errors"

	"amaranthmill/storeclient"
)

// Page returns the page of that number. Its errors are *storeclient.NotFoundError,
// *storeclient.UnavailableError and *PageError.
func (t *Trail) Page(ctx context.Context, number uint64) (Page, error) {
	p, _, err := t.page(ctx, number)
	return p, err
}

// Last returns the last page, or the zero Page of an empty trail. Its errors are those of Page.
func (t *Trail) Last(ctx context.Context) (Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, err := t.end(ctx)
	if err == nil {
		t.see(e)
	}
	return e.page, err
}

func (t *Trail) page(ctx context.Context, number uint64) (Page, uint64, error) {
	entry, err := t.cfg.Platform.Get(ctx, pageKey(number))
	if err != nil {
		return Page{}, 0, err
	}
	p, err := decodePage(number, entry.Value)
	return p, entry.Revision, err
}

// end is the end of the trail: its last page and the one before.
type end struct {
	before, page Page // the zero Page where there is none
	revision     uint64
}

// find returns the entry with the identity id.
func (e end) find(id string) (Entry, bool) {
	if found, ok := e.page.find(id); ok {
		return found, true
	}
	return e.before.find(id)
}

// end reads the last two pages. It finds the last by doubled steps from the page known
// last, then by halving.
func (t *Trail) end(ctx context.Context) (end, error) {
	var e end
	if t.hint > 0 {
		if _, err := t.advance(ctx, &e, t.hint); err != nil {
			return end{}, err
		}
	}
	step := uint64(1)
	for {
		found, err := t.advance(ctx, &e, e.page.Number+step)
		if err != nil {
			return end{}, err
		}
		if !found {
			break
		}
		step *= 2
	}
	for high := e.page.Number + step; high-e.page.Number > 1; {
		middle := e.page.Number + (high-e.page.Number)/2
		found, err := t.advance(ctx, &e, middle)
		if err != nil {
			return end{}, err
		}
		if !found {
			high = middle
		}
	}
	t.hint = e.page.Number
	var err error
	if e.page.Number > 1 {
		e.before, _, err = t.page(ctx, e.page.Number-1)
	}
	return e, err
}

// advance sets e to the page of that number and reports whether there is one.
func (t *Trail) advance(ctx context.Context, e *end, number uint64) (bool, error) {
	p, revision, err := t.page(ctx, number)
	if errors.As(err, new(*storeclient.NotFoundError)) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	e.page, e.revision = p, revision
	return true, nil
}
