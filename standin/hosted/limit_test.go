package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
)

// TestLimitedEndpoint lets the only endpoint of the plain service name a limit, while callers send
// ten times as many requests through three instances. The endpoint must get no more than the users
// allow, those that are refused must not have run, and all instances must use it again soon after
// it stops naming the limit.
func TestLimitedEndpoint(t *testing.T) {
	const (
		perSecond  = 3
		window     = 4 * time.Second
		allowed    = 1.5*perSecond*4 + 5
		stableTime = 3 * time.Second // after the limit was first named
		length     = 11 * time.Second
	)
	is := is.New(t)
	f := newFixture(t, 3)
	endpoint := f.engine("ledger-1")
	endpoint.Limit(perSecond)
	start := time.Now()
	var requests sync.WaitGroup
	var mu sync.Mutex
	refused := map[string]bool{}
	served := 0
	for n := 0; time.Since(start) < length; n++ {
		id := fmt.Sprintf("limited-%d", n)
		requests.Go(func() {
			resp, err := f.request(f.instances[n%len(f.instances)], http.MethodPost, "/holds/7", id, hosted.APIKey)
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body) // the status says enough
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			switch resp.StatusCode {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused[id] = resp.Header.Get("Retry-After") != ""
			}
		})
		time.Sleep(time.Second / (10 * perSecond))
	}
	requests.Wait()
	is.True(float64(served) >= perSecond*length.Seconds()/2) // the limit is used
	for id, hasRetryAfter := range refused {
		is.True(hasRetryAfter)
		is.Equal(endpoint.Runs(id), 0) // what was refused did not run
	}
	arrivals := endpoint.LimitedArrivals()
	first := 0
	for last := range arrivals {
		for arrivals[last].At.Sub(arrivals[first].At) >= window {
			first++
		}
		if arrivals[first].At.Sub(start) >= stableTime && float64(last-first+1) > allowed {
			t.Fatalf("%d requests in %s, allowed %v", last-first+1, window, allowed)
		}
	}
	endpoint.Limit(0)
	for _, i := range f.instances {
		f.await("requests without a limit at "+i.name, func() bool {
			for range 5 {
				if !f.plainEndpoints(i)["ledger-1"] {
					return false
				}
			}
			return true
		})
	}
}
