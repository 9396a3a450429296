package auditor

import (
	"context"
	"errors"

	"amaranthmill/keeper"
)

// Page returns the page of that number. Its errors are *keeper.NotFoundError,
// *keeper.UnavailableError and *PageError.
func (t *Trail) Page(ctx context.Context, number uint64) (Page, error) {
	p, _, err := t.page(ctx, number)
	return p, err
}

// Last returns the last page, or the zero Page of an empty trail. Its errors are those of Page.
func (t *Trail) Last(ctx context.Context) (Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, err := t.end(ctx)
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

// exists reports whether there is a page of that number.
func (t *Trail) exists(ctx context.Context, number uint64) (bool, error) {
	_, err := t.cfg.Platform.Get(ctx, pageKey(number))
	var missing *keeper.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	return err == nil, err
}

// end reads the last two pages.
func (t *Trail) end(ctx context.Context) (end, error) {
	number, err := t.lastNumber(ctx)
	if err != nil || number == 0 {
		return end{}, err
	}
	var e end
	if e.page, e.revision, err = t.page(ctx, number); err != nil {
		return end{}, err
	}
	if number > 1 {
		if e.before, _, err = t.page(ctx, number-1); err != nil {
			return end{}, err
		}
	}
	t.hint = number
	return e, nil
}

// lastNumber finds the last page's number: by doubled steps from the page known last,
// then by halving. It is zero for an empty trail.
func (t *Trail) lastNumber(ctx context.Context) (uint64, error) {
	low := t.hint
	if low > 0 {
		ok, err := t.exists(ctx, low)
		if err != nil {
			return 0, err
		}
		if !ok {
			low = 0
		}
	}
	step := uint64(1)
	for {
		ok, err := t.exists(ctx, low+step)
		if err != nil {
			return 0, err
		}
		if !ok {
			break
		}
		low += step
		step *= 2
	}
	for high := low + step; high-low > 1; {
		middle := low + (high-low)/2
		ok, err := t.exists(ctx, middle)
		if err != nil {
			return 0, err
		}
		if ok {
			low = middle
		} else {
			high = middle
		}
	}
	return low, nil
}
