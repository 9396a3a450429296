package limitreader

import (
	"fmt"
	"io"
)

// LimitError reports that more than Limit bytes of What arrived.
type LimitError struct {
	What  string // what was read, for logs
	Limit int64  // bytes
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("limitreader: %s is longer than %d bytes", e.What, e.Limit)
}

// Reader reads from another reader until a limit is exceeded. It is not safe for concurrent use.
type Reader struct {
	in   io.Reader
	what string
	max  int64
	left int64 // bytes until the limit; negative for no limit
	err  error // *LimitError once the limit was exceeded
}

// New returns a Reader that reads at most limit bytes of in. The next byte results in a
// *LimitError that names what.
func New(in io.Reader, what string, limit int64) *Reader {
	return &Reader{in: in, what: what, max: limit, left: limit}
}

// NewUnlimited returns a Reader that reads all of in until SetLimit is called.
func NewUnlimited(in io.Reader) *Reader { return &Reader{in: in, left: -1} }

// SetLimit limits what is read from now on to limit bytes.
func (r *Reader) SetLimit(what string, limit int64) { r.what, r.max, r.left = what, limit, limit }

// RemoveLimit ends the limit.
func (r *Reader) RemoveLimit() { r.left = -1 }

// Err returns the *LimitError if the limit was exceeded, and nil otherwise. A parser that reads
// from r may report another error instead.
func (r *Reader) Err() error { return r.err }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return r.in.Read(p)
	}
	if r.left == 0 {
		return r.readBeyond()
	}
	n, err := r.in.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// readBeyond finds out whether the input ends at the limit.
func (r *Reader) readBeyond() (int, error) {
	var next [1]byte
	n, err := r.in.Read(next[:])
	if n > 0 {
		r.err = &LimitError{What: r.what, Limit: r.max}
		return 0, r.err
	}
	return 0, err
}
