package bundler

import "amaranthmill/internal/identifier"

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
