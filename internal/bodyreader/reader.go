package bodyreader

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"amaranthmill/evictor"
)

// firstBuffer is the size of the first buffer of a body in bytes.
const firstBuffer = 4 << 10

// past is a deadline that makes reads fail at once.
var past = time.Unix(1, 0)

// TimeoutError reports that the body of a request had not arrived by the request's deadline.
type TimeoutError struct{}

func (e *TimeoutError) Error() string {
	return "bodyreader: the body of the request had not arrived completely by the request's deadline"
}

// Body is the body of a request that has not arrived completely. It is safe for concurrent use, except for Read.
type Body struct {
	writer     http.ResponseWriter
	source     io.ReadCloser
	controller *http.ResponseController
	until      time.Time // by which it must have arrived; zero for no bound

	mu          sync.Mutex // guards the fields below
	hasDeadline bool
	isEnded     bool // no more is read
}

// New returns the body of r, which is answered over w. It must have arrived by until, unless that is zero.
func New(w http.ResponseWriter, r *http.Request, until time.Time) *Body {
	return &Body{writer: w, source: r.Body, controller: http.NewResponseController(w), until: until}
}

// SetDeadline sets when reading the body fails: at the time by which it must have arrived, or before that when the instance that stops
// takes no more. Zero times set no bound.
func (b *Body) SetDeadline(acceptUntil time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := earliest(b.until, acceptUntil); !at.IsZero() && !b.isEnded {
		b.hasDeadline = true
		_ = b.controller.SetReadDeadline(at) // not supported without a connection, as in tests; the checks after the body then refuse the request
	}
}

// RemoveDeadline lets the connection be read without a bound. Otherwise the caller would count as gone at the deadline.
func (b *Body) RemoveDeadline() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasDeadline {
		_ = b.controller.SetReadDeadline(time.Time{}) // see SetDeadline
	}
}

// earliest returns the earlier one of two times. A zero time is later than any other.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// End makes reading the body fail from now on.
func (b *Body) End() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isEnded = true
	_ = b.controller.SetReadDeadline(past) // see SetDeadline
}

// Abandon lets the server answer without the rest of the body. It closes the connection after the answer, and only once the caller
// has had time to read it.
func (b *Body) Abandon() {
	b.End() // otherwise the server waits for the rest
	_, _ = http.MaxBytesReader(b.writer, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// Read reads a body of at most size bytes to its end; one that is longer than limit fails with *http.MaxBytesError. Its buffers are counted
// in the account before they are made, the next one beside the one that it replaces. The error may also be *TimeoutError or one of the account.
func (b *Body) Read(account *evictor.Account, size, limit int64) ([]byte, error) {
	body, err := readInto(account, http.MaxBytesReader(b.writer, b.source, limit), size)
	if errors.Is(err, os.ErrDeadlineExceeded) && !b.until.IsZero() && !time.Now().Before(b.until) {
		return nil, &TimeoutError{}
	}
	return body, err
}

func readInto(account *evictor.Account, in io.Reader, size int64) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			old, next := int64(cap(buf)), min(max(2*int64(cap(buf)), firstBuffer), size+1) // the last byte is for the end of the input
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
