package claimer

import (
	"context"
	"errors"

	"amaranthmill/storeclient"
)

// perform carries out an action at the platform's service and tells the core how it went.
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
		c.wrote(a.Token, 0, c.remove(ctx, a))
	case ReadClaim:
		c.readClaim(ctx, a)
	}
}

// grantLease asks for a lease.
func (c *Claimer) grantLease(ctx context.Context, a GrantLease) {
	lease, err := c.cfg.Store.Grant(ctx, a.TTL)
	if err != nil {
		c.cfg.Logger.Warn().Err(err).Msg("claimer: no lease for new claims")
		c.step.Submit(LeaseFailed{})
		return
	}
	c.step.Submit(LeaseGranted{Lease: lease})
}

// write stores a record by put.
func (c *Claimer) write(token Token, r Record, put func([]byte) (storeclient.Entry, error)) {
	value, err := r.encode()
	if err != nil {
		c.wrote(token, 0, err)
		return
	}
	entry, err := put(value)
	c.wrote(token, entry.Revision, err)
}

// remove removes a claim. One that is gone already is refused, as one that has changed.
func (c *Claimer) remove(ctx context.Context, a RemoveClaim) error {
	err := c.cfg.Store.Delete(ctx, a.Path, a.Revision)
	var gone *storeclient.NotFoundError
	if errors.As(err, &gone) {
		return &storeclient.ConflictError{Key: a.Path}
	}
	return err
}

// wrote tells the core how a write went. The cause of an unknown one may be any other error.
func (c *Claimer) wrote(token Token, revision uint64, err error) {
	var conflict *storeclient.ConflictError
	var lapsed *storeclient.NotFoundError
	var unknown *storeclient.UnknownError
	switch {
	case err == nil:
		c.step.Submit(Stored{Token: token, Revision: revision})
	case errors.As(err, &conflict):
		c.step.Submit(Refused{Token: token})
	case errors.As(err, &unknown):
		c.step.Submit(Failed{Token: token, MayApply: true})
	case errors.As(err, &lapsed):
		c.step.Submit(LeaseLapsed{Token: token})
	default:
		c.step.Submit(Failed{Token: token})
	}
}

// readClaim reads a claim. One that cannot be read is a failure, so that no call is dispatched over it.
func (c *Claimer) readClaim(ctx context.Context, a ReadClaim) {
	entry, err := c.cfg.Store.Get(ctx, a.Path)
	var gone *storeclient.NotFoundError
	if errors.As(err, &gone) {
		c.step.Submit(Absent{Token: a.Token})
		return
	}
	var r Record
	if err == nil {
		r, err = decodeRecord(a.Path, entry.Value)
	}
	if err != nil {
		c.cfg.Logger.Warn().Str("claim", a.Path).Err(err).Msg("claimer: claim not read")
		c.step.Submit(Failed{Token: a.Token})
		return
	}
	c.step.Submit(Found{Token: a.Token, Record: r, Revision: entry.Revision})
}
