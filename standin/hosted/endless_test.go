package hosted_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
	"amaranthmill/standin/relayer"
)

// Figures of the test of answers without end.
const (
	endlessCallers   = 100
	endlessEndpoints = 3               // for each place, with eight slots each
	endlessTime      = 4 * time.Second // for which the callers send requests
	smallestMachine  = 414             // MB of memory
	refusalPause     = 50 * time.Millisecond
)

// endlessAnswer is an answer that repeats a text without end after another one, which may contain %s for the request's ID.
type endlessAnswer struct{ first, repeated string }

// write writes the answer until the other side closes the connection.
func (a endlessAnswer) write(conn net.Conn, r *http.Request) {
	block := strings.Repeat(a.repeated, 1+4096/len(a.repeated))
	for _, err := io.WriteString(conn, strings.Replace(a.first, "%s", r.Header.Get("X-Attempt-Id"), 1)); err == nil; {
		_, err = io.WriteString(conn, block)
	}
}

// endlessAnswers are answers without end by the place of the repeated text.
var endlessAnswers = map[string]endlessAnswer{
	"head":            {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n", "X-Field: value\r\n"},
	"interim heads":   {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"body":            {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n\r\n", "x"},
	"chunks":          {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":        {"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\nTrailer: X-Field\r\n\r\n1\r\nx\r\n0\r\n", "X-Field: value\r\n"},
	"no answer":       {"", "x"},
}

// TestEndlessAnswersLeaveMemory sends 100 requests at once to endpoints whose answers, also to liveness checks, have no end,
// directly and through a peer. An instance that keeps these bytes runs out of the memory of the smallest machine and ends, and
// the requests of other callers with it.
func TestEndlessAnswersLeaveMemory(t *testing.T) {
	for name, isCutOff := range map[string]bool{"direct": false, "through peer": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFixture(t, fixtureConfig{instances: 2, engines: 6, retrySlack: hosted.RetrySlack, hasLinks: true, memoryMB: smallestMachine})
			for _, place := range slices.Sorted(maps.Keys(endlessAnswers)) {
				for n := range endlessEndpoints {
					f.addRaw(fmt.Sprintf("%s-%d", place, n), hosted.PlainService, endlessAnswers[place].write)
				}
			}
			f.engine("ledger-1").Kill()
			f.platform.Store.Remove("servers/ledger-1")
			first := f.instances[0]
			if isCutOff {
				f.forEachEndpointLink(func(l *relayer.Link) { cutByResets(l, first) })
				f.await("a stream through the peer", func() bool {
					resp, err := f.request(first, http.MethodPost, "/guides/brief", "through-peer", hosted.APIKey)
					return err == nil && readCompleteStream(resp, func(int) {}) == nil
				})
			}
			var callers sync.WaitGroup
			defer callers.Wait()
			end := time.Now().Add(endlessTime)
			for n := range endlessCallers {
				callers.Go(func() { f.sendEndless(first, n, end) })
			}
			complete, refused := 0, 0
			for i := 0; time.Now().Before(end); i++ {
				resp, err := f.request(first, http.MethodPost, "/guides/brief", fmt.Sprintf("sound-%d", i), hosted.APIKey)
				is.NoErr(err)
				if resp.StatusCode == http.StatusServiceUnavailable {
					_ = resp.Body.Close()
					refused++
					time.Sleep(refusalPause)
					continue
				}
				is.NoErr(readCompleteStream(resp, func(int) {}))
				complete++
			}
			callers.Wait()
			for _, i := range f.instances {
				peak := i.peakMemory(t)
				t.Logf("%s: %d MB at most, %d sound streams meanwhile", i.name, peak, complete)
				is.True(peak < smallestMachine)
			}
			is.True(complete > 0)
			is.Equal(refused, 0) // engines and the way to them are sound
		})
	}
}

// sendEndless sends requests until a time and checks that none gets an answer of an endpoint.
func (f *fixture) sendEndless(i *instance, caller int, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		resp, err := f.request(i, http.MethodGet, "/lookups/1", fmt.Sprintf("endless-%d-%d", caller, n), hosted.APIKey)
		if err != nil {
			f.t.Errorf("no answer of the instance: %v", err)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.t.Errorf("an answer without end was passed on with status 200")
		}
	}
}

// peakMemory returns the largest resident memory of the process in MB.
func (i *instance) peakMemory(t *testing.T) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes >> 10
}
