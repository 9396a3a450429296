package groupformer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// addLendingGroup adds g with an engine in each of the fabric domains, which also has the model "small" staged.
func addLendingGroup(f *Former, g group, draining bool, failureDomain identifier.FailureDomain, fabricDomains []identifier.FabricDomain) {
	g.name, g.epoch = identifier.Group(fmt.Sprint("g", len(f.groups)+1)), 1
	for rank, d := range fabricDomains {
		e := &engine{listed: true, Endpoint: endpointlister.Endpoint{
			ID: identifier.Endpoint(fmt.Sprintf("%s-%d", g.name, rank)), Service: "guides", FailureDomain: failureDomain, FabricDomain: d, Models: []string{"large"}, Staged: []string{"small"}, Draining: draining,
			Membership: endpointlister.Membership{Group: g.name, Epoch: 1, Rank: rank},
		}}
		f.engines[e.ID] = e
		g.members = append(g.members, e.ID)
	}
	f.groups[g.name] = &g
}

// TestLoanLeavesServingGroups guards against a loan of the groups that serve a model while its other groups still form or drain:
// what serves must meet its present need, or its allocation if that is less, and one group must serve in any case.
func TestLoanLeavesServingGroups(t *testing.T) {
	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	large, small := resolver.Model{Name: "large", GroupSize: 2, Share: 0.5}, resolver.Model{Name: "small", GroupSize: 1, Share: 0.5}
	for name, c := range map[string]struct {
		serving, forming, draining, spanning int // groups of large
		present                              float64
		allocated                            int
		evacuated                            bool // the draining groups are in an evacuated domain instead
		want                                 bool
	}{
		"last serving group beside forming ones":                         {serving: 1, forming: 3, present: 1, allocated: 1},
		"last serving group beside draining ones":                        {serving: 1, draining: 3, present: 0.4, allocated: 0},
		"last serving group without allocation":                          {serving: 1, present: 0, allocated: 0},
		"last group, which spans fabric domains":                         {spanning: 1, present: 0, allocated: 0},
		"last group in service beside an evacuated domain":               {spanning: 1, draining: 1, evacuated: true, present: 0, allocated: 0},
		"serving groups that meet the allocation only with forming ones": {serving: 3, forming: 2, present: 4, allocated: 3},
		"serving groups that meet the present need":                      {serving: 4, forming: 1, present: 2.5, allocated: 3, want: true},
		"serving groups that meet a smaller allocation":                  {serving: 4, present: 6, allocated: 3, want: true},
		"spanning group beside a serving one":                            {serving: 1, spanning: 1, present: 1, allocated: 1, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := New(Config{})
			f.services["guides"] = &resolver.EngineProfile{Models: []resolver.Model{large, small}}
			add := func(groups int, p phase, draining bool, failureDomain identifier.FailureDomain, fabricDomains ...identifier.FabricDomain) {
				for range groups {
					addLendingGroup(f, group{model: large, service: "guides", phase: p}, draining, failureDomain, fabricDomains)
				}
			}
			add(c.serving, phaseServing, false, "z1", "a", "a")
			add(c.forming, phaseForming, false, "z1", "a", "a")
			add(c.spanning, phaseServing, false, "z1", "a", "b")
			if c.evacuated {
				add(c.draining, phaseServing, false, "z0", "c", "c")
				f.setEvacuated([]identifier.FailureDomain{"z0"})
			} else {
				add(c.draining, phaseServing, true, "z1", "a", "a")
			}
			a := &allocation{
				groups: map[string]int{"large": c.allocated, "small": 3},
				needs:  []need{{model: large, present: c.present, loss: c.present, jump: c.present}, {model: small, present: 3, loss: 3, jump: 3}},
			}
			f.allocations["guides"] = a
			domains := f.domains()
			supplies := f.supplies(domains)
			lent := false
			for _, d := range domains {
				if f.evacuated[d.failureDomain] {
					continue
				}
				_, ok := f.findLoan(now, a, d, supplies[supplyKey{"guides", d.failureDomain}], small)
				lent = lent || ok
			}
			is.Equal(lent, c.want)
		})
	}
}
