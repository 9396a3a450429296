package claimer

import (
	"context"
	"errors"

	"amaranthmill/storeclient"
)

// perform performs an action at the platform's store and submits the outcome to the core.
func (c *Claimer) perform(a Action) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Timeout)
	defer cancel()
	switch a := a.(type) {
	case GrantLease:
		c.grantLease(ctx, a)
	case CreateClaim:
		c.write(a.Token, a.Record, func(value []byte) (storeclient.Entry, error) {
			return c.cfg.Store.Create(ctx, a.Path, value, a.Record.Lease)
		})
	case SwapClaim:
		c.write(a.Token, a.Record, func(value []byte) (storeclient.Entry, error) {
			return c.cfg.Store.SwapLeased(ctx, a.Path, a.Revision, value, a.Record.Lease)
		})
	case RemoveClaim:
		c.submitWriteResult(a.Token, 0, c.remove(ctx, a))
	case ReadClaim:
		c.readClaim(ctx, a)
	}
}

// grantLease requests a lease for new claims.
func (c *Claimer) grantLease(ctx context.Context, a GrantLease) {
	lease, err := c.cfg.Store.Grant(ctx, a.TTL)
	if err != nil {
		c.cfg.Logger.Warn().Err(err).Msg("claimer: lease for new claims not granted; rejecting the calls that wait for it")
		c.step.Submit(LeaseFailed{})
		return
	}
	c.step.Submit(LeaseGranted{Lease: lease})
}

// write encodes a record and stores it with put.
func (c *Claimer) write(token Token, r Record, put func([]byte) (storeclient.Entry, error)) {
	value, err := r.encode()
	if err != nil {
		c.submitWriteResult(token, 0, err)
		return
	}
	entry, err := put(value)
	c.submitWriteResult(token, entry.Revision, err)
}

// remove removes a claim. A claim that no longer exists is reported as a conflict, like a claim that has changed.
func (c *Claimer) remove(ctx context.Context, a RemoveClaim) error {
	err := c.cfg.Store.Delete(ctx, a.Path, a.Revision)
	var notFound *storeclient.NotFoundError
	if errors.As(err, &notFound) {
		return &storeclient.ConflictError{Key: a.Path}
	}
	return err
}

// submitWriteResult submits the outcome of a write to the core. An *UnknownError can have any other
// error as its cause; its case precedes *NotFoundError so that such a write does not pass for one that
// had no effect.
func (c *Claimer) submitWriteResult(token Token, revision uint64, err error) {
	var conflict *storeclient.ConflictError
	var leaseExpired *storeclient.NotFoundError
	var unknown *storeclient.UnknownError
	switch {
	case err == nil:
		c.step.Submit(Stored{Token: token, Revision: revision})
	case errors.As(err, &conflict):
		c.step.Submit(Conflicted{Token: token})
	case errors.As(err, &unknown):
		c.step.Submit(Failed{Token: token, MayApply: true})
	case errors.As(err, &leaseExpired):
		c.step.Submit(LeaseExpired{Token: token})
	default:
		c.step.Submit(Failed{Token: token})
	}
}

// readClaim reads a claim. A claim that cannot be decoded counts as a failed read, so that no call
// is dispatched in spite of it.
func (c *Claimer) readClaim(ctx context.Context, a ReadClaim) {
	entry, err := c.cfg.Store.Get(ctx, a.Path)
	var notFound *storeclient.NotFoundError
	if errors.As(err, &notFound) {
		c.step.Submit(Absent{Token: a.Token})
		return
	}
	var r Record
	if err == nil {
		r, err = decodeRecord(a.Path, entry.Value)
	}
	if err != nil {
		c.cfg.Logger.Warn().Str("claim", a.Path).Err(err).Msg("claimer: claim could not be read")
		c.step.Submit(Failed{Token: a.Token})
		return
	}
	c.step.Submit(Found{Token: a.Token, Record: r, Revision: entry.Revision})
}
