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

// relay is a TCP relay before an instance. It can stop passing bytes on.
type relay struct {
	t        *testing.T
	listener net.Listener
	to       string
	limit    atomic.Int64 // bytes still passed on towards the instance; negative for no limit
	back     atomic.Int64 // the same from it
	stuck    atomic.Bool  // hold the bytes beyond the limits instead of closing
	mu       sync.Mutex
	conns    []net.Conn
}

func newRelay(t *testing.T, to netip.AddrPort) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, listener: listener, to: to.String()}
	r.limit.Store(-1)
	r.back.Store(-1)
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeAll()
	})
	return r
}

func (r *relay) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *relay) accept() {
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
		go r.pass(in, out, &r.limit)
		go r.pass(out, in, &r.back)
	}
}

func (r *relay) pass(from, to net.Conn, limit *atomic.Int64) {
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
		if r.stuck.Load() {
			return
		}
		break
	}
	_ = from.Close()
	_ = to.Close()
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

// linked starts east/a and west/b, which a reaches through a relay.
func linked(t *testing.T, serve func(context.Context, router.Request, router.Writer) router.Outcome) (east, west *instance, r *relay) {
	t.Helper()
	a := newAuthority(t)
	east = start(t, a, "east", "a", nil)
	west = start(t, a, "west", "b", func(c *linker.Config) { c.Serve = serve })
	r = newRelay(t, west.peer.Address)
	far := west.peer
	far.Address = r.address()
	east.SetPeers([]linker.Peer{far})
	west.SetPeers([]linker.Peer{east.peer})
	for east.reachable() == 0 {
		<-east.changed
	}
	return east, west, r
}

// windowSize is how many bytes of a stream a session sends before the other end has read some.
const windowSize = 256 << 10

// A deadLink is a request of bodySize bytes over a link that passes on so many bytes more,
// those of the answer if back is set.
type deadLink struct {
	bodySize int
	bytes    int64
	back     bool
}

// A link that dies at any byte of a request or of its answer gives NotRun only if the
// request did not run, and Answered only with the whole answer. A body of more than one
// window can't be sent whole over a link that dies within the window, so its outcome is
// always NotRun.
func TestForwardOverLinkThatDies(t *testing.T) {
	seen := map[string]int{}
	for step := range 40 {
		bytes := int64(step * 17)
		links := []deadLink{
			{bodySize: len("hold pad 3"), bytes: bytes},
			{bodySize: 2 * partSize, bytes: bytes, back: true},
			{bodySize: 2 * windowSize, bytes: bytes},
		}
		for _, link := range links {
			t.Run(fmt.Sprintf("%+v", link), func(t *testing.T) {
				outcome := forwardOverDyingLink(t, link)
				if link.bodySize > windowSize {
					is.New(t).Equal(outcome, "notRun")
				}
				seen[outcome]++
			})
		}
	}
	for _, outcome := range []string{"answered", "notRun", "unknown"} {
		is.New(t).True(seen[outcome] > 0) // each outcome occurs
	}
}

// forwardOverDyingLink sends a request over the link and returns the name of its outcome.
func forwardOverDyingLink(t *testing.T, link deadLink) string {
	is := is.New(t)
	var ran atomic.Int32
	const part = "part of the answer"
	east, west, r := linked(t, func(_ context.Context, _ router.Request, w router.Writer) router.Outcome {
		ran.Add(1)
		_ = w.Start(200, http.Header{"Content-Type": {"text/plain"}})
		for range 3 {
			_ = w.Write([]byte(part))
		}
		return router.Answered{}
	})
	limit := &r.limit
	if link.back {
		limit = &r.back
	}
	limit.Store(link.bytes)
	var answer recorder
	req := router.Request{ID: "r", Kind: router.KindNonIdempotent, Method: "POST", Path: "/holds", Body: make([]byte, link.bodySize)}
	outcome := east.Forward(t.Context(), "b", req, &answer)
	r.closeAll()
	west.stop() // ends what runs
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
		is.Fail() // no other outcome
		return ""
	}
}

// A request to a peer whose link is stuck ends with the caller's context, and did not run
// if its end mark was not written.
func TestForwardOverStuckLink(t *testing.T) {
	is := is.New(t)
	east, _, r := linked(t, nil)
	r.stuck.Store(true)
	r.limit.Store(0)
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

// gate is a router.Writer that reads nothing until it is opened, or whose caller went away.
type gate struct {
	recorder
	open    chan struct{}
	entered chan struct{}
	gone    error
}

func (g *gate) Write(part []byte) error {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.open
	if g.gone != nil {
		return g.gone
	}
	return g.recorder.Write(part)
}

// A caller that reads slowly holds back the serving instance within the stream's window;
// the whole answer arrives once it reads. Meanwhile heartbeats and other requests pass.
func TestForwardBackPressure(t *testing.T) {
	is := is.New(t)
	const size = 4 << 20
	var written atomic.Int64
	east, _, _ := linked(t, func(_ context.Context, req router.Request, w router.Writer) router.Outcome {
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
	is.True(written.Load() < 1<<20) // held back by the window of the stream
	close(g.open)
	is.Equal(<-done, router.Answered{})
	is.Equal(len(g.body), size)
}

const partSize = 16 << 10

// A caller that goes away cancels the request at the serving instance.
func TestForwardCancels(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan error, 2)
	east, _, _ := linked(t, func(ctx context.Context, _ router.Request, w router.Writer) router.Outcome {
		_ = w.Start(200, nil)
		var err error
		for err == nil {
			err = w.Write(make([]byte, partSize))
		}
		<-ctx.Done()
		cancelled <- ctx.Err()
		return router.Unknown{}
	})
	g := &gate{open: make(chan struct{}), entered: make(chan struct{}, 1), gone: errors.New("caller gone")}
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

// A connection that brings garbage, or nothing, gets no answer but TLS's own and disturbs no one.
func TestGarbageOnTheListener(t *testing.T) {
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
