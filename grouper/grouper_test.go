package grouper_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"amaranthmill/bundler"
	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/prober"
	"amaranthmill/router"
	"amaranthmill/storeclient"
)

// fleet is one failure domain: engines, a platform, and entry instances that each run a prober
// and a grouper.
type fleet struct {
	t        *testing.T
	platform *fakePlatform
	network  fakeNetwork
	engines  []*fakeEngine
	listings []storeclient.Listing
	stops    []func()
	mu       sync.Mutex
	targets  map[identifier.Instance][]router.Target
}

func newFleet(t *testing.T, engines int) *fleet {
	f := &fleet{t: t, platform: newFakePlatform(), network: fakeNetwork{}, targets: map[identifier.Instance][]router.Target{}}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 9000)
		e := &fakeEngine{status: engineStatus{Endpoint: name, ProcessStart: 1, Capacity: 8}}
		f.engines = append(f.engines, e)
		f.network[address.String()] = e
		f.listings = append(f.listings, storeclient.Listing{
			Name: name, Kind: storeclient.KindEngine, Address: address, FailureDomain: "alpine", FabricDomain: "fab", State: storeclient.StateLive,
		})
	}
	return f
}

// start runs an entry instance; stop ends it.
func (f *fleet) start(name identifier.Instance, groups int) {
	client := &http.Client{Transport: f.network}
	var g *grouper.Grouper
	p := prober.New(prober.Config{
		Instance: name, FailureDomain: "alpine", HTTP: client,
		OnReports: func(r []grouper.Report) { g.SetReports(r) },
		OnTargets: func(ts []router.Target) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.targets[name] = ts
		},
	})
	g = grouper.New(grouper.Config{
		Instance: name, Platform: f.platform, HTTP: client, OnRecords: p.SetRecords,
		Policy: grouper.Policy{FailureDomain: "alpine"},
	})
	g.SetBundle(&bundler.Bundle{Version: 1, Pools: []bundler.Pool{{
		Name: "guides", Base: "m", Version: "1", GroupSize: 4,
		Groups: []bundler.Placement{{FailureDomain: "alpine", Count: groups}},
	}}})
	p.SetListings(f.listings)
	ctx, cancel := context.WithCancel(f.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.Run(ctx) })
	wg.Go(func() { _ = g.Run(ctx) })
	f.stops = append(f.stops, func() { cancel(); wg.Wait() })
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
}

// ready returns the targets of an instance that are ready and not leaving.
func (f *fleet) ready(name identifier.Instance) []router.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []router.Target
	for _, t := range f.targets[name] {
		if t.Ready && !t.Leaving {
			out = append(out, t)
		}
	}
	return out
}

// TestGroupsForm runs two instances with the processes that drive the cores. Groups form.
// After a member stops responding, its group is no ready target within the time bound, and the
// free endpoint replaces the member.
func TestGroupsForm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 9)
		f.start("i1", 2)
		f.start("i2", 2)
		defer f.stop()
		time.Sleep(30 * time.Second)
		is.Equal(len(f.ready("i1")), 2)
		is.Equal(len(f.ready("i2")), 2)

		f.engines[0].set(func(e *fakeEngine) { e.unresponsive = true })
		time.Sleep(2100 * time.Millisecond) // prober.Config.FreshFor and TickInterval
		synctest.Wait()
		for _, target := range slices.Concat(f.ready("i1"), f.ready("i2")) {
			is.True(!slices.Contains(target.Members, "e0")) // no dispatch to the group of the unresponsive member
		}
		time.Sleep(4 * time.Minute)
		is.Equal(len(f.ready("i1")), 2)
		is.Equal(len(f.ready("i2")), 2)
	})
}

// TestLostAnswerAndStop checks that a group is repaired although the answer to the write of
// the repaired record is lost, and that stopped instances release their leases.
func TestLostAnswerAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5)
		f.start("i1", 1)
		f.start("i2", 1)
		time.Sleep(30 * time.Second)
		is.Equal(len(f.ready("i1")), 1)

		f.platform.set(func(p *fakePlatform) { p.loseNextAnswer = true })
		f.engines[0].set(func(e *fakeEngine) { e.unresponsive = true })
		time.Sleep(10 * time.Second)
		is.Equal(len(f.ready("i1")), 1)
		is.True(!slices.Contains(f.ready("i1")[0].Members, "e0"))
		is.True(!f.platform.loseNextAnswer) // the answer to the write was lost

		f.stop()
		leases, err := f.platform.List(t.Context(), "leases/")
		is.NoErr(err)
		is.Equal(len(leases), 0)
	})
}
