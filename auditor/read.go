package auditor

import (
	"context"
	"errors"

	"amaranthmill/storeclient"
)

// Page returns the page with the given number. Its errors are *storeclient.NotFoundError,
// *storeclient.UnavailableError and *PageError.
func (t *Trail) Page(ctx context.Context, number uint64) (Page, error) {
	p, _, err := t.readPage(ctx, number)
	return p, err
}

// Last returns the last page, or the zero Page of an empty trail. Its errors are those of Page.
func (t *Trail) Last(ctx context.Context) (Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, err := t.readEnd(ctx)
	if err == nil {
		t.recordSeen(e)
	}
	return e.lastPage, err
}

func (t *Trail) readPage(ctx context.Context, number uint64) (Page, uint64, error) {
	entry, err := t.cfg.Platform.Get(ctx, pageKey(number))
	if err != nil {
		return Page{}, 0, err
	}
	p, err := decodePage(number, entry.Value)
	return p, entry.Revision, err
}

// trailEnd is the end of the trail: its last page and the previous one.
type trailEnd struct {
	previousPage, lastPage Page // the zero Page if there is none
	revision               uint64
}

// find returns the entry with the given ID.
func (e trailEnd) find(id string) (Entry, bool) {
	if found, ok := e.lastPage.find(id); ok {
		return found, true
	}
	return e.previousPage.find(id)
}

// readEnd reads the last two pages. It finds the last one by exponential search from
// t.knownPage, followed by binary search.
func (t *Trail) readEnd(ctx context.Context) (trailEnd, error) {
	var e trailEnd
	if t.knownPage > 0 {
		if _, err := t.advance(ctx, &e, t.knownPage); err != nil {
			return trailEnd{}, err
		}
	}
	step := uint64(1)
	for {
		found, err := t.advance(ctx, &e, e.lastPage.Number+step)
		if err != nil {
			return trailEnd{}, err
		}
		if !found {
			break
		}
		step *= 2
	}
	for high := e.lastPage.Number + step; high-e.lastPage.Number > 1; {
		middle := e.lastPage.Number + (high-e.lastPage.Number)/2
		found, err := t.advance(ctx, &e, middle)
		if err != nil {
			return trailEnd{}, err
		}
		if !found {
			high = middle
		}
	}
	t.knownPage = e.lastPage.Number
	var err error
	if e.lastPage.Number > 1 {
		e.previousPage, _, err = t.readPage(ctx, e.lastPage.Number-1)
	}
	return e, err
}

// advance sets e.lastPage to the page with the given number and reports whether the page exists.
func (t *Trail) advance(ctx context.Context, e *trailEnd, number uint64) (bool, error) {
	p, revision, err := t.readPage(ctx, number)
	if errors.As(err, new(*storeclient.NotFoundError)) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	e.lastPage, e.revision = p, revision
	return true, nil
}
