package hosted_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
)

// Times of the test of a planned stop, from the signal on.
const (
	stopWork     = 6 * time.Second         // of the endpoint, for each request
	stopLimit    = 8 * time.Second         // after which the platform kills the process
	lateStart    = 1500 * time.Millisecond // when requests begin whose rest comes late
	lateEnd      = 4 * time.Second         // when that rest comes
	lastMoment   = 2 * time.Second         // when a whole request comes that the endpoint can't finish in time
	silentAt     = 2200 * time.Millisecond // when a connection is opened on which nothing comes
	steadyPause  = 30 * time.Millisecond   // of callers that go on sending over what they can open
	steadyWithin = 7900 * time.Millisecond // for which they do so
)

// lateRequest is a request to a stopping instance and what its caller got.
type lateRequest struct {
	name     string
	status   int // of a complete answer; zero if the connection ended without one
	err      error
	returnIn string // the Retry-After field
}

// check reports what is wrong with the answer to a request that endpoints ran so often.
func (r lateRequest) check(t *testing.T, runs int) {
	t.Logf("%s: status %d, Retry-After %q, %d runs, %v", r.name, r.status, r.returnIn, runs, r.err)
	switch {
	case runs > 1:
		t.Errorf("%s ran %d times", r.name, runs)
	case runs == 1 && (r.status == 0 || r.status == http.StatusServiceUnavailable):
		t.Errorf("%s was passed on and has no answer that says so: status %d, %v", r.name, r.status, r.err)
	case r.status == http.StatusServiceUnavailable && r.returnIn == "":
		t.Errorf("%s was refused without a time to come back", r.name)
	}
	if strings.HasPrefix(r.name, "slow-") && runs > 0 {
		t.Errorf("%s was passed on although it was whole only after %s", r.name, lateEnd)
	}
}

// sendParts sends a request in two parts at two times after a start, and reads the answer to its end.
func (f *fixture) sendParts(i *instance, name, first, rest string, start time.Time, firstAt, restAt time.Duration) lateRequest {
	out := lateRequest{name: name}
	time.Sleep(time.Until(start.Add(firstAt)))
	conn, err := net.Dial("tcp", i.callers)
	if err != nil {
		out.err = err
		return out
	}
	defer conn.Close()
	if _, out.err = io.WriteString(conn, first); out.err != nil {
		return out
	}
	time.Sleep(time.Until(start.Add(restAt)))
	_, _ = io.WriteString(conn, rest) // the instance may have answered and closed already
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		out.err = err
		return out
	}
	if _, out.err = io.Copy(io.Discard, resp.Body); out.err == nil {
		out.status, out.returnIn = resp.StatusCode, resp.Header.Get("Retry-After")
	}
	return out
}

// unsafeHead returns the head of a request that may run once, with a body of 10 bytes.
func unsafeHead(id string) string {
	return fmt.Sprintf("POST /holds/7 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: 8000\r\nAuthorization: Token %s\r\nContent-Length: 10\r\n\r\n", hosted.Host, id, hosted.APIKey)
}

// TestLateRequestsInPlannedStopAreAnswered stops an instance in calm, beside a reload, while requests arrive slowly across the
// time at which it accepts no more connections, or come in the last moment before it. They were passed on late in the grace and cut
// without an answer at its end, those that may run once among them. Each one that was passed on must have an answer, the
// others are refused as not run, and a connection on which nothing comes must not hold the stop up.
func TestLateRequestsInPlannedStopAreAnswered(t *testing.T) {
	is := is.New(t)
	f := startFixture(t, fixtureConfig{instances: 2, engines: 6, retrySlack: hosted.RetrySlack})
	var endpoints []*rawEndpoint
	for n := range 3 { // more slots than requests
		endpoints = append(endpoints, f.addRaw(fmt.Sprintf("ledger-slow-%d", n), hosted.PlainService, func(conn net.Conn, r *http.Request) {
			time.Sleep(stopWork)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\ndone", r.Header.Get("X-Attempt-Id"))
		}))
	}
	f.engine("ledger-1").Kill()
	f.platform.Store.Remove("servers/ledger-1")
	stopped := f.instances[0]
	f.await("the slow endpoint", func() bool { return f.hasEndpointsOnly(stopped) })
	start := time.Now()
	is.NoErr(stopped.command.Process.Signal(syscall.SIGHUP))
	is.NoErr(stopped.command.Process.Signal(syscall.SIGTERM))
	results := make(chan lateRequest, 16)
	var callers sync.WaitGroup
	send := func(name, first, rest string, firstAt, restAt time.Duration) {
		callers.Go(func() { results <- f.sendParts(stopped, name, first, rest, start, firstAt, restAt) })
	}
	whole := unsafeHead("slow-body") + "0123456789"
	send("slow-body", whole[:len(whole)-5], whole[len(whole)-5:], lateStart, lateEnd)
	slowHead := unsafeHead("slow-head") + "0123456789"
	send("slow-head", slowHead[:40], slowHead[40:], lateStart, lateEnd)
	send("last-moment", unsafeHead("last-moment")+"0123456789", "", lastMoment, lastMoment)
	send("silent", "", "", silentAt, steadyWithin)
	for n := range 8 {
		callers.Go(func() { f.sendSteadily(stopped, n, start, results) })
	}
	stoppedAt := time.Duration(0)
	callers.Go(func() {
		err := <-stopped.exit
		stoppedAt = time.Since(start)
		stopped.exit <- nil // close receives from exit too
		if err != nil {
			t.Errorf("the instance ended with %v", err)
		}
	})
	go func() {
		callers.Wait()
		close(results)
	}()
	for r := range results {
		runs := 0
		for _, e := range endpoints {
			runs += e.countRuns(r.name)
		}
		r.check(t, runs)
	}
	t.Logf("the instance ended after %s", stoppedAt)
	is.True(stoppedAt < stopLimit)
}

// hasEndpointsOnly reports whether a plain request at an instance does not go to the endpoint that was killed.
func (f *fixture) hasEndpointsOnly(i *instance) bool {
	return strings.Contains(i.log(), "endpoint gone")
}

// sendSteadily sends requests of one plain kind over what connections can be opened until the process is gone.
func (f *fixture) sendSteadily(i *instance, caller int, start time.Time, results chan<- lateRequest) {
	for n := 0; time.Since(start) < steadyWithin; n++ {
		name := fmt.Sprintf("steady-%d-%d", caller, n)
		r := f.sendParts(i, name, unsafeHead(name)+"0123456789", "", start, 0, 0)
		if r.status != 0 || n < 3 {
			results <- r
		}
		time.Sleep(steadyPause)
	}
}
