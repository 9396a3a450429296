package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// brokenHeads are answers whose heads break off, by the path of the request.
var brokenHeads = map[string]string{
	"/look/1":   "HTTP/1.1 200 OK\r\nId: try-1\r\nSignature: s\r\nContent-Length: 10\r\n\r\n0123456789",
	"/hold/1":   "HTTP/1.1 200 OK\r\nId: try-1\r\nContent-Length: 10\r\nSignature: s\r\n\r\n0123456789",
	"/stream/1": "HTTP/1.1 200 OK\r\nId: try-1\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}

// breakOff starts an endpoint that answers the first cut bytes of a text and then closes or resets the connection. It returns
// the counter of the requests that the endpoint received.
func (x *fixture) breakOff(text string, cut int, reset bool) *atomic.Int32 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = l.Close() })
	count := &atomic.Int32{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				count.Add(1)
				_, _ = io.WriteString(conn, text[:cut])
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	x.addAddress(l.Addr().String())
	return count
}

// TestHeadThatBreaksOffIsNoAnswer breaks the head of an answer off after each byte, by a close and by a reset, directly and
// through a peer: in the status line, within the length, before the last line feed. A head that counts as whole then gives callers a
// success with an empty or short body that is framed as whole. What may run once must not be sent again.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for path, text := range brokenHeads {
		for _, reset := range []bool{false, true} {
			for _, throughPeer := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/reset=%t/throughPeer=%t", path[1:strings.LastIndex(path, "/")], reset, throughPeer), func(t *testing.T) {
					t.Parallel()
					for cut := range strings.Index(text, "\r\n\r\n") + len("\r\n\r\n") {
						checkBrokenHead(t, path, text, cut, reset, throughPeer)
					}
				})
			}
		}
	}
}

// checkBrokenHead sends a request to two endpoints whose heads break off.
func checkBrokenHead(t *testing.T, path, text string, cut int, reset, throughPeer bool) {
	is := is.New(t)
	x := newFixture(t)
	at := x
	if throughPeer {
		fl := newFleet(t, 1)
		x, at = fl.fixture, fl.peers["peer-1"].fixture
	}
	first, second := at.breakOff(text, cut, reset), at.breakOff(text, cut, reset)
	resp := x.get(path)
	got, err := io.ReadAll(resp.Body)
	if resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable || err != nil {
		t.Errorf("cut after %q: status %d, body %q, %v", text[:cut], resp.StatusCode, got, err)
	}
	runs := first.Load() + second.Load()
	is.True(runs > 0)
	if path == "/hold/1" {
		is.Equal(runs, int32(1)) // it may have run
	}
}

// TestHeadThatBreaksOffIsRepeated checks that a request that may run again gets the whole answer of another endpoint, whichever
// byte of the head is the last one.
func TestHeadThatBreaksOffIsRepeated(t *testing.T) {
	for _, path := range []string{"/look/1", "/stream/1"} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%t", path[1:strings.LastIndex(path, "/")], reset), func(t *testing.T) {
				t.Parallel()
				text := brokenHeads[path]
				for cut := range strings.Index(text, "\r\n\r\n") + len("\r\n\r\n") {
					x := newFixture(t)
					x.breakOff(text, cut, reset)
					x.add(func(w http.ResponseWriter, r *http.Request) {
						if path == "/stream/1" {
							events(w, r, 2, false)
							return
						}
						signed(w, "whole")
					})
					want := "whole"
					if path == "/stream/1" {
						want = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n"
					}
					resp := x.get(path)
					if got := body(resp); resp.StatusCode != http.StatusOK || got != want {
						t.Errorf("cut after %q: status %d, body %q", text[:cut], resp.StatusCode, got)
					}
				}
			})
		}
	}
}
