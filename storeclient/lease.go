package storeclient

import (
	"context"
	"time"
)

// LeaseID names a lease of the platform's service. The zero value means "no lease".
type LeaseID string

// Grant returns a new lease that lapses ttl after its last renewal. Its errors are
// *UnavailableError and *UnknownError; a lease granted by a lost answer lapses unused.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	call := Call{Operation: OperationGrant, TTL: ttl}
	a, _, err := c.retry(ctx, call)
	if err != nil {
		return "", err
	}
	if a.Result != ResultOK || a.Lease == "" {
		return "", unexpected(call, a)
	}
	return a.Lease, nil
}

// Renew starts the lease's time anew. It makes one attempt, so that its caller can tell
// when the attempt that succeeded was sent. Its errors are *NotFoundError for a lapsed lease,
// *UnavailableError and *UnknownError.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	call := Call{Operation: OperationRenew, Key: string(lease), Lease: lease}
	a, err := c.try(ctx, call)
	return leaseError(call, a, err)
}

// Revoke ends the lease and removes its keys. Its errors are *UnavailableError and
// *UnknownError; a lease that has lapsed already is no error.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	call := Call{Operation: OperationRevoke, Key: string(lease), Lease: lease}
	a, _, err := c.retry(ctx, call)
	if err == nil && a.Result == ResultNoLease {
		return nil
	}
	return leaseError(call, a, err)
}

// leaseError turns the answer to a lease call into its error.
func leaseError(call Call, a answer, err error) error {
	switch {
	case err != nil:
		return err
	case a.Result == ResultNoLease:
		return &NotFoundError{Key: call.Key}
	case a.Result != ResultOK:
		return unexpected(call, a)
	}
	return nil
}
