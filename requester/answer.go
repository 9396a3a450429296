package requester

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"amaranthmill/internal/limitreader"
)

// Answer is the answer to a request. The caller must read the body to its end or close the Answer.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // length of the body; -1 if it is not known in advance

	Undelimited bool // the body has neither a length nor chunks and ends with the connection

	requester *Requester
	addr      string
	conn      *connection
	body      io.ReadCloser
	stopWatch func() bool // stops watching the context; reports whether the watch was still active
	once      sync.Once
	complete  bool
}

// IsSuccess reports whether the status is a 2xx status.
func (a *Answer) IsSuccess() bool { return isSuccess(a.Status) }

// Read reads the body. It returns io.EOF at the end of a complete body. Any other error means
// that the answer is incomplete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.complete = true
		a.release()
	}
	return n, err
}

// Bounds on the rest of an answer that Discard reads.
const (
	discardLimit = 64 << 10 // bytes
	discardTime  = 100 * time.Millisecond
)

// Discard reads the rest of a body that nobody needs, so that its connection can be reused. The
// connection is closed instead if the rest is long or does not arrive at once.
func (a *Answer) Discard() {
	_ = a.conn.SetReadDeadline(time.Now().Add(discardTime)) // if that fails, so does the next read
	if _, err := io.Copy(io.Discard, limitreader.New(a, "rest of an answer", discardLimit)); err != nil {
		_ = a.Close()
	}
}

// Close discards the rest of the answer and its connection. After the end of the body it does nothing.
func (a *Answer) Close() error {
	a.release()
	return nil
}

// release returns the connection to the idle connections if the answer was read to its end and the connection may be reused. Otherwise
// it closes the connection, with a reset if the answer was not read to its end.
func (a *Answer) release() {
	a.once.Do(func() {
		notAborted := a.stopWatch()
		if notAborted && a.complete && a.conn.reusable && a.conn.in.Buffered() == 0 && a.conn.SetReadDeadline(time.Time{}) == nil {
			a.requester.putIdle(a.addr, a.conn)
			return
		}
		if !a.complete {
			a.conn.abort()
			return
		}
		_ = a.conn.Close()
	})
}

// abortOnDone makes reads and writes on conn fail when ctx ends. It returns a function that stops this.
func abortOnDone(ctx context.Context, conn *connection) func() bool {
	return context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
}
