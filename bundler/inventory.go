package bundler

import "amaranthmill/internal/identifier"

// Inventory lists the engines that are deployed in the fleet and can run a bundle.
type Inventory struct {
	FabricDomains []FabricDomain
}

// FabricDomain is a fabric domain with its number of engines.
type FabricDomain struct {
	Name          identifier.FabricDomain
	FailureDomain identifier.FailureDomain
	Engines       int
}
