package server_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/evictor"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"
	"amaranthmill/server"

	"github.com/matryer/is"
)

// bodyMemory holds one body of the largest legal size with the buffer that it grows out of, and no second one.
var bodyMemory = evictor.Config{Limit: 2000, SmallBytes: 50, LargeShare: 0.9, Patience: 50 * time.Millisecond}

// wholeDispatcher answers each request with the size of its body, those with the path of a hold only once they are released.
type wholeDispatcher struct{ began, release chan struct{} }

func (d *wholeDispatcher) Serve(_ context.Context, q router.Request, w router.Writer) router.Outcome {
	if q.Path == "/hold" {
		d.began <- struct{}{}
		<-d.release
	}
	_ = w.Start(http.StatusOK, http.Header{})
	_ = w.Write([]byte(fmt.Sprint(len(q.Body))))
	return router.Answered{}
}

// bodyFixture is a server of which requests are sent over connections.
type bodyFixture struct {
	t          *testing.T
	dispatcher *wholeDispatcher
	address    string
}

func newBodyFixture(t *testing.T) *bodyFixture {
	digest := sha256.Sum256([]byte("k1"))
	var b bundler.Bundle
	is.New(t).NoErr(json.Unmarshal(fmt.Appendf(nil, `{"version": 1, "services": [{"name": "ledger", "deadline": "5s", "repeatable": [{"method": "POST", "path": "/*"}]}],
		"models": [{"name": "guides", "pool": "guides", "deadline": "5s"}],
		"accounts": [{"name": "a", "services": ["ledger", "guides"], "keyDigests": [%q]}]}`, hex.EncodeToString(digest[:])), &b))
	x := &bodyFixture{t: t, dispatcher: &wholeDispatcher{began: make(chan struct{}, 1), release: make(chan struct{})}}
	s := httptest.NewServer(server.New(server.Config{
		Bundle: func() *bundler.Bundle { return &b }, Dispatcher: x.dispatcher, Ready: func() error { return nil },
		NewRequest: func() identifier.Request { return "r1" }, BodySize: 1000, Memory: evictor.NewMemory(evictor.MemoryConfig{Config: bodyMemory}),
	}).Handler())
	t.Cleanup(s.Close)
	x.address = s.Listener.Addr().String()
	return x
}

// start sends the head of a request with a body of 1000 bytes, and its first n bytes. It returns the connection's reader.
func (x *bodyFixture) start(path, fields string, n int) *bufio.Reader {
	return x.send(path, fmt.Sprintf("%sContent-Length: 1000\r\n\r\n%s", fields, strings.Repeat(" ", n)))
}

// send sends a request, of which text is what follows the bearer key.
func (x *bodyFixture) send(path, text string) *bufio.Reader {
	conn, err := net.Dial("tcp", x.address)
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = conn.Close() })
	if _, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: mill\r\nAuthorization: Bearer k1\r\n%s", path, text); err != nil {
		x.t.Fatal(err)
	}
	return bufio.NewReader(conn)
}

// receive returns the next answer of a connection, and its body.
func (x *bodyFixture) receive(from *bufio.Reader) (*http.Response, string) {
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		x.t.Fatal(err)
	}
	if resp.StatusCode == http.StatusContinue {
		return resp, ""
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		x.t.Fatal(err)
	}
	return resp, string(text)
}

// TestBodyWithoutMemoryIsRefused guards against bodies that use memory without bound. A body that finds none is refused at once, without the rest of
// it: as not run, with a time to retry, over a connection that closes. The memory of a request is free once it has ended.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	x := newBodyFixture(t)
	held := x.start("/services/ledger/hold", "", 1000)
	<-x.dispatcher.began
	for _, path := range []string{"/services/ledger/look", "/v1/chat/completions"} {
		resp, text := x.receive(x.start(path, "", 999))
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Retry-After"), "1")
		is.True(resp.Close)
		is.True(strings.Contains(text, `"outcome":"notRun","reason":"memoryFull"`))
	}
	close(x.dispatcher.release)
	_, text := x.receive(held)
	is.Equal(text, "1000")
	for range 3 {
		_, text = x.receive(x.start("/services/ledger/look", "", 1000))
		is.Equal(text, "1000")
	}
}

// TestShortBodyGivesWay guards against bodies that stop short of their end and keep the memory from ordinary requests: the one that has been
// arriving for longer than the patience is refused as not run, and the ordinary request is served.
func TestShortBodyGivesWay(t *testing.T) {
	is := is.New(t)
	x := newBodyFixture(t)
	short := x.start("/services/ledger/look", "Expect: 100-continue\r\n", 0)
	resp, _ := x.receive(short)
	is.Equal(resp.StatusCode, http.StatusContinue) // the body has its memory
	for end := time.Now().Add(5 * time.Second); ; {
		resp, text := x.receive(x.start("/services/ledger/look", "", 1000))
		if resp.StatusCode == http.StatusOK {
			is.Equal(text, "1000")
			break
		}
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // within the patience
		is.True(time.Now().Before(end))
	}
	resp, text := x.receive(short)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.True(strings.Contains(text, `"outcome":"notRun","reason":"evicted"`))
}

// TestBodyLongerThanLimitIsRefusedAtItsHead checks that a body whose length exceeds the limit is refused before any of it is read.
func TestBodyLongerThanLimitIsRefusedAtItsHead(t *testing.T) {
	is := is.New(t)
	x := newBodyFixture(t)
	resp, text := x.receive(x.send("/services/ledger/look", "Content-Length: 1001\r\n\r\n"))
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(resp.Close)
	is.True(strings.Contains(text, `"outcome":"notRun","reason":"bodyTooLarge"`))
}

// TestShortBodyEndsAtDeadline guards against bodies that stop short of their end and stay: one that has not arrived by the time limit of its
// request is refused as not run.
func TestShortBodyEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	x := newBodyFixture(t)
	for _, path := range []string{"/services/ledger/look", "/v1/chat/completions"} {
		resp, text := x.receive(x.start(path, "Mill-Timeout: 50ms\r\n", 999))
		is.Equal(resp.StatusCode, http.StatusRequestTimeout)
		is.True(resp.Close)
		is.True(strings.Contains(text, `"outcome":"notRun","reason":"bodyTimeout"`))
	}
}
