package requester_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/requester"
)

func start(t *testing.T, h http.HandlerFunc) (netip.AddrPort, *atomic.Int32) {
	connections := &atomic.Int32{}
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String()), connections
}

func send(r *requester.Requester, address netip.AddrPort, newConnection bool) (string, error) {
	a, err := r.Send(context.Background(), &requester.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", NewConnection: newConnection})
	if err != nil {
		return "", err
	}
	defer a.Close()
	text, err := io.ReadAll(a)
	return string(text), err
}

// TestReuse checks that a connection is reused after a complete answer, but not by a request
// with NewConnection, and not after the endpoint announced that it closes the connection.
func TestReuse(t *testing.T) {
	is := is.New(t)
	address, connections := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	r := requester.New(requester.Config{})
	for range 3 {
		text, err := send(r, address, false)
		is.NoErr(err)
		is.Equal(text, "ok")
	}
	is.Equal(connections.Load(), int32(1))
	_, err := send(r, address, true)
	is.NoErr(err)
	is.Equal(connections.Load(), int32(2))

	closing, connections := start(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	for range 2 {
		_, err := send(r, closing, false)
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int32(2))
}

// TestClosedWhileIdle checks that an idle connection which the endpoint has closed is not reused.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	r := requester.New(requester.Config{})
	_, err := send(r, address, false)
	is.NoErr(err)
	server.CloseClientConnections()
	text, err := send(r, address, false)
	is.NoErr(err)
	is.Equal(text, "ok")
	is.Equal(r.Dialed(), int64(2))
}

// TestErrorTypes checks that the error states whether any byte of the request may have been sent.
func TestErrorTypes(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	r := requester.New(requester.Config{})
	_, err = send(r, address, false)
	var notSent *requester.NotSentError
	is.True(errors.As(err, &notSent))

	broken, _ := start(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err = send(r, broken, false)
	var lost *requester.BrokenError
	is.True(errors.As(err, &lost))
}

// TestContextEnds checks that the end of the context aborts an exchange, also while the body is read.
func TestContextEnds(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	address, _ := start(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	r := requester.New(requester.Config{})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	a, err := r.Send(ctx, &requester.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	is.NoErr(err)
	defer a.Close()
	_, err = io.ReadAll(a)
	is.True(err != nil)
}

// TestEndedContextSendsNothing checks that a request whose context has ended before Send does not
// reach the endpoint on an idle connection.
func TestEndedContextSendsNothing(t *testing.T) {
	is := is.New(t)
	received := &atomic.Int32{}
	address, _ := start(t, func(http.ResponseWriter, *http.Request) { received.Add(1) })
	r := requester.New(requester.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 20 {
		_, err := send(r, address, false)
		is.NoErr(err)
		_, err = r.Send(ctx, &requester.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
		var notSent *requester.NotSentError
		is.True(errors.As(err, &notSent))
		_, err = send(r, address, false)
		is.NoErr(err)
		is.Equal(received.Load(), int32(2*i+2))
	}
}

// TestTruncatedAnswer checks that an answer shorter than its length is an error.
func TestTruncatedAnswer(t *testing.T) {
	is := is.New(t)
	address, _ := start(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "short")
		panic(http.ErrAbortHandler)
	})
	_, err := send(requester.New(requester.Config{}), address, false)
	is.True(err != nil)
}

// TestAcceptsConnections checks that an address without a process accepts no connection.
func TestAcceptsConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	r := requester.New(requester.Config{})
	is.True(r.AcceptsConnections(context.Background(), address))
	is.NoErr(l.Close())
	is.True(!r.AcceptsConnections(context.Background(), address))
}

// TestAbandonedRequestIsReset guards against requests that run although they were given up: a connection that is closed in order still
// delivers the bytes that a network partition has held up, one that is reset does not.
func TestAbandonedRequestIsReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	received, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		_, _ = http.ReadRequest(in)
		close(received)
		_, err = in.ReadByte()
		ended <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	_, err = requester.New(requester.Config{}).Send(ctx, &requester.Request{Address: l.Addr().(*net.TCPAddr).AddrPort(), Method: http.MethodGet, Target: "/", Host: "h"})
	is.True(errors.As(err, new(*requester.BrokenError)))
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
