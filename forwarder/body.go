package forwarder

import (
	"cmp"
	"net/http"
	"time"

	"amaranthmill/evictor"
	"amaranthmill/internal/bodyreader"
)

// readBody reads the complete body, which must have arrived by until unless that is zero. The account holds its memory until it is released;
// it is nil without a body. The error may be *http.MaxBytesError, *bodyreader.TimeoutError, *StoppingError, *evictor.FullError or
// *evictor.EvictedError.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, until time.Time) ([]byte, *evictor.Account, error) {
	if r.ContentLength == 0 {
		return nil, nil, f.checkStop()
	}
	limit := int64(defaultBodyLimit)
	if c := f.cfg.Resolver.Configuration(); c != nil && c.Limits.BodyBytes > 0 {
		limit = c.Limits.BodyBytes
	}
	size := limit
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	b := bodyreader.New(w, r, until)
	if size > limit {
		b.Abandon()
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	f.addBody(b)
	account := f.cfg.Memory.Open(b.End)
	body, err := b.Read(account, size, limit)
	f.removeBody(b)
	if err := cmp.Or(f.checkStop(), account.Complete(), err); err != nil {
		account.Release()
		if status, _ := refusalStatus(err); status == http.StatusBadRequest {
			b.End() // the caller has left, or what it sends is no body
		} else {
			b.Abandon()
		}
		return nil, nil, err
	}
	b.RemoveDeadline()
	return body, account, nil
}

// addBody adds a body that begins to arrive.
func (f *Forwarder) addBody(b *bodyreader.Body) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodies[b] = true
	b.SetDeadline(f.stop.AcceptUntil)
}

// removeBody removes a body of which no more is read.
func (f *Forwarder) removeBody(b *bodyreader.Body) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.bodies, b)
}
