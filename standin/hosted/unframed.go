package hosted

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
)

// unframedAnswer is an answer that has neither a length nor chunks and ends with its connection.
// It implements http.ResponseWriter.
type unframedAnswer struct {
	conn        net.Conn
	out         *bufio.Writer
	header      http.Header
	wroteHeader bool
}

// Header returns the header fields, which are sent with the first byte of the body.
func (a *unframedAnswer) Header() http.Header { return a.header }

// WriteHeader buffers the header. After the first call it does nothing.
func (a *unframedAnswer) WriteHeader(status int) {
	if a.wroteHeader {
		return
	}
	a.wroteHeader = true
	a.header.Set("Connection", "close")
	_, _ = fmt.Fprintf(a.out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)) // out keeps an error until FlushError
	_ = a.header.Write(a.out)
	_, _ = io.WriteString(a.out, "\r\n")
}

// Write buffers a part of the body.
func (a *unframedAnswer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.out.Write(p)
}

// FlushError sends what is buffered.
func (a *unframedAnswer) FlushError() error {
	a.WriteHeader(http.StatusOK)
	return a.out.Flush()
}

// reset ends the answer with a TCP reset, so that it does not look complete.
func (a *unframedAnswer) reset() {
	if tcp, ok := a.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = a.conn.Close()
}

// SetUnframed makes the answers to requests that the engine begins from now on end with their
// connections, without a length or chunks. A stream that breaks off inside an event then ends
// with its connection too, in an orderly way.
func (e *Engine) SetUnframed(unframed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unframed = unframed
}

// answerUnframed takes over the connection of a request whose body has been read, sends the
// answer and closes the connection.
func (e *Engine) answerUnframed(w http.ResponseWriter, r *http.Request, group membership) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a := &unframedAnswer{conn: conn, out: buffer.Writer, header: w.Header().Clone()}
	defer a.conn.Close()
	e.addUnframed(a)
	defer e.removeUnframed(a)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		defer cancel()
		_, _ = io.Copy(io.Discard, buffer.Reader) // returns when the caller or the engine closes the connection
	}()
	e.answer(a, r.WithContext(ctx), group)
	_ = a.FlushError() // the caller may have left
}

// addUnframed notes an answer for the time at which the engine is killed.
func (e *Engine) addUnframed(a *unframedAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unframedAnswers[a] = true
	if e.dead {
		a.reset()
	}
}

func (e *Engine) removeUnframed(a *unframedAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unframedAnswers, a)
}

// resetUnframedAnswers resets the connections of all unframed answers, which the engine's
// server does not close.
func (e *Engine) resetUnframedAnswers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a := range e.unframedAnswers {
		a.reset()
	}
}
