package requester

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Answer is the answer to a request. Its body must be read to its end, or the Answer be closed.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if it is not known before

	requester *Requester
	addr      string
	conn      *connection
	body      io.ReadCloser
	stop      func() bool // stops the watch over the context
	once      sync.Once
	ended     bool
}

// IsSuccess reports whether the status says that the request was carried out.
func (a *Answer) IsSuccess() bool { return isSuccess(a.Status) }

// Read reads the body. The error at the whole end is io.EOF; every other error says that
// the answer is not whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
		a.release()
	}
	return n, err
}

// Close gives the answer up. After its end it does nothing.
func (a *Answer) Close() error {
	a.release()
	return nil
}

// release gives the connection back if the answer was read to its end, and closes it otherwise.
func (a *Answer) release() {
	a.once.Do(func() {
		alive := a.stop()
		if alive && a.ended && a.conn.reusable && a.conn.in.Buffered() == 0 {
			a.requester.keep(a.addr, a.conn)
			return
		}
		_ = a.conn.Close()
	})
}

// watch closes conn when ctx ends.
func watch(ctx context.Context, conn *connection) func() bool {
	return context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
}
