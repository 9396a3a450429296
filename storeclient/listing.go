package storeclient

import (
	"context"
	"net/netip"
	"sync"

	"amaranthmill/internal/identifier"
)

// Kind says what an instance of the platform runs.
type Kind string

// The kinds of instance.
const (
	KindEngine  Kind = "engine"  // a model engine
	KindService Kind = "service" // a plain service
	KindEntry   Kind = "entry"   // an entry instance of this system
)

// State is what the platform's list says about an instance. The list lags.
type State string

// The states of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Listing is one instance of the platform's list.
type Listing struct {
	Name          string                   `json:"name"`
	Kind          Kind                     `json:"kind"`
	Address       netip.AddrPort           `json:"address"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	FabricDomain  identifier.FabricDomain  `json:"fabricDomain"`
	Service       identifier.Service       `json:"service"`
	State         State                    `json:"state"`
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

// Listed returns the platform's list of instances, which lags. A platform that names the
// versions of its list by ETag sends it only when it changed. The caller must not change
// the result. Its error is *UnavailableError.
func (c *Client) Listed(ctx context.Context) ([]Listing, error) {
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
