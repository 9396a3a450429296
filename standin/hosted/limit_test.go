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

// Bounds on what an endpoint that names a limit may get, as the users state them.
const (
	limitWindow     = 4 * time.Second
	limitStableTime = 3 * time.Second // after the limit was first named
	limitedRate     = 3               // requests per second, the limit of the test
	limitedAllowed  = 1.5*limitedRate*4 + 5
)

// TestLimitedEndpoint lets the only endpoint of the plain service name a limit, while callers send
// ten times as many requests through three instances. The endpoint must get no more than the users
// allow, those that are refused must not have run, and all instances must use it again soon after
// it stops naming the limit.
func TestLimitedEndpoint(t *testing.T) {
	const length = 11 * time.Second
	is := is.New(t)
	f := newFixture(t, 3)
	endpoint := f.engine("ledger-1")
	endpoint.Limit(limitedRate)
	start := time.Now()
	served, refused := f.sendPlainRequests(10*limitedRate, length)
	is.True(float64(served) >= limitedRate*length.Seconds()/2) // the limit is used
	for id, hasRetryAfter := range refused {
		is.True(hasRetryAfter)
		is.Equal(endpoint.Runs(id), 0) // what was refused did not run
	}
	is.True(mostInWindow(endpoint.LimitedArrivals(), start.Add(limitStableTime)) <= limitedAllowed)
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

// sendPlainRequests sends a number of requests a second to the plain service for a time, through all
// instances in turn. It returns the number of those served, and of each that was refused, by its ID,
// whether the answer says when to return.
func (f *fixture) sendPlainRequests(perSecond int, length time.Duration) (served int, refused map[string]bool) {
	refused = map[string]bool{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	start := time.Now()
	for n := 0; time.Since(start) < length; n++ {
		<-ticker.C
		id := fmt.Sprintf("plain-%d", n)
		requests.Go(func() {
			resp, err := f.request(f.instances[n%len(f.instances)], http.MethodPost, "/holds/7", id, hosted.APIKey)
			if err != nil {
				f.t.Error(err)
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
	}
	requests.Wait()
	return served, refused
}

// mostInWindow returns the largest number of arrivals in a time of limitWindow that begins at from or later.
func mostInWindow(arrivals []hosted.LimitedArrival, from time.Time) int {
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].At.Sub(arrivals[first].At) >= limitWindow {
			first++
		}
		if !arrivals[first].At.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}
