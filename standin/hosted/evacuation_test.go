package hosted_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
)

// Bounds on the time from the store's acknowledgement of an evacuation until no request is sent to the endpoints of the failure
// domain.
const (
	evacuationTarget = time.Second     // ours, for instances that reach the store
	evacuationBound  = 5 * time.Second // the operators', also for instances that only reach a peer that reaches the store
)

const evacuationKey = "op/evacuate/there"

// addOtherDomain adds engines of two groups and an endpoint of the plain service in the failure domain "there", and waits until
// all instances use them.
func (f *fixture) addOtherDomain() {
	for _, id := range []string{"t1", "t2", "t3", "t4"} {
		f.addThere(id, "d2")
	}
	f.addThere("ledger-t", "")
	f.await("groups in the other domain", func() bool { return f.countHeadsThere() == 2 })
	for _, i := range f.instances {
		f.await("requests in the other domain", func() bool { return f.plainEndpoints(i)["ledger-t"] })
	}
}

func (f *fixture) addThere(id, domain string) {
	if _, err := f.platform.AddEngine(id, "there", domain, 40); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) countHeadsThere() int {
	n := 0
	for _, e := range f.platform.Engines() {
		if e.Zone == "there" && e.IsHead() {
			n++
		}
	}
	return n
}

// lastRunThere returns when the endpoints of the other domain last began to run a request whose ID begins with prefix, and the
// number of such requests.
func (f *fixture) lastRunThere(prefix string) (last time.Time, n int) {
	for _, e := range f.platform.Engines() {
		if e.Zone != "there" {
			continue
		}
		for id, at := range e.LastRuns() {
			if !strings.HasPrefix(id, prefix) {
				continue
			}
			n++
			if at.After(last) {
				last = at
			}
		}
	}
	return last, n
}

// TestEvacuatedDomainGetsNoRequests evacuates one of two failure domains under load. No request may be sent there later than the target
// allows, all requests must be served, also those that run there, the groups there must stay, an instance that starts meanwhile must
// send nothing there, and after the evacuation the domain must be used again.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := startFixture(t, fixtureConfig{instances: 3, engines: 6, plainEndpoints: 1, retrySlack: hosted.RetrySlack})
	f.addOtherDomain()
	load := f.startLoad(f.instances)
	time.Sleep(2 * time.Second)
	f.platform.Store.Put(evacuationKey, struct{}{})
	evacuatedAt := time.Now()
	time.Sleep(evacuationBound)
	started := f.start("entry-9")
	f.await("the readiness of the new instance", func() bool { return getStatus("http://"+started.readiness+"/ready") == http.StatusOK })
	newLoad := f.startLoad([]*instance{started})
	time.Sleep(2 * time.Second)
	newResults := newLoad.stop()
	is.True(len(newResults) > 50)
	_, n := f.lastRunThere("entry-9-load")
	is.Equal(n, 0) // the new instance sends nothing there
	last, n := f.lastRunThere("entry-")
	is.True(n > 0) // the domain was used before
	t.Logf("last request there %s after the acknowledgement", last.Sub(evacuatedAt))
	is.True(last.Sub(evacuatedAt) <= evacuationTarget)
	is.Equal(f.countHeadsThere(), 2) // the groups stay
	f.platform.Store.Remove(evacuationKey)
	removedAt := time.Now()
	f.await("requests in the restored domain", func() bool {
		last, _ := f.lastRunThere("entry-")
		return last.After(removedAt)
	})
	results := load.stop()
	is.Equal(results.countFailed(), 0)
	is.Equal(results.countRepeatedHolds(f.platform), 0)
	for _, i := range f.instances {
		is.Equal(strings.Count(i.log(), `"message":"failure domain evacuated"`), 1)
		is.Equal(strings.Count(i.log(), `"message":"failure domain restored"`), 1)
	}
}

// TestInstanceCutOffFromStoreEvacuates cuts one instance off from the store and evacuates a failure domain then. The instance must learn
// of it from a peer within the operators' bound, must keep the state while the store is down for all, and must learn of the end too.
func TestInstanceCutOffFromStoreEvacuates(t *testing.T) {
	is := is.New(t)
	f := startFixture(t, fixtureConfig{instances: 3, engines: 6, plainEndpoints: 1, retrySlack: hosted.RetrySlack, hasStoreLinks: true})
	f.addOtherDomain()
	load := f.startLoad(f.instances)
	cut := f.instances[0]
	f.links[cut.name].Cut()
	f.platform.Store.Put(evacuationKey, struct{}{})
	evacuatedAt := time.Now()
	time.Sleep(evacuationBound)
	f.platform.Store.SetDown(true)
	f.await("the loss of the store", func() bool { return strings.Contains(f.instances[1].log(), "store lost") })
	time.Sleep(time.Second)
	for _, i := range f.instances {
		last, _ := f.lastRunThere(i.name)
		t.Logf("%s: last request there %s after the acknowledgement", i.name, last.Sub(evacuatedAt))
		is.True(last.Sub(evacuatedAt) <= evacuationBound)
	}
	f.platform.Store.SetDown(false)
	f.links[cut.name].Restore()
	f.platform.Store.Remove(evacuationKey)
	removedAt := time.Now()
	for _, i := range f.instances {
		f.await("requests of "+i.name+" in the restored domain", func() bool {
			last, _ := f.lastRunThere(i.name)
			return last.After(removedAt)
		})
	}
	load.stop()
}

// TestAllDomainsEvacuated evacuates both failure domains while streams run. The streams must complete, and all requests that arrive
// must be refused at once, with the time to retry, and not run.
func TestAllDomainsEvacuated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	i := f.instances[0]
	results := make(chan error, 4)
	begun := make(chan struct{}, 4)
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		go func() {
			resp, err := f.request(i, http.MethodPost, "/guides/brief", id, hosted.APIKey)
			if err != nil {
				results <- err
				return
			}
			results <- readCompleteStream(resp, func(event int) {
				if event == 1 {
					begun <- struct{}{}
				}
			})
		}()
	}
	for range 4 {
		<-begun
	}
	f.platform.Store.Put("op/evacuate/here", struct{}{})
	f.await("the evacuation", func() bool { return strings.Contains(i.log(), "failure domain evacuated") })
	for _, path := range []string{"/guides/brief", "/holds/7", "/lookups/7"} {
		sentAt := time.Now()
		resp, err := f.request(i, http.MethodPost, path, "refused"+path, hosted.APIKey)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.True(time.Since(sentAt) < quickAnswer)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Retry-After"), "3")
		for _, e := range f.platform.Engines() {
			is.Equal(e.Runs("refused"+path), 0)
		}
	}
	for range 4 {
		is.NoErr(<-results)
	}
	runs := f.platform.RunCounts()
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		is.Equal(runs[id], 1) // neither hedged nor resumed
	}
	f.platform.Store.Remove("op/evacuate/here")
	f.await("requests after the evacuation", func() bool { return len(f.plainEndpoints(i)) > 0 && f.plainEndpoints(i)["ledger-1"] })
}

// TestSuccessorOfFormingInstanceKnowsEvacuation ends the instance that forms groups while a failure domain is evacuated. Its successor must
// know the evacuation from its own replica: the groups there must stay and count as evacuated, and nothing may be sent there.
func TestSuccessorOfFormingInstanceKnowsEvacuation(t *testing.T) {
	is := is.New(t)
	f := startFixture(t, fixtureConfig{instances: 3, engines: 6, plainEndpoints: 1, retrySlack: hosted.RetrySlack})
	f.addOtherDomain()
	f.platform.Store.Put(evacuationKey, struct{}{})
	for _, i := range f.instances {
		f.await("the evacuation at "+i.name, func() bool { return strings.Contains(i.log(), "failure domain evacuated") })
	}
	old := f.formingInstance()
	is.NoErr(old.command.Process.Kill())
	var others []*instance
	for _, i := range f.instances {
		if i != old {
			others = append(others, i)
		}
	}
	f.await("groups that a successor counts as evacuated", func() bool {
		return strings.Contains(others[0].log()+others[1].log(), `"evacuated":2,`)
	})
	load := f.startLoad(others)
	time.Sleep(2 * time.Second)
	is.Equal(load.stop().countFailed(), 0)
	is.Equal(f.countHeadsThere(), 2)
	for _, i := range others {
		_, n := f.lastRunThere(i.name + "-load")
		is.Equal(n, 0)
	}
}
