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
	batchSize = 8 // members of a replica group of the lower priority
)

// user is a fleet of one of the two users.
type user struct {
	name        string
	domains     []string
	fabricSizes []int // number of engines of each fabric domain in a failure domain
	groupCount  int   // replica groups in a failure domain
	batchCount  int   // replica groups of the lower priority in a failure domain, with batchSize members each
	weights     bundler.RepairWeights
}

// users lists fleets of 60 engines. In each failure domain, caprock keeps two engines idle in each
// of its two fabric domains, and hedgerow four in its only one. hedgerow-full is Hedgerow's fleet
// with every engine in a group. mixed has groups of two sizes and priorities and no idle engine, so
// that the weights affect the choice of repairs.
var users = []user{
	{
		name: "caprock", domains: []string{"fort-davis", "alpine", "marfa"}, fabricSizes: []int{10, 10}, groupCount: 4,
		weights: bundler.RepairWeights{GroupDowntime: 4, StrandedAccelerators: 1},
	},
	{
		name: "hedgerow", domains: []string{"midlands-a", "midlands-b", "midlands-c"}, fabricSizes: []int{20}, groupCount: 4,
		weights: bundler.RepairWeights{GroupDowntime: 1, StrandedAccelerators: 4},
	},
	{
		name: "hedgerow-full", domains: []string{"midlands-a", "midlands-b", "midlands-c"}, fabricSizes: []int{12, 8}, groupCount: 5,
		weights: bundler.RepairWeights{GroupDowntime: 1, StrandedAccelerators: 4},
	},
	{
		name: "mixed", domains: []string{"midlands-a", "midlands-b", "midlands-c"}, fabricSizes: []int{20}, groupCount: 3, batchCount: 1,
		weights: bundler.RepairWeights{GroupDowntime: 1, StrandedAccelerators: 1},
	},
}

func fabricDomainName(domain string, i int) string { return fmt.Sprintf("%s.%d", domain, i) }

func (u user) fabricDomainNames() []string {
	var out []string
	for _, d := range u.domains {
		for i := range u.fabricSizes {
			out = append(out, fabricDomainName(d, i))
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

// engines returns the engine models of a failure domain. Every process is running.
func (u user) engines(domain string) []*modeler.Engine {
	var out []*modeler.Engine
	for i, n := range u.fabricSizes {
		for range n {
			k := len(out)
			out = append(out, &modeler.Engine{
				Name: identifier.Endpoint(fmt.Sprintf("%s/%02d", domain, k)), FabricDomain: identifier.FabricDomain(fabricDomainName(domain, i)),
				Address:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(k)}), 9000),
				ProcessStart: 1, Running: true, Reachable: true, ChecksFence: true,
			})
		}
	}
	return out
}

// plannedIdle returns how many endpoints of a fabric domain are idle if every group is complete.
func (u user) plannedIdle(fabric int) int {
	return u.fabricSizes[fabric] - u.plannedGroups(fabric)*groupSize - u.batchCount*batchSize
}

// plannedGroups returns how many groups of the higher priority a fabric domain has if every group is
// complete.
func (u user) plannedGroups(fabric int) int {
	return min(u.fabricSizes[fabric]/groupSize, u.groupCount/len(u.fabricSizes)+u.groupCount%len(u.fabricSizes))
}

func (u user) bundle(domain string, w bundler.RepairWeights) *bundler.Bundle {
	placements := func(n int) []bundler.Placement {
		return []bundler.Placement{{FailureDomain: identifier.FailureDomain(domain), Count: n}}
	}
	pools := []bundler.Pool{{Name: "model", Base: "m", Version: "1", GroupSize: groupSize, Priority: 2, Groups: placements(u.groupCount)}}
	if u.batchCount > 0 {
		pools = append(pools, bundler.Pool{Name: "batch", Base: "m", Version: "1", GroupSize: batchSize, Priority: 1, Groups: placements(u.batchCount)})
	}
	return &bundler.Bundle{Version: 1, Repair: w, Pools: pools}
}
