package keeper

import (
	"context"
	"net/http"
	"time"
)

// LeaseID names a lease of the platform's service. The zero value means "no lease".
type LeaseID string

// grantWire is the body of a grant.
type grantWire struct {
	TTL string `json:"ttl"`
}

// leaseWire is the answer to a grant.
type leaseWire struct {
	Lease LeaseID `json:"lease"`
}

// Grant returns a new lease that lapses ttl after its last renewal. Its errors are
// *UnavailableError and *UnknownError; a lease granted by a lost answer lapses unused.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	r := request{kind: "grant", method: http.MethodPost, path: "/leases", body: grantWire{TTL: ttl.String()}, write: true}
	a, _, err := c.retry(ctx, r)
	if err != nil {
		return "", err
	}
	var wire leaseWire
	if err := a.decode(&wire); err != nil || a.status != http.StatusOK || wire.Lease == "" {
		return "", unexpected(r, a, err)
	}
	return wire.Lease, nil
}

// Renew starts the lease's time anew. It makes one attempt, so that its caller can tell
// when the attempt that succeeded was sent. Its errors are *NotFoundError for a lapsed lease,
// *UnavailableError and *UnknownError.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	r := leaseRequest("renew", http.MethodPost, lease)
	a, err := c.try(ctx, r)
	return leaseError(r, a, err)
}

// Revoke ends the lease and removes its keys. Its errors are *UnavailableError and
// *UnknownError; a lease that has lapsed already is no error.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	r := leaseRequest("revoke", http.MethodDelete, lease)
	a, _, err := c.retry(ctx, r)
	if err == nil && a.status == http.StatusNotFound {
		return nil
	}
	return leaseError(r, a, err)
}

// leaseRequest is a call about lease.
func leaseRequest(kind, method string, lease LeaseID) request {
	return request{kind: kind, key: string(lease), method: method, path: "/leases/" + string(lease), write: true}
}

// leaseError turns the answer to a lease call into its error.
func leaseError(r request, a answer, err error) error {
	switch {
	case err != nil:
		return err
	case a.status == http.StatusNotFound:
		return &NotFoundError{Key: r.key}
	case a.status != http.StatusOK:
		return unexpected(r, a, nil)
	}
	return nil
}
