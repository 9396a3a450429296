package requester_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/requester"
)

// maxSilence is how long the host of a sound endpoint may acknowledge nothing.
const maxSilence = 1600 * time.Millisecond

// TestAnswerSurvivesSilence guards against the loss of a running answer because the kernel
// closes the connection while the endpoint's host acknowledges nothing for a second or so and
// then goes on. A connection that has received nothing for as long as the user timeout is
// closed as soon as one keep-alive probe is unanswered, however short the silence is.
func TestAnswerSurvivesSilence(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before time.Duration // from the arrival of the request to the silence; negative if the silence begins before the request is sent
		after  time.Duration // from the end of the silence to the answer
	}{
		{"unacknowledged", -1, 0},
		{"awaitedEarly", 100 * time.Millisecond, 3 * time.Second},
		{"awaitedBeforeProbe", 900 * time.Millisecond, 100 * time.Millisecond},
		{"awaitedLate", 1500 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			e := &silentEndpoint{before: tc.before, after: tc.after, silence: maxSilence, ready: make(chan struct{})}
			go e.serve(t, l)
			r := requester.New(requester.Config{})
			address := l.Addr().(*net.TCPAddr).AddrPort()
			is.NoErr(e.ask(r, address)) // opens the connection
			<-e.ready
			is.NoErr(e.ask(r, address))
		})
	}
}

// maxVanishDetection bounds the time after which the loss of an endpoint's host is noticed while
// its answer is awaited.
const maxVanishDetection = 5 * time.Second

// TestVanishedHostEndsAttempt checks that a request does not wait until its deadline for a host
// that acknowledges nothing any more.
func TestVanishedHostEndsAttempt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	e := &silentEndpoint{silence: 2 * maxVanishDetection, ready: make(chan struct{})}
	go e.serve(t, l)
	r := requester.New(requester.Config{})
	address := l.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(e.ask(r, address))
	<-e.ready
	start := time.Now()
	is.True(e.ask(r, address) != nil)
	t.Logf("noticed after %v", time.Since(start))
	is.True(time.Since(start) < maxVanishDetection)
}

// silentEndpoint answers the first request on a connection at once. Its host acknowledges
// nothing for some time before or after the second request arrives.
type silentEndpoint struct {
	before, after time.Duration
	silence       time.Duration
	ready         chan struct{} // closed when the second request may be sent
}

func (e *silentEndpoint) ask(r *requester.Requester, address netip.AddrPort) error {
	a, err := r.Send(context.Background(), &requester.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.ReadAll(a)
	return err
}

func (e *silentEndpoint) serve(t *testing.T, l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	answer(in, conn)
	if e.before < 0 {
		ended := dropPackets(t, conn.(*net.TCPConn), e.silence)
		close(e.ready)
		<-ended
		answer(in, conn)
		return
	}
	close(e.ready)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	<-time.After(e.before) // the endpoint works on the answer
	<-dropPackets(t, conn.(*net.TCPConn), e.silence)
	<-time.After(e.after)
	writeAnswer(conn)
}

// answer reads a request and answers it.
func answer(in *bufio.Reader, out io.Writer) {
	if _, err := http.ReadRequest(in); err == nil {
		writeAnswer(out)
	}
}

func writeAnswer(out io.Writer) {
	_, _ = io.WriteString(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// dropPackets makes the kernel drop all packets that arrive for conn, so that none is
// acknowledged, for d. The returned channel is closed afterwards.
func dropPackets(t *testing.T, conn *net.TCPConn, d time.Duration) <-chan struct{} {
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Error(err)
	}
	dropAll := []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K}}
	if err := raw.Control(func(fd uintptr) {
		if err := syscall.AttachLsf(int(fd), dropAll); err != nil {
			t.Error(err)
		}
	}); err != nil {
		t.Error(err)
	}
	ended := make(chan struct{})
	time.AfterFunc(d, func() {
		defer close(ended)
		_ = raw.Control(func(fd uintptr) { _ = syscall.DetachLsf(int(fd)) })
	})
	return ended
}
