package acceptor

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"amaranthmill/evictor"
)

const (
	readAheadBytes = 4 << 10                // that the server reads beyond a head, at most
	bytesPerByte   = 2                      // memory that the server uses for each byte of a head
	bytesPerLine   = 320                    // the same for each line
	arrivedTime    = 5 * time.Millisecond   // to read what has arrived
	refusalTime    = 500 * time.Millisecond // in which a caller can read that its head is refused
)

// headRefusal is the answer to a head that exceeds its limit.
const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"The head of the request is longer than this service allows. The request has not run.\n"

// past is a deadline that makes reads fail at once.
var past = time.Unix(1, 0)

// HeadTooLargeError reports that a head is longer than Limit bytes.
type HeadTooLargeError struct{ Limit int }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("acceptor: the head of a request is longer than %d bytes", e.Limit)
}

// phase is what a connection does now.
type phase uint8

const (
	phaseWaiting phase = iota // for the first byte of a head
	phaseHead                 // a head arrives
	phaseServed               // the head has arrived; the request is served
)

// Conn is a connection of a caller. Like each net.Conn, it is safe for concurrent use, except that Read, BeginRequest and EndRequest are for one
// goroutine at a time.
type Conn struct {
	net.Conn
	listener  *Listener
	ref       Ref
	headBytes int // of the head that arrives; used by the goroutine that reads
	isEvicted atomic.Bool

	mu       sync.Mutex // guards the fields below; not held in calls of account
	phase    phase
	until    time.Time        // end of the phase; zero for none
	deadline time.Time        // that the server has set for reads; zero for none
	account  *evictor.Account // of the head; nil outside phaseHead and phaseServed
}

func newConn(l *Listener, conn net.Conn) *Conn {
	c := &Conn{Conn: conn, listener: l}
	c.wait()
	return c
}

// wait begins phaseWaiting.
func (c *Conn) wait() {
	until := after(c.listener.cfg.Limits().IdleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(phaseWaiting, until)
}

// after returns the time after a timeout from now, or zero if there is none.
func after(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// Read implements net.Conn. It fails with a *net.OpError if the head is refused, on which the server closes the connection without an answer of
// its own.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isIdleOver() {
		n, err = c.readArrived(p)
	}
	if n > 0 {
		if why := c.receive(p[:n]); why != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: why}
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.reportTimeout()
	}
	return n, err
}

// receive counts what has arrived if it belongs to a head. Its errors are *HeadTooLargeError, *evictor.FullError and *evictor.EvictedError.
func (c *Conn) receive(p []byte) error {
	phase, account := c.current()
	switch phase {
	case phaseServed:
		return nil
	case phaseWaiting:
		account = c.beginHead()
	}
	c.headBytes += len(p)
	if limit := c.listener.cfg.Limits().HeaderBytes; limit > 0 && c.headBytes > limit+readAheadBytes {
		c.listener.report(c, reasonHeadTooLarge)
		c.refuseHead()
		return &HeadTooLargeError{Limit: limit}
	}
	if err := account.Reserve(headCost(p)); err != nil {
		c.listener.report(c, reasonMemory)
		return err
	}
	return nil
}

// headCost returns the memory that the server uses for a part of a head, in bytes.
func headCost(p []byte) int64 {
	return int64(bytesPerByte*len(p) + bytesPerLine*bytes.Count(p, []byte{'\n'}))
}

// current returns the phase and the account of the head.
func (c *Conn) current() (phase, *evictor.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.account
}

// beginHead begins phaseHead. It returns the account of the head.
func (c *Conn) beginHead() *evictor.Account {
	var account *evictor.Account
	if m := c.listener.cfg.Memory; m != nil {
		account = m.Open(c.evict)
	}
	until := after(c.listener.cfg.Limits().HeaderTimeout)
	c.headBytes = 0
	c.listener.submit(Received{Ref: c.ref})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account = account
	c.setPhase(phaseHead, until)
	return account
}

// setPhase begins a phase that ends at a time, or has no bound if that is zero. c.mu is held.
func (c *Conn) setPhase(p phase, until time.Time) {
	c.phase, c.until = p, until
	_ = c.applyDeadline() // if that fails, so do reads
}

// evict ends the connection while its head arrives. It does not use the account, which calls it.
func (c *Conn) evict() {
	c.isEvicted.Store(true)
	_ = c.Conn.SetReadDeadline(past) // if that fails, so do reads
}

// SetReadDeadline implements net.Conn. Reads fail at the end of the phase if that is earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// applyDeadline sets the earlier one of the server's deadline and the end of the phase. c.mu is held.
func (c *Conn) applyDeadline() error {
	at := c.deadline
	if at.IsZero() || !c.until.IsZero() && c.until.Before(at) {
		at = c.until
	}
	err := c.Conn.SetReadDeadline(at)
	if c.isEvicted.Load() { // otherwise the deadline of evict may be lost
		err = c.Conn.SetReadDeadline(past)
	}
	return err
}

// isIdleOver reports whether the connection has had no request for the idle timeout.
func (c *Conn) isIdleOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.phase == phaseWaiting && !c.until.IsZero() && !now.Before(c.until) && (c.deadline.IsZero() || now.Before(c.deadline))
}

// readArrived reads what has arrived already. After the process was suspended, the idle timeout is over although a request has arrived in
// time.
func (c *Conn) readArrived(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(arrivedTime)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// reportTimeout reports that the connection ends because its phase is over, or because its head gave way to others.
func (c *Conn) reportTimeout() {
	c.mu.Lock()
	phase, isOver := c.phase, !c.until.IsZero() && !time.Now().Before(c.until)
	c.mu.Unlock()
	switch {
	case c.isEvicted.Load():
		c.listener.report(c, reasonMemory)
	case isOver && phase == phaseHead:
		c.listener.report(c, reasonHeadTimeout)
	case isOver && phase == phaseWaiting:
		c.listener.count(reasonIdle)
	}
}

// BeginRequest reports that the head of a request has arrived. It returns *evictor.EvictedError if the head has given way to others meanwhile; the
// request must then be refused.
func (c *Conn) BeginRequest() error {
	c.listener.submit(Received{Ref: c.ref}) // if the head was read with the request before
	c.mu.Lock()
	c.setPhase(phaseServed, time.Time{})
	account := c.account
	c.mu.Unlock()
	return account.Complete()
}

// EndRequest reports that the answer is complete and that the connection waits for the next request.
func (c *Conn) EndRequest() {
	c.release()
	c.listener.submit(Waited{Ref: c.ref})
	c.wait()
}

// release gives back the memory of the head.
func (c *Conn) release() {
	c.mu.Lock()
	account := c.account
	c.account = nil
	c.mu.Unlock()
	account.Release()
}

// refuseHead answers a head that exceeds its limit, and leaves the caller time to read that. A caller that sends on is cut off afterwards.
func (c *Conn) refuseHead() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime)) // if that fails, so does the write
	if _, err := c.Write([]byte(headRefusal)); err != nil {
		return // the caller has left
	}
	if c.CloseWrite() == nil {
		time.Sleep(refusalTime)
	}
}

// CloseWrite ends the sending direction of the connection.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.release()
	c.listener.remove(c)
	return c.Conn.Close()
}
