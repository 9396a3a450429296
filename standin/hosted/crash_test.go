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

// Times of the copies of the crashing request.
const (
	crashInterval = 150 * time.Millisecond // between two copies
	sendLimit     = 4 * time.Second        // of sending while at most hosted.CrashesBeforeBound runs have begun
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
		if end.IsZero() && (len(f.platform.CrashRuns()) > hosted.CrashesBeforeBound || time.Duration(n)*crashInterval > sendLimit) {
			end = time.Now().Add(2 * hosted.CrashBoundDelay)
		}
	}
	senders.Wait()
	runs := f.platform.CrashRuns()
	for _, r := range runs {
		t.Logf("%s: %s ran at %s", r.At.Sub(runs[0].At).Round(time.Millisecond), r.Request, r.Engine)
	}
	late := hosted.CountLateCrashRuns(runs, hosted.CrashesBeforeBound, func(hosted.CrashRun) bool { return true })
	if late > hosted.MaxLateCrashRuns {
		t.Errorf("%d runs later than %s after the request crashed engine %d, at most %d allowed", late, hosted.CrashBoundDelay, hosted.CrashesBeforeBound, hosted.MaxLateCrashRuns)
	}
	resp, err := f.request(f.instances[0], http.MethodPost, "/guides/brief", "other", hosted.APIKey)
	is.NoErr(err)
	is.NoErr(readCompleteStream(resp, func(int) {}))
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
