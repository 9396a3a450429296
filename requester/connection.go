package requester

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// keepAliveMargin is how much sooner than an endpoint says an idle connection is given up,
// so that a request seldom crosses the endpoint's own close.
const keepAliveMargin = 700 * time.Millisecond

// readBufferSize is enough for the header of a usual answer and some events.
const readBufferSize = 4 << 10

// connection is one connection to an endpoint.
type connection struct {
	net.Conn
	in       *bufio.Reader
	out      *bufio.Writer
	written  atomic.Int64
	reusable bool          // the last answer allows another request
	idleFor  time.Duration // for which the endpoint keeps it idle; zero if it did not say
	expires  time.Time
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.in = bufio.NewReaderSize(conn, readBufferSize)
	c.out = bufio.NewWriter(writeCounter{c})
	return c
}

// writeCounter writes to a connection and counts what it took.
type writeCounter struct{ c *connection }

func (w writeCounter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written.Add(int64(n))
	return n, err
}

// note takes from the header of an answer whether and how long the connection may be kept.
func (c *connection) note(resp *http.Response) {
	c.reusable = !resp.Close
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(text); ok && err == nil {
			c.idleFor = time.Duration(seconds) * time.Second
		}
	}
}

// isQuiet reports whether the endpoint has neither sent anything more nor closed the connection.
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
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
