package bundler

import (
	"amaranthmill/internal/identifier"
	"amaranthmill/keeper"
)

// Inventory is what the fleet has to run a bundle on.
type Inventory struct {
	FabricDomains []FabricDomain
}

// FabricDomain is the engines of one fabric domain.
type FabricDomain struct {
	Name          identifier.FabricDomain
	FailureDomain identifier.FailureDomain
	Engines       int
}

// InventoryOf counts the engines of the platform's list by fabric domain, those that
// leave included, since others take their place.
func InventoryOf(listed []keeper.Listing) *Inventory {
	inv := &Inventory{}
	at := map[FabricDomain]int{}
	for _, l := range listed {
		if l.Kind != keeper.KindEngine {
			continue
		}
		domain := FabricDomain{Name: l.FabricDomain, FailureDomain: l.FailureDomain}
		i, ok := at[domain]
		if !ok {
			i = len(inv.FabricDomains)
			at[domain] = i
			inv.FabricDomains = append(inv.FabricDomains, domain)
		}
		inv.FabricDomains[i].Engines++
	}
	return inv
}
