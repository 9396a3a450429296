package acceptor_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/acceptor"
	"amaranthmill/evictor"
)

const (
	headerBytes    = 2000
	maxConnections = 10
)

// fixture is an HTTP server behind a Listener, which answers with the length of the body.
type fixture struct {
	t      *testing.T
	addr   string
	limits atomic.Pointer[acceptor.Limits]
	served atomic.Int32 // requests
	close  func()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func newFixture(t *testing.T, limits acceptor.Limits, memory evictor.Config) *fixture {
	x := &fixture{t: t}
	x.limits.Store(&limits)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := acceptor.New(inner, acceptor.Config{
		Limits: func() acceptor.Limits { return *x.limits.Load() }, Memory: evictor.NewMemory(evictor.MemoryConfig{Config: memory}), MaxConnections: maxConnections,
	})
	s := &http.Server{
		Handler: http.HandlerFunc(x.serve),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*acceptor.Conn).EndRequest()
			}
		},
	}
	go func() { _ = s.Serve(l) }() // returns when the server is closed
	x.close = func() { _ = s.Close() }
	t.Cleanup(x.close)
	x.addr = inner.Addr().String()
	return x
}

func (x *fixture) serve(w http.ResponseWriter, r *http.Request) {
	if err := r.Context().Value(connKey{}).(*acceptor.Conn).BeginRequest(); err != nil {
		panic(http.ErrAbortHandler)
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	x.served.Add(1)
	_, _ = fmt.Fprint(w, n) // the caller may have left
}

// caller is a connection to the server.
type caller struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (x *fixture) dial() *caller {
	conn, err := net.Dial("tcp", x.addr)
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // of the whole test
	return &caller{Conn: conn, t: x.t, in: bufio.NewReader(conn)}
}

func (c *caller) write(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// head returns a complete head of n bytes for a request with a body of a length.
func head(n, length int) string {
	text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nX-Field: \r\n\r\n", length)
	return strings.Replace(text, "X-Field: ", "X-Field: "+strings.Repeat("x", n-len(text)), 1)
}

// answer reads an answer and returns its status and its text. The status is zero if the connection was closed without an answer.
func (c *caller) answer() (int, string) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err.Error()
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// TestHeadLimit checks that a head of the largest legal size is served, first and later on a connection, and that a longer one is refused with status
// 431 before it has arrived completely.
func TestHeadLimit(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes}, evictor.Config{})
	c := x.dial()
	for range 3 {
		c.write(head(headerBytes, 5000) + strings.Repeat("x", 5000))
		status, text := c.answer()
		is.Equal(status, http.StatusOK)
		is.Equal(text, "5000")
	}
	for _, repeated := range []string{"x", "X-Field: value\r\n", "a:\r\n"} {
		c := x.dial()
		c.write("GET / HTTP/1.1\r\nX-First: 1\r\nX-Second: ")
		go func() {
			for err := error(nil); err == nil; { // until the server closes the connection
				_, err = io.WriteString(c, strings.Repeat(repeated, 100))
			}
		}()
		status, _ := c.answer()
		is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	}
	is.Equal(x.served.Load(), int32(3))
}

// TestHeadLimitChanges checks that a limit of a new configuration is in force on open connections.
func TestHeadLimitChanges(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes}, evictor.Config{})
	c := x.dial()
	c.write(head(headerBytes, 0))
	status, _ := c.answer()
	is.Equal(status, http.StatusOK)
	x.limits.Store(&acceptor.Limits{HeaderBytes: 10 * headerBytes})
	c.write(head(9*headerBytes, 0))
	status, _ = c.answer()
	is.Equal(status, http.StatusOK)
	x.limits.Store(&acceptor.Limits{HeaderBytes: headerBytes})
	c.write(head(9*headerBytes, 0))
	status, _ = c.answer()
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
}

// TestHeadTimeout checks that a head which stops short ends with its connection, first and later on it, and that neither a wait before the first byte nor
// the time that a body takes counts.
func TestHeadTimeout(t *testing.T) {
	const timeout = 200 * time.Millisecond
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes, HeaderTimeout: timeout}, evictor.Config{})
	c := x.dial()
	time.Sleep(2 * timeout)
	for range 2 {
		c.write(head(100, 2) + "x")
		time.Sleep(2 * timeout)
		c.write("x")
		status, text := c.answer()
		is.Equal(status, http.StatusOK)
		is.Equal(text, "2")
	}
	for _, c := range []*caller{c, x.dial()} {
		c.write("GET / HTTP/1.1\r\nHost: ")
		status, _ := c.answer()
		is.Equal(status, 0)
	}
	is.Equal(x.served.Load(), int32(2))
}

// TestPipelinedRequests checks that requests which arrive together are served one after the other.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes, HeaderTimeout: time.Second}, evictor.Config{})
	c := x.dial()
	c.write(strings.Repeat(head(100, 3)+"xxx", 50))
	for range 50 {
		status, text := c.answer()
		is.Equal(status, http.StatusOK)
		is.Equal(text, "3")
	}
}

// TestHeadsGiveWay guards against heads that stop short and keep the memory from ordinary requests: those that have been arriving for longer than the patience end
// with their connections, and what a request used is free after its answer.
func TestHeadsGiveWay(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes}, evictor.Config{Limit: 10_000, SmallBytes: 10_000, Patience: 50 * time.Millisecond})
	ends := make(chan error, 2)
	for range 2 { // not both fit
		c := x.dial()
		c.write(strings.TrimSuffix(head(headerBytes, 0), "\r\n"))
		go func() {
			_, err := c.in.ReadByte()
			ends <- err
		}()
	}
	is.True(!errors.Is(<-ends, os.ErrDeadlineExceeded)) // the other one has its memory
	for end := time.Now().Add(5 * time.Second); ; {
		c := x.dial()
		c.write(head(headerBytes, 0))
		if status, _ := c.answer(); status == http.StatusOK {
			break
		}
		is.True(time.Now().Before(end)) // closed within the patience
	}
	is.True(!errors.Is(<-ends, os.ErrDeadlineExceeded))
	c := x.dial()
	for range 10 { // each uses half of the memory
		c.write(head(headerBytes, 0))
		status, _ := c.answer()
		is.Equal(status, http.StatusOK)
	}
}

// TestShortFieldsCostMemory checks that a head of many short fields, for which the server uses far more memory than the head has bytes, counts for more than one of a
// single field.
func TestShortFieldsCostMemory(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes}, evictor.Config{Limit: 40_000, SmallBytes: 40_000, Patience: time.Minute})
	c := x.dial()
	c.write(head(headerBytes, 0))
	status, _ := c.answer()
	is.Equal(status, http.StatusOK)
	c.write("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 400) + "\r\n")
	status, _ = c.answer()
	is.Equal(status, 0)
}

// TestIdleTimeout checks that a connection without a request ends, new or used, and that one which is
// used again within the limit stays.
func TestIdleTimeout(t *testing.T) {
	const timeout = 400 * time.Millisecond
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes, IdleTimeout: timeout}, evictor.Config{})
	c := x.dial()
	for range 5 {
		time.Sleep(timeout / 2)
		c.write(head(100, 0))
		status, _ := c.answer()
		is.Equal(status, http.StatusOK)
	}
	for _, c := range []*caller{c, x.dial()} {
		_, err := c.in.ReadByte()
		is.Equal(err, io.EOF)
	}
}

// suspendedConn is a connection whose process was suspended when a request arrived: the first read fails, because its deadline has passed meanwhile.
type suspendedConn struct {
	net.Conn
	hasRead bool
}

func (c *suspendedConn) Read(p []byte) (int, error) {
	if !c.hasRead {
		c.hasRead = true
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, "GET / HTTP/1.1\r\n"), nil
}

func (c *suspendedConn) SetReadDeadline(time.Time) error { return nil }

// oneConn is a listener that accepts one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l oneConn) Accept() (net.Conn, error) { return l.conn, nil }

// TestRequestThatArrivedInTimeIsRead guards against a suspension of the process that ends connections whose request has arrived meanwhile.
func TestRequestThatArrivedInTimeIsRead(t *testing.T) {
	is := is.New(t)
	l := acceptor.New(oneConn{conn: &suspendedConn{}}, acceptor.Config{Limits: func() acceptor.Limits { return acceptor.Limits{IdleTimeout: time.Nanosecond} }})
	c, err := l.Accept()
	is.NoErr(err)
	p := make([]byte, 100)
	n, err := c.Read(p)
	is.NoErr(err)
	is.Equal(string(p[:n]), "GET / HTTP/1.1\r\n")
}

// TestIdleConnectionsGiveWay guards against connections without requests that keep new ones out: those that have waited for longest end, first of all one that
// has sent nothing.
func TestIdleConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes}, evictor.Config{})
	silent, used := x.dial(), []*caller{}
	for range 3 * maxConnections {
		c := x.dial()
		c.write(head(100, 0))
		status, _ := c.answer()
		is.Equal(status, http.StatusOK)
		used = append(used, c)
	}
	for _, c := range append([]*caller{silent}, used[:2*maxConnections]...) {
		_, err := c.in.ReadByte()
		is.Equal(err, io.EOF)
	}
	for _, c := range used[2*maxConnections:] {
		c.write(head(100, 0))
		status, _ := c.answer()
		is.Equal(status, http.StatusOK)
	}
}

// TestShortHeadsGiveConnections guards against heads that stop short and keep all connections: once they have been arriving for longer than the patience, they end when new
// connections come. Until then a new one is closed, because no other may give way.
func TestShortHeadsGiveConnections(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes}, evictor.Config{Patience: 100 * time.Millisecond})
	ends := make(chan error, maxConnections)
	for range maxConnections {
		c := x.dial()
		c.write("GET / HTTP/1.1\r\nHost: ")
		go func() {
			_, err := c.in.ReadByte()
			ends <- err
		}()
	}
	for end := time.Now().Add(5 * time.Second); ; {
		c := x.dial()
		if _, err := io.WriteString(c, head(100, 0)); err == nil {
			if status, _ := c.answer(); status == http.StatusOK {
				break
			}
		}
		is.True(time.Now().Before(end)) // closed within the patience
	}
	is.True(!errors.Is(<-ends, os.ErrDeadlineExceeded))
}

// TestCloseWhileHeadsArrive closes the server while heads arrive and compete for memory, for the race detector: the connections are closed by another goroutine than
// the one that reads them.
func TestCloseWhileHeadsArrive(t *testing.T) {
	x := newFixture(t, acceptor.Limits{HeaderBytes: headerBytes}, evictor.Config{Limit: 10_000, SmallBytes: 10_000, Patience: time.Nanosecond})
	var callers sync.WaitGroup
	for range 2 * maxConnections {
		c := x.dial()
		callers.Go(func() {
			for err := error(nil); err == nil; { // until the server is closed
				_, err = io.WriteString(c, head(200, 0))
			}
		})
		callers.Go(func() { _, _ = io.Copy(io.Discard, c) }) // ends with the connection
	}
	time.Sleep(100 * time.Millisecond) // heads arrive
	x.close()
	callers.Wait()
}
