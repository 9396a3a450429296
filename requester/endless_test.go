package requester_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/limitreader"
	"amaranthmill/requester"
)

// endless is an endpoint that sends a text and then repeats another one until its caller closes
// the connection.
type endless struct{ first, repeated string }

// serve answers one connection. It returns the number of bytes sent, or 0 if the caller has not
// closed the connection after maxEndlessBytes.
func (e endless) serve(conn net.Conn) int {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0
	}
	sent, _ := io.WriteString(conn, e.first)
	block := strings.Repeat(e.repeated, 1+4096/len(e.repeated))
	for sent < maxEndlessBytes {
		n, err := io.WriteString(conn, block)
		sent += n
		if err != nil {
			return sent
		}
	}
	return 0
}

// maxEndlessBytes is more than a requester may read and the kernel may buffer.
const maxEndlessBytes = 64 << 20

// TestEndlessBytes guards against endpoints that send bytes which are no answer for ever: an
// instance that reads them all runs out of memory, or holds the request until its deadline. The
// requester closes the connection after a bound, and the request counts as broken, never as not
// sent.
func TestEndlessBytes(t *testing.T) {
	const stale = "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 900000000\r\n\r\n"
	const chunked = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n"
	for name, e := range map[string]endless{
		"no answer":       {"", "x"},
		"status line":     {"HTTP/1.1 200 ", "x"},
		"head":            {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"field":           {"HTTP/1.1 200 OK\r\nX-Field: ", "x"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"interim head":    {"HTTP/1.1 103 Early Hints\r\n", "X-Field: value\r\n"},
		"stale answers":   {"", "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 1\r\n\r\nx"},
		"stale body":      {stale, "x"},
		"chunk size":      {chunked + "\r\n", "0"},
		"chunk extension": {chunked + "\r\n1;", "x"},
		"extensions":      {chunked + "\r\n", "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
		"trailer":         {chunked + "Trailer: X-Field\r\n\r\n1\r\nx\r\n0\r\n", "X-Field: value\r\n"},
		"trailer field":   {chunked + "Trailer: X-Field\r\n\r\n0\r\nX-Field: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			sent := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				sent <- e.serve(conn)
			}()
			r := requester.New(requester.Config{IdentityHeader: "Id"})
			err = readWhole(r, l.Addr().(*net.TCPAddr))
			is.True(err != nil)
			is.True(!errors.As(err, new(*requester.NotSentError)))
			is.True(<-sent > 0) // the requester has closed the connection
		})
	}
}

// readWhole sends a request and reads at most endlessBodyLimit bytes of the body of its answer.
func readWhole(r *requester.Requester, address *net.TCPAddr) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := r.Send(ctx, &requester.Request{Address: address.AddrPort(), Method: http.MethodGet, Target: "/", Host: "h", ID: "r1"})
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, limitreader.New(a, "body", endlessBodyLimit))
	return err
}

// endlessBodyLimit is the bound that the reader of a body sets.
const endlessBodyLimit = 1 << 20

// TestEndlessHeadNamesLimit checks that the error names the bound, which is then logged.
func TestEndlessHeadNamesLimit(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			endless{"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"}.serve(conn)
		}
	}()
	err = readWhole(requester.New(requester.Config{}), l.Addr().(*net.TCPAddr))
	var limit *limitreader.LimitError
	is.True(errors.As(err, &limit))
	is.Equal(limit.What, "head of an answer")
	is.True(errors.As(err, new(*requester.BrokenError)))
}

// TestDiscardIsBounded checks that the rest of an answer that nobody needs is read if it is short,
// so that the connection is reused, and that the connection is closed at once if it is long or
// does not arrive.
func TestDiscardIsBounded(t *testing.T) {
	for name, tc := range map[string]struct {
		body  func(w http.ResponseWriter, r *http.Request)
		reuse bool
	}{
		"short": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "full") }, true},
		"endless": {func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := io.WriteString(w, strings.Repeat("x", 4096)); err != nil {
					return
				}
			}
		}, false},
		"silent": {func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, connections := start(t, tc.body)
			r := requester.New(requester.Config{})
			began := time.Now()
			for range 2 {
				a, err := r.Send(context.Background(), &requester.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
				is.NoErr(err)
				a.Discard()
			}
			is.True(time.Since(began) < 5*time.Second)
			is.Equal(connections.Load() == 1, tc.reuse)
		})
	}
}
