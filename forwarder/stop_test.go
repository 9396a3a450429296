package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/forwarder"
)

// Times of a stop in the tests, from its beginning.
const (
	acceptTime = 200 * time.Millisecond
	answerTime = 600 * time.Millisecond
)

// drain lets the instance of x stop with the times of the tests.
func (x *fixture) drain() {
	now := time.Now()
	x.f.Drain(forwarder.Stop{AcceptUntil: now.Add(acceptTime), AnswerUntil: now.Add(answerTime)})
}

// TestBodyThatArrivesAcrossStop guards against a request whose body is complete only late in a stop: it was passed on, and cut at the
// end of the stop, also if it may run once. It is refused as soon as the instance takes no more, without the rest of its body.
// One whose body is complete before is served, and its caller does not count as gone when that time comes.
func TestBodyThatArrivesAcrossStop(t *testing.T) {
	for name, isLate := range map[string]bool{"in time": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			runs := x.add(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(acceptTime)
				signed(w, "ok")
			})
			conn, err := net.Dial("tcp", x.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /hold/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: try-1\r\nKey: k1\r\nContent-Length: 10\r\n\r\n01234")
			is.NoErr(err)
			time.Sleep(acceptTime / 4) // the instance reads the body
			x.drain()
			began := time.Now()
			if !isLate {
				_, err = io.WriteString(conn, "56789")
				is.NoErr(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			got := body(resp)
			is.True(resp.Close)
			if !isLate {
				is.Equal(got, "ok")
				return
			}
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			is.Equal(runs.Load(), int32(0))
			is.True(time.Since(began) < answerTime) // at once, not when the rest of the body is due
		})
	}
}

// TestStopAnswersEachRequest checks that a request that runs at the end of a stop is answered that it may have run, that one that waits
// is refused as not run, and that one that arrives late is refused at once.
func TestStopAnswersEachRequest(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	release := make(chan struct{})
	defer close(release)
	x.add(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	const slots = 8
	var unknown, notRun atomic.Int32
	done := make(chan struct{})
	send := func() {
		switch resp := x.get("/hold/1", "Timeout", "5000"); resp.StatusCode {
		case http.StatusGatewayTimeout:
			unknown.Add(1)
		case http.StatusServiceUnavailable:
			notRun.Add(1)
		}
		done <- struct{}{}
	}
	for range slots + 4 {
		go send()
	}
	for x.f.Requests() < slots+4 {
		time.Sleep(time.Millisecond)
	}
	x.drain()
	began := time.Now()
	for range slots + 4 {
		<-done
	}
	is.True(time.Since(began) < 2*answerTime)
	is.True(unknown.Load() >= slots)
	is.Equal(unknown.Load()+notRun.Load(), int32(slots+4))
	began = time.Now()
	resp := x.get("/hold/2")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < acceptTime)
}
