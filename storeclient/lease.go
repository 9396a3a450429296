package storeclient

import (
	"context"
	"time"
)

// LeaseID identifies a lease of the platform's store. The zero value means "no lease".
type LeaseID string

// Grant returns a new lease that expires ttl after its last renewal. Its errors are
// *UnavailableError and *UnknownError; a lease whose answer was lost expires unused.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	call := Call{Operation: OperationGrant, TTL: ttl}
	a, _, err := c.callWithRetries(ctx, call)
	if err != nil {
		return "", err
	}
	if a.Result != ResultOK || a.Lease == "" {
		return "", unexpectedAnswer(call, a)
	}
	return scopedLease(a.Lease, a.era), nil
}

// Renew restarts the time to live of the lease. It makes only one attempt, so that its caller knows
// when the successful attempt was sent. Its errors are *NotFoundError for a lease that has expired or is of an era that has ended,
// *UnavailableError and *UnknownError.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	id, era := splitLease(lease)
	call := Call{Operation: OperationRenew, Key: string(lease), Lease: id, Era: era}
	a, err := c.attempt(ctx, call)
	if isEnded(err) {
		return &NotFoundError{Key: call.Key}
	}
	return leaseError(call, a, err)
}

// Revoke ends the lease and removes its keys. Its errors are *UnavailableError and
// *UnknownError; a lease that has already expired, or is of an era that has ended,
// is not an error.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	id, era := splitLease(lease)
	call := Call{Operation: OperationRevoke, Key: string(lease), Lease: id, Era: era}
	a, _, err := c.callWithRetries(ctx, call)
	if isEnded(err) || err == nil && a.Result == ResultNoLease {
		return nil
	}
	return leaseError(call, a, err)
}

// leaseError returns the error of a lease call with the given answer and error.
func leaseError(call Call, a answer, err error) error {
	switch {
	case err != nil:
		return err
	case a.Result == ResultNoLease:
		return &NotFoundError{Key: call.Key}
	case a.Result != ResultOK:
		return unexpectedAnswer(call, a)
	}
	return nil
}
