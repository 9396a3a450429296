package forwarder

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"amaranthmill/evictor"
)

// firstBodyBuffer is the size of the first buffer of a body in bytes.
const firstBodyBuffer = 4 << 10

// past is a deadline that makes reads fail at once.
var past = time.Unix(1, 0)

// arrivingBody is the body of a request that has not arrived completely.
type arrivingBody struct {
	controller *http.ResponseController
	until      time.Time // by which it must have arrived; zero for no bound

	mu          sync.Mutex // guards the fields below
	hasDeadline bool
	isEnded     bool // no more is read
}

// setDeadline sets when reading the body fails: at the time by which it must have arrived, or before that when the instance that stops
// takes no more. Zero times set no bound.
func (b *arrivingBody) setDeadline(acceptUntil time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := earliest(b.until, acceptUntil); !at.IsZero() && !b.isEnded {
		b.hasDeadline = true
		_ = b.controller.SetReadDeadline(at) // not supported without a connection, as in tests; the checks after the body then refuse the request
	}
}

// removeDeadline lets the connection be read without a bound. Otherwise the caller would count as gone at the deadline.
func (b *arrivingBody) removeDeadline() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasDeadline {
		_ = b.controller.SetReadDeadline(time.Time{}) // see setDeadline
	}
}

// checkTime returns *BodyTimeoutError if the body has not arrived in time.
func (b *arrivingBody) checkTime(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && !b.until.IsZero() && !time.Now().Before(b.until) {
		return &BodyTimeoutError{}
	}
	return err
}

// BodyTimeoutError reports that the body of a request had not arrived by the request's deadline.
type BodyTimeoutError struct{}

func (e *BodyTimeoutError) Error() string {
	return "forwarder: the body of the request had not arrived completely by the request's deadline"
}

// earliest returns the earlier one of two times. A zero time is later than any other.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// end makes reading the body fail from now on.
func (b *arrivingBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isEnded = true
	_ = b.controller.SetReadDeadline(past) // see setDeadline
}

// readBody reads the complete body, which must have arrived by until unless that is zero. The account holds its memory until it is released;
// it is nil without a body. The error may be *http.MaxBytesError, *BodyTimeoutError, *StoppingError, *evictor.FullError or *evictor.EvictedError.
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
	b := &arrivingBody{controller: http.NewResponseController(w), until: until}
	if size > limit {
		abandonBody(w, b)
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	f.addBody(b)
	account := f.cfg.Memory.Open(b.end)
	body, err := readInto(account, http.MaxBytesReader(w, r.Body, limit), size)
	f.removeBody(b)
	if err := cmp.Or(f.checkStop(), account.Complete(), b.checkTime(err)); err != nil {
		account.Release()
		if status, _ := refusalStatus(err); status == http.StatusBadRequest {
			b.end() // the caller has left, or what it sends is no body
		} else {
			abandonBody(w, b)
		}
		return nil, nil, err
	}
	b.removeDeadline()
	return body, account, nil
}

// addBody adds a body that begins to arrive.
func (f *Forwarder) addBody(b *arrivingBody) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodies[b] = true
	b.setDeadline(f.stop.AcceptUntil)
}

// removeBody removes a body of which no more is read.
func (f *Forwarder) removeBody(b *arrivingBody) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.bodies, b)
}

// readInto reads a body of at most size bytes to its end. Its buffers are counted in the account before they are made, the
// next one beside the one that it replaces.
func readInto(account *evictor.Account, in io.Reader, size int64) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			old, next := int64(cap(buf)), min(max(2*int64(cap(buf)), firstBodyBuffer), size+1) // the last byte is for the end of the input
			if next <= old {
				next = 2 * old // the input is longer than it said; its reader ends it
			}
			if err := account.Reserve(next); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, next), buf...)
			account.Return(old)
		}
		n, err := in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// abandonBody lets the server answer without the rest of a body. It closes the connection after the answer, and only once the caller
// has had time to read it.
func abandonBody(w http.ResponseWriter, b *arrivingBody) {
	b.end() // otherwise the server waits for the rest
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}
