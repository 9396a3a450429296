package claimer

import (
	"time"

	"amaranthmill/storeclient"
)

// leaseTTL is the life of a lease for claims: a claim made at the end of the time for
// which the lease is shared still outlives the acceptance of its key by every clock.
func (l Limits) leaseTTL() time.Duration {
	return l.Window + 2*l.ClockSkew + l.LeaseShared
}

// createLeased writes the claim of cl with the present lease, or asks for one first.
func (c *Core) createLeased(now time.Time, cl *claim) []Action {
	if c.lease != "" && now.Sub(c.leaseFrom) < c.limits.LeaseShared {
		cl.record.Lease = c.lease
		return c.create(cl)
	}
	cl.phase = phaseLease
	if c.granting {
		return nil
	}
	c.granting = true
	c.lease = ""
	c.leaseFrom = now
	return []Action{GrantLease{TTL: c.limits.leaseTTL()}}
}

// leaseGranted writes the claims that waited for the lease. Its time counts from when it was asked for.
func (c *Core) leaseGranted(now time.Time, lease storeclient.LeaseID) []Action {
	c.granting = false
	c.lease = lease
	var acts []Action
	for _, cl := range c.waiting() {
		if cl.left || !now.Before(cl.sendBefore) {
			acts = append(acts, c.giveUp(cl)...)
			continue
		}
		cl.record.Lease = lease
		acts = append(acts, c.create(cl)...)
	}
	return acts
}

// leaseFailed refuses the calls that waited for the lease.
func (c *Core) leaseFailed() []Action {
	c.granting = false
	c.lease = ""
	var acts []Action
	for _, cl := range c.waiting() {
		acts = append(acts, c.giveUp(cl)...)
	}
	return acts
}

// leaseLapsed refuses cl, and lets the next call ask for a new lease.
func (c *Core) leaseLapsed(cl *claim) []Action {
	if c.lease == cl.record.Lease {
		c.lease = ""
	}
	return c.failed(cl, false)
}

// waiting returns the claims that wait for a lease, by arrival.
func (c *Core) waiting() []*claim {
	var found []*claim
	for _, token := range c.order {
		if cl, ok := c.claims[token]; ok && cl.phase == phaseLease {
			found = append(found, cl)
		}
	}
	return found
}
