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

// drainTime is the time after the store's acknowledgement that an endpoint leaves, after which it must
// get no more requests.
const drainTime = 2 * time.Second

// expiryTime is the time from the start of an outage of the store until an entry may expire: an entry
// lives for three intervals of its renewal, 1.2 s each, and the last one may have begun before.
const expiryTime = 2400 * time.Millisecond

// TestEndpointThatLeftGetsNoRequestsWhileStoreIsCutOff cuts one instance off from the store while the
// other one keeps it. An endpoint whose entry is removed then has left, because the store works. The
// instance took its own cut for an outage of the store and kept the endpoint.
func TestEndpointThatLeftGetsNoRequestsWhileStoreIsCutOff(t *testing.T) {
	is := is.New(t)
	f := startFixture(t, fixtureConfig{instances: 2, engines: 6, retrySlack: hosted.RetrySlack, hasStoreLinks: true})
	f.add("ledger-2", "")
	cut := f.instances[0] // the one that queries the store; the other one follows it
	f.await("both endpoints to get requests", func() bool {
		ran := f.plainEndpoints(cut)
		return ran["ledger-1"] && ran["ledger-2"]
	})
	f.links[cut.name].Cut()
	f.await("the loss of the store", func() bool { return strings.Contains(cut.log(), "store lost") })
	f.platform.Store.Remove("servers/ledger-1")
	time.Sleep(drainTime)
	for range 10 {
		ran := f.plainEndpoints(cut)
		is.True(!ran["ledger-1"]) // the endpoint that has left gets no request
		is.True(ran["ledger-2"])
	}
	f.links[cut.name].Restore()
	f.await("the store again", func() bool { return strings.Contains(cut.log(), "store regained") })
	is.True(!f.plainEndpoints(cut)["ledger-1"])
}

// TestEntriesThatExpireInOutageLoseNoEndpoint removes the entries of all endpoints while the store is
// away, and writes them again shortly before two seconds after its return have passed. The endpoints
// must be used all the while.
func TestEntriesThatExpireInOutageLoseNoEndpoint(t *testing.T) {
	is := is.New(t)
	f := startFixture(t, fixtureConfig{instances: 2, engines: 6, retrySlack: hosted.RetrySlack})
	f.platform.Store.SetDown(true)
	for _, i := range f.instances {
		f.await("the loss of the store", func() bool { return strings.Contains(i.log(), "store lost") })
	}
	time.Sleep(expiryTime)
	f.platform.Store.Remove("servers/ledger-1")
	f.platform.Store.SetDown(false)
	rewriteAt := time.Now().Add(1900 * time.Millisecond)
	for time.Now().Before(rewriteAt) {
		for _, i := range f.instances {
			is.True(f.plainEndpoints(i)["ledger-1"]) // the endpoint stays in use
		}
	}
	f.engine("ledger-1").Show()
	time.Sleep(time.Second)
	for _, i := range f.instances {
		is.True(f.plainEndpoints(i)["ledger-1"])
	}
}

// plainEndpoints sends several requests to the plain service at once through an instance and returns
// the endpoints that ran them, by ID.
func (f *fixture) plainEndpoints(i *instance) map[string]bool {
	const concurrentRequests = 12 // more than one endpoint runs at once
	ids := make([]string, concurrentRequests)
	var requests sync.WaitGroup
	for n := range ids {
		f.requests++
		ids[n] = fmt.Sprintf("%s-%d", i.name, f.requests)
		requests.Go(func() {
			resp, err := f.request(i, http.MethodPost, "/holds/7", ids[n], hosted.APIKey)
			if err != nil {
				f.t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body) // the endpoint counts the runs
			_ = resp.Body.Close()
		})
	}
	requests.Wait()
	ran := map[string]bool{}
	for _, e := range f.platform.Engines() {
		for _, id := range ids {
			ran[e.ID] = ran[e.ID] || e.Runs(id) > 0
		}
	}
	return ran
}
