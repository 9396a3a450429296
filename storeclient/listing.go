package storeclient

import (
	"context"
	"net/netip"
	"sync"

	"amaranthmill/internal/identifier"
)

// InstanceKind is the kind of program that an instance of the platform runs.
type InstanceKind string

// The kinds of instance.
const (
	KindEngine  InstanceKind = "engine"  // a model engine
	KindService InstanceKind = "service" // a plain service
	KindEntry   InstanceKind = "entry"   // an entry instance of this system
)

// InstanceState is the state of an instance according to the platform's list, which lags behind the
// actual state.
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

// listingsWire is the answer to a query of the list.
type listingsWire struct {
	Instances []Listing `json:"instances"`
}

// listCache holds the last answer to a query of the platform's list.
type listCache struct {
	mu       sync.Mutex
	etag     string
	listings []Listing
}

// ListInstances returns the platform's list of instances, which lags behind their state. If the
// platform marks the versions of the list with an ETag, it sends the list only after a change. The
// caller must not modify the result. Its error is *UnavailableError.
func (c *Client) ListInstances(ctx context.Context) ([]Listing, error) {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	call := Call{Operation: OperationInstances, ETag: c.list.etag}
	a, _, err := c.callWithRetries(ctx, call)
	if err != nil {
		return nil, err
	}
	if a.Result == ResultUnchanged {
		return c.list.listings, nil
	}
	if a.Result != ResultOK {
		return nil, unexpectedAnswer(call, a)
	}
	c.list.etag, c.list.listings = a.etag, a.Instances
	return a.Instances, nil
}
