package storeclient

import (
	"context"
	"net/netip"
	"sync"

	"amaranthmill/internal/identifier"
)

// InstanceKind says what an instance of the platform runs.
type InstanceKind string

// The kinds of instance.
const (
	KindEngine  InstanceKind = "engine"  // a model engine
	KindService InstanceKind = "service" // a plain service
	KindEntry   InstanceKind = "entry"   // an entry instance of this system
)

// InstanceState is what the platform's list says about an instance. The list lags.
type InstanceState string

// The states of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Listing is one instance of the platform's list.
type Listing struct {
	Name          string                   `json:"name"`
	Kind          InstanceKind             `json:"kind"`
	Address       netip.AddrPort           `json:"address"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	FabricDomain  identifier.FabricDomain  `json:"fabricDomain"`
	Service       identifier.Service       `json:"service"`
	State         InstanceState            `json:"state"`
	Accelerators  int                      `json:"accelerators"`
}

// listingsWire is the answer to a look at the list.
type listingsWire struct {
	Instances []Listing `json:"instances"`
}

// list is the platform's list as it was last answered.
type list struct {
	mu       sync.Mutex
	etag     string
	listings []Listing
}

// ListInstances returns the platform's list of instances, which lags. A platform that names the
// versions of its list by ETag sends it only when it changed. The caller must not change
// the result. Its error is *UnavailableError.
func (c *Client) ListInstances(ctx context.Context) ([]Listing, error) {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	call := Call{Operation: OperationInstances, ETag: c.list.etag}
	a, _, err := c.retry(ctx, call)
	if err != nil {
		return nil, err
	}
	if a.Result == ResultUnchanged {
		return c.list.listings, nil
	}
	if a.Result != ResultOK {
		return nil, unexpected(call, a)
	}
	c.list.etag, c.list.listings = a.etag, a.Instances
	return a.Instances, nil
}
