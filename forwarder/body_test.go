package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/evictor"
	"amaranthmill/forwarder"
)

// bodyMemory holds one body of the largest legal size with the buffer that it grows out of, and no second one.
var bodyMemory = evictor.Config{Limit: 2000, SmallBytes: 50, LargeShare: 0.9, Patience: 50 * time.Millisecond}

// newBodyFixture returns a fixture with the memory of the tests.
func newBodyFixture(t *testing.T, c evictor.Config) *fixture {
	return newFixtureWith(t, func(cfg *forwarder.Config) {
		cfg.Memory = evictor.NewMemory(evictor.MemoryConfig{Config: c})
	})
}

// startBody sends the head of a request with a body of 1000 bytes, and its first n bytes. It returns the connection.
func (x *fixture) startBody(path string, n int) net.Conn {
	conn, err := net.Dial("tcp", x.server.Listener.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = conn.Close() })
	if _, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: short\r\nKey: k1\r\nContent-Length: 1000\r\n\r\n%s", path, strings.Repeat("x", n)); err != nil {
		x.t.Fatal(err)
	}
	return conn
}

// post sends a whole request with a body of n bytes over a new connection.
func (x *fixture) post(path string, n int) *http.Response {
	r, err := http.NewRequest(http.MethodPost, x.server.URL+path, strings.NewReader(strings.Repeat("x", n)))
	if err != nil {
		x.t.Fatal(err)
	}
	r.Header.Set("Id", "whole")
	r.Header.Set("Key", "k1")
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// TestBodyWithoutMemoryIsRefused guards against bodies that use memory without bound. A body that finds none is refused at once, without
// the rest of it: as not run, with a time to retry, over a connection that closes. The memory of a request is free once it has ended.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	x := newBodyFixture(t, bodyMemory)
	began, release := make(chan bool, 1), make(chan struct{})
	runs := x.add(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the body of the test has arrived
		began <- true
		<-release
		signed(w, "ok")
	})
	first := make(chan *http.Response, 1)
	go func() { first <- x.post("/hold/1", 1000) }()
	<-began
	for _, path := range []string{"/hold/2", "/look/2", "/stream/2"} {
		resp, err := http.ReadResponse(bufio.NewReader(x.startBody(path, 999)), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Retry-After"), "1")
		is.True(resp.Close)
		is.True(strings.Contains(body(resp), "memoryFull"))
	}
	is.Equal(runs.Load(), int32(1))
	close(release)
	is.Equal(body(<-first), "ok")
	is.Equal(body(x.post("/hold/3", 1000)), "ok")
}

// TestShortBodyGivesWay guards against bodies that stop short of their end and keep the memory from ordinary requests: the one that has
// been arriving for longer than the patience is refused as not run, and the ordinary request is served.
func TestShortBodyGivesWay(t *testing.T) {
	is := is.New(t)
	x := newBodyFixture(t, bodyMemory)
	runs := x.add(func(w http.ResponseWriter, _ *http.Request) { signed(w, "ok") })
	conn, err := net.Dial("tcp", x.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	short := bufio.NewReader(conn)
	_, err = io.WriteString(conn, "POST /hold/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: short\r\nKey: k1\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(short, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusContinue) // the body has its memory
	for end := time.Now().Add(5 * time.Second); ; {
		resp := x.post("/hold/2", 1000)
		if got := body(resp); resp.StatusCode == http.StatusOK {
			is.Equal(got, "ok")
			break
		}
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // within the patience
		is.True(time.Now().Before(end))
	}
	resp, err = http.ReadResponse(short, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.True(strings.Contains(body(resp), "evicted"))
	is.Equal(runs.Load(), int32(1))
}

// TestBodyLongerThanLimitIsRefusedAtItsHead checks that a body whose length exceeds the limit is refused before any of it is read.
func TestBodyLongerThanLimitIsRefusedAtItsHead(t *testing.T) {
	is := is.New(t)
	x := newBodyFixture(t, bodyMemory)
	conn, err := net.Dial("tcp", x.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /hold/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: long\r\nKey: k1\r\nContent-Length: 1001\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(resp.Close)
}

// TestBodiesArriveWhole checks that bodies of each size around those of the buffers reach the endpoint unchanged, with a length and in chunks.
func TestBodiesArriveWhole(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.add(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		signed(w, string(text))
	})
	for _, n := range []int{1, 2, 511, 512, 513, 999, 1000} {
		text := strings.Repeat("abcdefg", n)[:n]
		for name, in := range map[string]io.Reader{"length": strings.NewReader(text), "chunks": io.MultiReader(strings.NewReader(text))} {
			r, err := http.NewRequest(http.MethodPost, x.server.URL+"/hold/1", in)
			is.NoErr(err)
			r.Header.Set("Id", fmt.Sprintf("%s-%d", name, n))
			r.Header.Set("Key", "k1")
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			is.Equal(body(resp), text)
		}
	}
}

// TestBodyThatStopsShortEnds guards against a body that stops short and is held for as long as its client keeps the connection open. At the
// deadline of the request, its own or that of the route, it is refused as not run; the connection closes. A request whose body takes long
// and is whole before that is served.
func TestBodyThatStopsShortEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		timeout string
		isWhole bool
		status  int
	}{
		"own deadline":   {"Timeout: 300\r\n", false, http.StatusRequestTimeout},
		"route deadline": {"", false, http.StatusRequestTimeout},
		"whole in time":  {"", true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			runs := x.add(func(w http.ResponseWriter, _ *http.Request) { signed(w, "ok") })
			conn, err := net.Dial("tcp", x.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /hold/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: short\r\nKey: k1\r\n%sContent-Length: 3\r\n\r\n", tc.timeout)
			is.NoErr(err)
			for i := range 2 {
				time.Sleep(50 * time.Millisecond)
				_, err = fmt.Fprint(conn, i)
				is.NoErr(err)
			}
			if tc.isWhole {
				_, err = io.WriteString(conn, "x")
				is.NoErr(err)
			}
			in := bufio.NewReader(conn)
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(resp.Close, !tc.isWhole)
			is.Equal(runs.Load() == 1, tc.isWhole)
			_ = body(resp)
			if !tc.isWhole {
				_, err = in.ReadByte()
				is.Equal(err, io.EOF)
			}
		})
	}
}

// TestCallerStaysAfterItsBody checks that a caller whose body has arrived does not count as gone at the deadline for the body, and that its connection
// can be used again.
func TestCallerStaysAfterItsBody(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.add(func(w http.ResponseWriter, _ *http.Request) { signed(w, "ok") })
	conn, err := net.Dial("tcp", x.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for range 2 { // the connection is used again later than the deadline of the first request
		_, err = io.WriteString(conn, "POST /hold/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: again\r\nKey: k1\r\nTimeout: 300\r\nContent-Length: 1\r\n\r\nx")
		is.NoErr(err)
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body(resp), "ok")
		time.Sleep(400 * time.Millisecond)
	}
}
