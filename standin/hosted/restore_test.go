package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
)

// Times and bounds of the restore test.
const (
	copyAge     = 2500 * time.Millisecond // of the copy from which the store is restored
	awayTime    = 300 * time.Millisecond
	rewriteTime = 1500 * time.Millisecond // for the operator and the engines to write again
	stableTime  = 3 * time.Second         // from the return, after which the bounds hold
	changeTime  = 2 * time.Second         // from the store's answer until a configuration is in force
)

// TestInstancesFollowRestoredStore restores the store from an older copy, three times. An endpoint that the instances
// knew to drain must get no request, and those that the copy lacks must stay in use. Afterwards a new configuration must
// be in force, an endpoint that drains get no more requests and lost groups be formed again, all in time, though the
// revisions of all of them were given out before.
func TestInstancesFollowRestoredStore(t *testing.T) {
	is := is.New(t)
	f := startFixture(t, fixtureConfig{instances: 3, engines: 8, retrySlack: hosted.RetrySlack, hasStoreLinks: true})
	f.add("ledger-2", "")
	version := 1
	for round := range 3 {
		time.Sleep(copyAge)
		for range 3 {
			version++
			f.platform.Configure(version, hosted.APIKey, fmt.Sprintf("key-%d", round))
		}
		late := f.add(fmt.Sprintf("ledger-late-%d", round), "")
		draining := f.engine(fmt.Sprintf("ledger-%d", round+1))
		draining.Drain()
		f.add(fmt.Sprintf("ledger-%d", round+3), "")
		time.Sleep(time.Second) // the instances know it
		f.platform.Store.SetDown(true)
		time.Sleep(awayTime)
		f.platform.Store.Restore(copyAge, rewriteTime)
		f.platform.Store.SetDown(false)
		for returnedAt := time.Now(); time.Since(returnedAt) < stableTime; time.Sleep(50 * time.Millisecond) {
			for _, i := range f.instances {
				ran := f.plainEndpoints(i)
				is.True(!ran[draining.ID]) // the copy has it as ready
				is.True(ran[late.ID])      // the copy lacks it
				is.Equal(f.status(i, fmt.Sprintf("key-%d", round)), http.StatusOK)
			}
		}
		f.checkChanges(round, &version, late)
	}
	for _, i := range f.instances {
		is.Equal(strings.Count(i.log(), "the replica follows its list from now on"), 3)
		is.True(!strings.Contains(i.log(), "answer of another era"))
	}
}

// checkChanges changes the configuration, drains an endpoint and kills a member of a group, and checks that the instances
// follow.
func (f *fixture) checkChanges(round int, version *int, endpoint *hosted.Engine) {
	is := is.New(f.t)
	*version++
	f.platform.Configure(*version, hosted.APIKey)
	endpoint.Drain()
	f.killMember()
	f.add(fmt.Sprintf("new-%d", round), "d1")
	time.Sleep(changeTime)
	for _, i := range f.instances {
		is.Equal(f.status(i, fmt.Sprintf("key-%d", round)), http.StatusUnauthorized)
		is.True(!f.plainEndpoints(i)[endpoint.ID])
		is.True(len(f.platform.Store.Get("mill/instances/"+i.name)) > 0)
	}
	f.await("groups after the restore", func() bool { return f.countHeads() >= 2 })
}

// status returns the status of the answer to a request with a key.
func (f *fixture) status(i *instance, key string) int {
	f.requests++
	resp, err := f.request(i, http.MethodGet, "/lookups/1", fmt.Sprintf("%s-status-%d", i.name, f.requests), key)
	if err != nil {
		f.t.Error(err)
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
