package forwarder

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"amaranthmill/internal/limitreader"
	"amaranthmill/requester"
)

// Bounds on answers that are held until they are complete, in bytes.
const (
	answerLimit      = 16 << 20 // of one answer
	freeHeldBytes    = 64 << 10 // of one answer that need no reservation, so that endless answers don't displace short ones
	defaultHeldBytes = 64 << 20 // of all answers beyond that
	firstHeldBuffer  = 4 << 10
)

// heldBudget bounds the memory of the answers that are held. It is safe for concurrent use.
type heldBudget struct{ left atomic.Int64 }

// reserve reserves n bytes, or returns false if fewer are left.
func (b *heldBudget) reserve(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// HeldFullError reports that the held answers of all requests use the memory that they may use,
// so that a long answer can't be held.
type HeldFullError struct{ Size int } // bytes of the answer that have arrived

func (e *HeldFullError) Error() string {
	return fmt.Sprintf("forwarder: no memory is left for an answer of more than %d bytes", e.Size)
}

// readHeld reads the complete body of an answer. Its errors are *limitreader.LimitError,
// *HeldFullError and those of the connection.
func (f *Forwarder) readHeld(x *exchange, answer *requester.Answer) ([]byte, error) {
	in := limitreader.New(answer, "body of an answer", answerLimit)
	buf := make([]byte, 0, firstHeldBuffer)
	reserved := int64(0)
	for {
		n, err := in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			x.heldBytes.Add(reserved)
			return buf, nil
		}
		if err == nil && len(buf) == cap(buf) {
			buf, err = f.growHeld(buf, &reserved)
		}
		if err != nil {
			f.held.left.Add(reserved)
			return nil, err
		}
	}
}

// growHeld returns buf with twice the capacity, and adds what it reserves to reserved. Its error
// is *HeldFullError.
func (f *Forwarder) growHeld(buf []byte, reserved *int64) ([]byte, error) {
	if cap(buf) >= freeHeldBytes {
		more := int64(cap(buf))
		if !f.held.reserve(more) {
			return nil, &HeldFullError{Size: len(buf)}
		}
		*reserved += more
	}
	return append(make([]byte, 0, 2*cap(buf)), buf...), nil
}

// releaseHeld releases what the attempts of x have reserved.
func (f *Forwarder) releaseHeld(x *exchange) { f.held.left.Add(x.heldBytes.Swap(0)) }
