package targetlister_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/scripter"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
	"amaranthmill/targetlister"
)

// TestRestoredDomainIsCold checks that the endpoints of a failure domain to which requests may be sent again count as cold for the
// service's cold time, that a longer time in an entry holds, and that services without a cold limit and other domains are left
// alone. Engines are cold after an evacuation, and their entries may not say so yet.
func TestRestoredDomainIsCold(t *testing.T) {
	is := is.New(t)
	l := targetlister.New()
	l.SetServices([]resolver.Service{{Name: "guides", Cold: resolver.ColdProfile{Duration: 3 * time.Second, PerSecond: 15}}, {Name: "ledger", Cold: resolver.ColdProfile{Duration: 3 * time.Second}}})
	longer := scripter.Start.Add(5 * time.Second)
	l.Apply(endpointlister.Changes{Changed: []endpointlister.Endpoint{
		{ID: "a", Service: "guides", FailureDomain: "north", Slots: 1},
		{ID: "b", Service: "guides", FailureDomain: "north", Slots: 1, Warmup: 5 * time.Second, WarmAt: longer},
		{ID: "c", Service: "guides", FailureDomain: "south", Slots: 1, WarmAt: longer},
		{ID: "d", Service: "ledger", FailureDomain: "north", Slots: 1, WarmAt: longer},
	}})
	until := scripter.Start.Add(3 * time.Second)
	changed := l.SetRestored("north", scripter.Start)
	is.Equal(len(changed.Removed), 0)
	is.Equal(ends(changed), map[string]time.Time{"a": until, "b": longer})
	is.Equal(changed.Changed[0].ColdLimit, 15.0)
	is.Equal(changed.Changed[0].RestoredUntil, until)                // which other instances are told
	is.Equal(len(l.SetRestored("north", scripter.Start).Changed), 0) // nothing new

	shown := l.Apply(endpointlister.Changes{Changed: []endpointlister.Endpoint{
		{ID: "b", Service: "guides", FailureDomain: "north", Slots: 1}, // its entry says no more that it is cold
		{ID: "e", Service: "guides", FailureDomain: "north", Slots: 1}, // new
		{ID: "f", Service: "ledger", FailureDomain: "north", Slots: 1, WarmAt: longer},
	}})
	is.Equal(ends(shown), map[string]time.Time{"b": until, "e": until, "f": {}})

	later := scripter.Start.Add(time.Minute)
	is.Equal(ends(l.SetRestored("north", later)), map[string]time.Time{"a": later.Add(3 * time.Second), "b": later.Add(3 * time.Second), "e": later.Add(3 * time.Second)})
}

// ends returns the ends of the cold times of changed targets.
func ends(c scheduler.TargetsChanged) map[string]time.Time {
	out := map[string]time.Time{}
	for _, t := range c.Changed {
		out[string(t.ID)] = t.ColdUntil
	}
	return out
}
