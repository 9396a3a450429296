package main

import (
	"fmt"
	"net/netip"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/modeler"
)

const (
	groupSize = 4 // members of a replica group
	batchSize = 8 // members of one of a lower priority
)

// user is one of the two users' fleets.
type user struct {
	name    string
	domains []string
	fabrics []int // engines of each fabric domain of a failure domain
	groups  int   // replica groups of a failure domain
	batch   int   // replica groups of a failure domain of a lower priority, each of batchSize
	weights bundler.RepairWeights
}

// users are fleets of 60 engines. Caprock keeps two engines of each of two fabric domains free,
// Hedgerow four of the one. hedgerow-full is Hedgerow's with every engine in a group; mixed
// has groups of two sizes and priorities and nothing free, so that the weights have a choice.
var users = []user{
	{
		name: "caprock", domains: []string{"fort-davis", "alpine", "marfa"}, fabrics: []int{10, 10}, groups: 4,
		weights: bundler.RepairWeights{GroupDowntime: 4, StrandedAccelerators: 1},
	},
	{
		name: "hedgerow", domains: []string{"midlands-a", "midlands-b", "midlands-c"}, fabrics: []int{20}, groups: 4,
		weights: bundler.RepairWeights{GroupDowntime: 1, StrandedAccelerators: 4},
	},
	{
		name: "hedgerow-full", domains: []string{"midlands-a", "midlands-b", "midlands-c"}, fabrics: []int{12, 8}, groups: 5,
		weights: bundler.RepairWeights{GroupDowntime: 1, StrandedAccelerators: 4},
	},
	{
		name: "mixed", domains: []string{"midlands-a", "midlands-b", "midlands-c"}, fabrics: []int{20}, groups: 3, batch: 1,
		weights: bundler.RepairWeights{GroupDowntime: 1, StrandedAccelerators: 1},
	},
}

func fabricName(domain string, i int) string { return fmt.Sprintf("%s.%d", domain, i) }

func (u user) fabricNames() []string {
	var out []string
	for _, d := range u.domains {
		for i := range u.fabrics {
			out = append(out, fabricName(d, i))
		}
	}
	return out
}

func (u user) engineNames() []string {
	var out []string
	for _, d := range u.domains {
		for _, e := range u.engines(d) {
			out = append(out, string(e.Name))
		}
	}
	return out
}

// engines returns the engines of a failure domain, all running.
func (u user) engines(domain string) []*modeler.Engine {
	var out []*modeler.Engine
	for i, n := range u.fabrics {
		for range n {
			k := len(out)
			out = append(out, &modeler.Engine{
				Name: identifier.Endpoint(fmt.Sprintf("%s/%02d", domain, k)), FabricDomain: identifier.FabricDomain(fabricName(domain, i)),
				Address:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(k)}), 9000),
				ProcessStart: 1, Running: true, Reachable: true, ChecksFence: true,
			})
		}
	}
	return out
}

// planned returns how many endpoints of a fabric domain are free if every group is whole.
func (u user) planned(fabric int) int {
	return u.fabrics[fabric] - u.planGroups(fabric)*groupSize - u.batch*batchSize
}

// planGroups returns how many groups a fabric domain has if every group is whole.
func (u user) planGroups(fabric int) int {
	return min(u.fabrics[fabric]/groupSize, u.groups/len(u.fabrics)+u.groups%len(u.fabrics))
}

func (u user) bundle(domain string, w bundler.RepairWeights) *bundler.Bundle {
	placed := func(n int) []bundler.Placement {
		return []bundler.Placement{{FailureDomain: identifier.FailureDomain(domain), Count: n}}
	}
	pools := []bundler.Pool{{Name: "model", Base: "m", Version: "1", GroupSize: groupSize, Priority: 2, Groups: placed(u.groups)}}
	if u.batch > 0 {
		pools = append(pools, bundler.Pool{Name: "batch", Base: "m", Version: "1", GroupSize: batchSize, Priority: 1, Groups: placed(u.batch)})
	}
	return &bundler.Bundle{Version: 1, Repair: w, Pools: pools}
}
