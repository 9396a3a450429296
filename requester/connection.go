package requester

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthmill/internal/limitreader"
)

// keepAliveMargin is the time by which an idle connection is closed before the endpoint's
// announced timeout, so that a request rarely meets the endpoint closing the connection.
const keepAliveMargin = 700 * time.Millisecond

// readBufferSize is enough for a typical answer's header and several events.
const readBufferSize = 4 << 10

// connection is one connection to an endpoint.
type connection struct {
	net.Conn
	in              *bufio.Reader
	limit           *limitreader.Reader // between the connection and in
	out             *bufio.Writer
	written         atomic.Int64  // bytes written to the connection so far
	isReused        bool          // another request was answered on the connection before
	refused         []string      // IDs of the latest requests without a success
	reusable        bool          // the last answer permits another request on the connection
	peerIdleTimeout time.Duration // time for which the endpoint keeps the idle connection open; zero if not announced
	expiresAt       time.Time
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.limit = limitreader.NewUnlimited(conn)
	c.in = bufio.NewReaderSize(c.limit, readBufferSize)
	c.out = bufio.NewWriter(writeCounter{c})
	return c
}

// abort closes a connection whose request or answer is incomplete, and resets it. What the endpoint has not received by then is lost,
// so that a request that was given up behind a network partition does not run after it.
func (c *connection) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if that fails, so has the connection
	}
	_ = c.Close()
}

// writeCounter writes to a connection and counts the bytes written.
type writeCounter struct{ c *connection }

func (w writeCounter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written.Add(int64(n))
	return n, err
}

// readKeepAlive reads from the header of an answer whether the connection may be reused and
// how long the endpoint keeps it open.
func (c *connection) readKeepAlive(resp *http.Response) {
	c.reusable = !resp.Close
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(text); ok && err == nil {
			c.peerIdleTimeout = time.Duration(seconds) * time.Second
		}
	}
}

// maxRefusedIDs bounds the IDs that a connection keeps.
const maxRefusedIDs = 8

// recordAnswer records the status of the answer to the request with an ID.
func (c *connection) recordAnswer(id string, status int) {
	if isSuccess(status) {
		return
	}
	if len(c.refused) >= maxRefusedIDs {
		c.refused = slices.Delete(c.refused, 0, 1)
	}
	c.refused = append(c.refused, id)
}

// hasRefused reports whether one of the latest requests with an ID had an answer that is no success.
func (c *connection) hasRefused(id string) bool { return id != "" && slices.Contains(c.refused, id) }

// isQuiet reports whether the endpoint has sent no further bytes and not closed the connection.
func (c *connection) isQuiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
