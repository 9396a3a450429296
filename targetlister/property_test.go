package targetlister_test

import (
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
	"amaranthmill/targetlister"
)

// Sizes of the test's lists. They are small, so that endpoints often meet in groups.
const (
	endpointCount = 9
	groupCount    = 3
	epochCount    = 2
)

// drawEndpoint draws the entry of an endpoint of the plain service or of an engine, in a group or not.
func drawEndpoint(t *rapid.T) endpointlister.Endpoint {
	n := rapid.IntRange(0, endpointCount-1).Draw(t, "endpoint")
	e := endpointlister.Endpoint{
		FailureDomain: identifier.FailureDomain(fmt.Sprintf("z%d", n%3)),
		ID:            identifier.Endpoint(fmt.Sprintf("e%d", n)), Service: "ledger", Slots: rapid.IntRange(1, 2).Draw(t, "slots"), Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 9000), ProcessStart: identifier.ProcessStart(rapid.IntRange(1, 2).Draw(t, "start")),
	}
	if n < 2 {
		return e
	}
	e.Service, e.FabricDomain = "guides", identifier.FabricDomain(fmt.Sprintf("f%d", n%2))
	if rapid.IntRange(0, 5).Draw(t, "model") > 0 {
		e.Models = []string{rapid.SampledFrom([]string{"large", "small", "unknown"}).Draw(t, "name")}
	}
	if rapid.IntRange(0, 3).Draw(t, "member") > 0 {
		e.Membership = endpointlister.Membership{
			Group: identifier.Group(fmt.Sprintf("g%d", rapid.IntRange(1, groupCount).Draw(t, "group"))), Epoch: identifier.Epoch(rapid.IntRange(1, epochCount).Draw(t, "epoch")),
			Rank: n, State: endpointlister.MemberState(rapid.IntRange(1, 5).Draw(t, "state")),
		}
	}
	return e
}

// drawDomains draws the evacuated failure domains.
func drawDomains(t *rapid.T) []identifier.FailureDomain {
	var out []identifier.FailureDomain
	for n := range 3 {
		if rapid.Bool().Draw(t, "evacuated") {
			out = append(out, identifier.FailureDomain(fmt.Sprintf("z%d", n)))
		}
	}
	return out
}

var services = []resolver.Service{
	{Name: "ledger"},
	{Name: "guides", Engine: &resolver.EngineProfile{Models: []resolver.Model{{Name: "large", GroupSize: 3}, {Name: "small", GroupSize: 2}}}},
}

// rebuild returns the targets of a list that is derived from nothing.
func rebuild(known []resolver.Service, evacuated []identifier.FailureDomain, list map[identifier.Endpoint]endpointlister.Endpoint) map[identifier.Endpoint]scheduler.Target {
	l := targetlister.New()
	l.SetEvacuated(evacuated)
	l.SetServices(known)
	out := map[identifier.Endpoint]scheduler.Target{}
	for _, t := range l.Apply(endpointlister.Changes{Complete: true, Changed: slices.Collect(maps.Values(list))}).Changed {
		out[t.ID] = t
	}
	return out
}

// TestTargetsFollowList checks that the targets that result from the changes of a list are those of the
// list as a whole, after any series of entries that are written and removed, outages of the store, evacuations,
// and configurations, in batches of any size.
func TestTargetsFollowList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := scripter.Start
		entries, targets := endpointlister.New(endpointlister.Config{}), targetlister.New()
		var collector endpointlister.Collector
		list, got := map[identifier.Endpoint]endpointlister.Endpoint{}, map[identifier.Endpoint]scheduler.Target{}
		var known []resolver.Service
		var evacuated []identifier.FailureDomain
		apply := func(c scheduler.TargetsChanged) {
			for _, id := range c.Removed {
				delete(got, id)
			}
			for _, target := range c.Changed {
				got[target.ID] = target
			}
		}
		step := func(e endpointlister.Event) {
			for _, a := range entries.Step(now, e) {
				collector.Add(a)
				switch a := a.(type) {
				case endpointlister.EndpointListed:
					list[a.Endpoint.ID] = a.Endpoint
				case endpointlister.EndpointDelisted:
					delete(list, a.ID)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0:
				step(endpointlister.StoreLost{})
			case 1:
				step(endpointlister.StoreRegained{})
			case 2:
				step(endpointlister.Ticked{})
			case 3:
				known = services[:rapid.IntRange(0, len(services)).Draw(t, "services")]
				apply(targets.SetServices(known))
			case 10:
				evacuated = drawDomains(t)
				apply(targets.SetEvacuated(evacuated))
			case 4, 5:
				step(endpointlister.EntryRemoved{ID: drawEndpoint(t).ID})
			default:
				step(endpointlister.EntryWritten{Endpoint: drawEndpoint(t)})
			}
			if rapid.Bool().Draw(t, "publish") {
				continue
			}
			if changes, ok := collector.Take(); ok {
				apply(targets.Apply(changes))
			}
			if want := rebuild(known, evacuated, list); !reflect.DeepEqual(got, want) {
				t.Fatalf("targets %v, want %v", got, want)
			}
		}
	})
}
