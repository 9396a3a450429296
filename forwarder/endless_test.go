package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/forwarder"
)

// endless starts an endpoint that answers each request with first, which may contain %s for the
// request's ID, and then sends repeated until the caller closes the connection. It returns the
// number of answers whose connection is open.
func (x *fixture) endless(first, repeated string) *atomic.Int32 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = l.Close() })
	open := &atomic.Int32{}
	block := strings.Repeat(repeated, 1+4096/len(repeated))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if _, err = fmt.Fprintf(conn, first, r.Header.Get("Id")); err != nil {
					return
				}
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			}()
		}
	}()
	x.addAddress(l.Addr().String())
	return open
}

// endlessAnswers are the places of an answer in which bytes without end may come, by name.
var endlessAnswers = map[string]struct{ path, first, repeated string }{
	"head":          {"/look/1", "HTTP/1.1 200 OK\r\nId: %s\r\n", "X-Field: value\r\n"},
	"refusal":       {"/look/1", "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\n\r\n", "x"},
	"plain body":    {"/look/1", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n", "x"},
	"plain chunks":  {"/look/1", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	"error body":    {"/look/1", "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nSignature: s\r\n\r\n", "x"},
	"event":         {"/stream/1", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: ", "x"},
	"event's lines": {"/stream/1", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n", "data: x\n"},
	"no answer":     {"/look/1", "", "x"},
}

// TestEndlessAnswerIsNoAnswer checks that bytes without end, in whichever part of an answer, reach no
// caller, that the instance closes the connection, and that the caller learns neither of a complete
// answer nor, unless the endpoint refused the request, that it has not run.
func TestEndlessAnswerIsNoAnswer(t *testing.T) {
	for name, e := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			open := x.endless(e.first, e.repeated)
			resp := x.get(e.path)
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			is.NoErr(err)
			is.True(!strings.Contains(string(body), "xxxx"))
			switch {
			case name == "refusal":
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			default:
				is.True(resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout)
			}
			for end := time.Now().Add(waitLimit); open.Load() > 0; {
				is.True(time.Now().Before(end)) // the instance closes the connection
				runtime.Gosched()
			}
		})
	}
}

// waitLimit bounds the wait for an effect that comes at once.
const waitLimit = 10 * time.Second

// Answers at once, and the memory of the users' smallest machine, of which the instance sets three
// quarters as the soft limit of the Go runtime.
const (
	endlessCount  = 200
	machineMemory = 284 << 20
)

// TestEndlessAnswersAtOnce checks the memory of an instance with 200 answers without end at once, and
// that a sound endpoint's answers go on meanwhile.
func TestEndlessAnswersAtOnce(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(machineMemory * 3 / 4))
	for _, name := range []string{"head", "plain body", "event"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixtureWith(t, func(cfg *forwarder.Config) { cfg.HeldBytes = machineMemory / 8 })
			e := endlessAnswers[name]
			for range endlessCount / 8 { // slots of an endpoint
				x.endless(e.first, e.repeated)
			}
			var peak atomic.Uint64
			stop := make(chan struct{})
			var sampler sync.WaitGroup
			sampler.Go(func() { samplePeak(&peak, stop) })
			var callers sync.WaitGroup
			for i := range endlessCount {
				callers.Go(func() {
					resp := x.get(e.path, "Id", fmt.Sprintf("r%d", i))
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				})
			}
			callers.Wait()
			close(stop)
			sampler.Wait()
			t.Logf("%d answers without end: %d MiB of heap in use at most", endlessCount, peak.Load()>>20)
			is.True(peak.Load() < machineMemory)
		})
	}
}

// samplePeak records the largest heap until stop is closed.
func samplePeak(peak *atomic.Uint64, stop <-chan struct{}) {
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak.Store(max(peak.Load(), m.HeapInuse))
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
