package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
)

// Bounds of the operators' rule on requests that crash the engines that run them.
const (
	crashesBeforeBound = 3               // engines that the request crashes before the bound applies
	boundDelay         = 3 * time.Second // from that crash until the bound applies
	maxLateRuns        = 3               // runs after that
)

// Times of the copies of the crashing request.
const (
	crashInterval = 150 * time.Millisecond // between two copies
	sendLimit     = 4 * time.Second        // of sending while fewer than crashesBeforeBound engines have ended
)

// TestCrashingRequestSentOnAfterThirdEngine sends copies of a request that crashes each
// engine that begins to run it, to all instances in turn. Once the request has crashed three
// engines, the instances must stop sending it to engines, and must go on serving other requests.
func TestCrashingRequestSentOnAfterThirdEngine(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	for n := range 6 {
		f.add(fmt.Sprintf("x%d", n), "d1")
	}
	f.await("five groups", func() bool { return f.countHeads() >= 5 })
	f.platform.CrashOn("crashes engines", time.Second, nil)
	var senders sync.WaitGroup
	tick := time.NewTicker(crashInterval)
	defer tick.Stop()
	var end time.Time
	for n := 0; end.IsZero() || time.Now().Before(end); n++ {
		senders.Go(func() { f.sendCrashing(f.instances[n%len(f.instances)], fmt.Sprintf("crash-%d", n)) })
		<-tick.C
		if end.IsZero() && (len(f.platform.CrashRuns()) > crashesBeforeBound || time.Duration(n)*crashInterval > sendLimit) {
			end = time.Now().Add(2 * boundDelay)
		}
	}
	senders.Wait()
	runs := f.platform.CrashRuns()
	for _, r := range runs {
		t.Logf("%s: %s ran at %s", r.At.Sub(runs[0].At).Round(time.Millisecond), r.Request, r.Engine)
	}
	if late := countLateRuns(runs); late > maxLateRuns {
		t.Errorf("%d runs later than %s after the request crashed engine %d, at most %d allowed", late, boundDelay, crashesBeforeBound, maxLateRuns)
	}
	resp, err := f.request(f.instances[0], http.MethodPost, "/guides/brief", "other", hosted.APIKey)
	is.NoErr(err)
	is.NoErr(readCompleteStream(resp, func(int) {}))
}

// countLateRuns returns the number of runs to which the bound applies.
func countLateRuns(runs []hosted.CrashRun) int {
	engines := map[string]bool{}
	var bound time.Time
	late := 0
	for _, r := range runs {
		engines[r.Engine] = true
		if bound.IsZero() && len(engines) == crashesBeforeBound {
			bound = r.At.Add(boundDelay)
		}
		if !bound.IsZero() && r.At.After(bound) {
			late++
		}
	}
	return late
}

// sendCrashing sends one copy of the crashing request. Its answer does not matter.
func (f *fixture) sendCrashing(i *instance, id string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/guides/report", strings.NewReader("this request crashes engines"))
	if err != nil {
		f.t.Error(err)
		return
	}
	setRequestHeader(r, id, hosted.APIKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the answer may be cut off
}
