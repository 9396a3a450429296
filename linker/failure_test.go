package linker_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/linker"
	"amaranthmill/router"
)

// proxy is a TCP proxy in front of an instance that can stop transmission after a number of bytes.
type proxy struct {
	t            *testing.T
	listener     net.Listener
	to           string
	forwardLimit atomic.Int64 // remaining bytes towards the instance; negative for no limit
	reverseLimit atomic.Int64 // remaining bytes from the instance; negative for no limit
	blocks       atomic.Bool  // hold back the bytes beyond the limits instead of closing the connections
	mu           sync.Mutex
	conns        []net.Conn
}

func newProxy(t *testing.T, to netip.AddrPort) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &proxy{t: t, listener: listener, to: to.String()}
	r.forwardLimit.Store(-1)
	r.reverseLimit.Store(-1)
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeAll()
	})
	return r
}

func (r *proxy) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *proxy) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.copyUpTo(in, out, &r.forwardLimit)
		go r.copyUpTo(out, in, &r.reverseLimit)
	}
}

// copyUpTo copies bytes until the limit is reached.
func (r *proxy) copyUpTo(from, to net.Conn, limit *atomic.Int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			break
		}
		passed := int64(n)
		if left := limit.Load(); left >= 0 {
			passed = min(passed, left)
			limit.Store(left - passed)
		}
		if _, err := to.Write(buf[:passed]); err != nil {
			break
		}
		if passed == int64(n) {
			continue
		}
		if r.blocks.Load() {
			return
		}
		break
	}
	_ = from.Close()
	_ = to.Close()
}

func (r *proxy) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

// startBehindProxy starts east/a and west/b, which a reaches through a proxy.
func startBehindProxy(t *testing.T, serve func(context.Context, router.Request, router.Writer) router.Outcome) (east, west *instance, r *proxy) {
	t.Helper()
	a := newAuthority(t)
	east = start(t, a, "east", "a", nil)
	west = start(t, a, "west", "b", func(c *linker.Config) { c.Serve = serve })
	r = newProxy(t, west.peer.Address)
	relayed := west.peer
	relayed.Address = r.address()
	east.SetPeers([]linker.Peer{relayed})
	west.SetPeers([]linker.Peer{east.peer})
	for east.reachable() == 0 {
		<-east.changed
	}
	return east, west, r
}

// windowSize is the number of bytes of a stream that a session sends before the receiver reads.
const windowSize = 256 << 10

// A failingLink is a request with a body of bodySize bytes on a connection that fails after the
// given number of bytes, counted in the direction of the answer if back is set.
type failingLink struct {
	bodySize int
	bytes    int64
	back     bool
}

// If the connection fails at any byte of a request or its answer, the outcome is NotRun only if
// the request did not run, and Answered only with the complete answer. A body larger than one
// window can't be sent completely over a connection that fails within the window, so its
// outcome is always NotRun.
func TestForwardOverFailingLink(t *testing.T) {
	outcomeCounts := map[string]int{}
	for step := range 40 {
		bytes := int64(step * 17)
		links := []failingLink{
			{bodySize: len("hold pad 3"), bytes: bytes},
			{bodySize: 2 * partSize, bytes: bytes, back: true},
			{bodySize: 2 * windowSize, bytes: bytes},
		}
		for _, link := range links {
			t.Run(fmt.Sprintf("%+v", link), func(t *testing.T) {
				outcome := forwardOverFailingLink(t, link)
				if link.bodySize > windowSize {
					is.New(t).Equal(outcome, "notRun")
				}
				outcomeCounts[outcome]++
			})
		}
	}
	for _, outcome := range []string{"answered", "notRun", "unknown"} {
		is.New(t).True(outcomeCounts[outcome] > 0) // each outcome occurs
	}
}

// forwardOverFailingLink sends a request over the link and returns the name of its outcome.
func forwardOverFailingLink(t *testing.T, link failingLink) string {
	is := is.New(t)
	var ran atomic.Int32
	const part = "part of the answer"
	east, west, r := startBehindProxy(t, func(_ context.Context, _ router.Request, w router.Writer) router.Outcome {
		ran.Add(1)
		_ = w.Start(200, http.Header{"Content-Type": {"text/plain"}})
		for range 3 {
			_ = w.Write([]byte(part))
		}
		return router.Answered{}
	})
	limit := &r.forwardLimit
	if link.back {
		limit = &r.reverseLimit
	}
	limit.Store(link.bytes)
	var answer recorder
	req := router.Request{ID: "r", Kind: router.KindNonIdempotent, Method: "POST", Path: "/holds", Body: make([]byte, link.bodySize)}
	outcome := east.Forward(t.Context(), "b", req, &answer)
	r.closeAll()
	west.stop() // waits until no request runs
	switch outcome.(type) {
	case router.Answered:
		is.Equal(string(answer.body), strings.Repeat(part, 3))
		is.Equal(ran.Load(), int32(1))
		return "answered"
	case router.NotRun:
		is.Equal(ran.Load(), int32(0))
		return "notRun"
	case router.Unknown:
		is.True(ran.Load() <= 1)
		return "unknown"
	default:
		is.Fail() // there is no other outcome
		return ""
	}
}

// A request over a stalled connection ends with the caller's context or its deadline, and the
// outcome is NotRun if the end mark was not written.
func TestForwardOverStalledLink(t *testing.T) {
	is := is.New(t)
	east, _, r := startBehindProxy(t, nil)
	r.blocks.Store(true)
	r.forwardLimit.Store(0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	small := router.Request{ID: "r1", Kind: router.KindNonIdempotent}
	outcome := make(chan router.Outcome, 1)
	go func() { outcome <- east.Forward(ctx, "b", small, &recorder{}) }()
	large := router.Request{ID: "r2", Kind: router.KindNonIdempotent, Body: make([]byte, 32<<20)}
	deadline := time.Now().Add(100 * time.Millisecond)
	large.Deadline = deadline
	got, ok := east.Forward(ctx, "b", large, &recorder{}).(router.NotRun)
	is.True(ok)
	is.Equal(got.Reason, "linkLost")
	cancel()
	_, ok = (<-outcome).(router.Unknown)
	is.True(ok)
}

// gate is a router.Writer whose Write blocks until open is closed, and then returns err if it is set.
type gate struct {
	recorder
	open    chan struct{}
	entered chan struct{}
	err     error
}

func (g *gate) Write(part []byte) error {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.open
	if g.err != nil {
		return g.err
	}
	return g.recorder.Write(part)
}

// A caller that reads slowly limits the serving instance to the stream's window, and the complete
// answer arrives once the caller reads. Meanwhile heartbeats and other requests pass on the
// same session.
func TestForwardBackPressure(t *testing.T) {
	is := is.New(t)
	const size = 4 << 20
	var written atomic.Int64
	east, _, _ := startBehindProxy(t, func(_ context.Context, req router.Request, w router.Writer) router.Outcome {
		_ = w.Start(200, nil)
		if req.ID == "short" {
			_ = w.Write([]byte("x"))
			return router.Answered{}
		}
		for range size / partSize {
			_ = w.Write(make([]byte, partSize))
			written.Add(partSize)
		}
		return router.Answered{}
	})
	g := &gate{open: make(chan struct{}), entered: make(chan struct{}, 1)}
	done := make(chan router.Outcome, 1)
	go func() { done <- east.Forward(t.Context(), "b", router.Request{ID: "long"}, g) }()
	<-g.entered
	var short recorder
	is.Equal(east.Forward(t.Context(), "b", router.Request{ID: "short"}, &short), router.Answered{})
	is.True(written.Load() < 1<<20) // limited by the window of the stream
	close(g.open)
	is.Equal(<-done, router.Answered{})
	is.Equal(len(g.body), size)
}

const partSize = 16 << 10

// A disconnected caller or a canceled context cancels the request at the serving instance.
func TestForwardCancels(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan error, 2)
	east, _, _ := startBehindProxy(t, func(ctx context.Context, _ router.Request, w router.Writer) router.Outcome {
		_ = w.Start(200, nil)
		var err error
		for err == nil {
			err = w.Write(make([]byte, partSize))
		}
		<-ctx.Done()
		cancelled <- ctx.Err()
		return router.Unknown{}
	})
	g := &gate{open: make(chan struct{}), entered: make(chan struct{}, 1), err: errors.New("caller gone")}
	close(g.open)
	_, ok := east.Forward(t.Context(), "b", router.Request{ID: "r1"}, g).(router.Unknown)
	is.True(ok)
	is.Equal(<-cancelled, context.Canceled)
	slow := &gate{open: make(chan struct{}), entered: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-slow.entered
		cancel()
		close(slow.open)
	}()
	_, ok = east.Forward(ctx, "b", router.Request{ID: "r2"}, slow).(router.Unknown)
	is.True(ok)
	is.Equal(<-cancelled, context.Canceled)
}

// A connection that sends invalid data, or none, receives no answer except from the TLS layer and
// has no effect on the peers.
func TestInvalidDataOnListener(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	east := start(t, a, "east", "a", nil)
	conn, err := net.Dial("tcp", east.Address().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, conn)
	is.NoErr(err)
	is.Equal(len(east.Peers()), 0)
}
