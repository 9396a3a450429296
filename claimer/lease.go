package claimer

import (
	"time"

	"amaranthmill/storeclient"
)

// leaseTTL returns the time to live of a lease for claims. A claim made at the end of the lease's
// reuse still outlives the acceptance of its key by the clock of every instance.
func (l Limits) leaseTTL() time.Duration {
	return l.AcceptanceWindow + 2*l.ClockSkew + l.LeaseReuse
}

// createWithLease writes the claim of cl with the current lease, or requests a lease first.
func (c *Core) createWithLease(now time.Time, cl *claim) []Action {
	if c.lease != "" && now.Sub(c.leaseRequestedAt) < c.limits.LeaseReuse {
		cl.record.Lease = c.lease
		return c.create(cl)
	}
	cl.phase = phaseLease
	if c.grantPending {
		return nil
	}
	c.grantPending = true
	c.lease = ""
	c.leaseRequestedAt = now
	return []Action{GrantLease{TTL: c.limits.leaseTTL()}}
}

// handleLeaseGranted writes the claims that waited for the lease. The age of the lease is counted from its request.
func (c *Core) handleLeaseGranted(now time.Time, lease storeclient.LeaseID) []Action {
	c.grantPending = false
	c.lease = lease
	var acts []Action
	for _, cl := range c.waitingForLease() {
		if cl.callerLeft || !now.Before(cl.sendBefore) {
			acts = append(acts, c.rejectCall(cl)...)
			continue
		}
		cl.record.Lease = lease
		acts = append(acts, c.create(cl)...)
	}
	return acts
}

// handleLeaseFailed rejects the calls that waited for the lease.
func (c *Core) handleLeaseFailed() []Action {
	c.grantPending = false
	c.lease = ""
	var acts []Action
	for _, cl := range c.waitingForLease() {
		acts = append(acts, c.rejectCall(cl)...)
	}
	return acts
}

// handleLeaseExpired handles a write for cl that failed because its lease has expired. It drops
// the lease so that the next call requests a new one.
func (c *Core) handleLeaseExpired(cl *claim) []Action {
	if c.lease == cl.record.Lease {
		c.lease = ""
	}
	return c.handleFailure(cl, false)
}

// waitingForLease returns the claims that wait for a lease, in order of arrival.
func (c *Core) waitingForLease() []*claim {
	var found []*claim
	for _, token := range c.order {
		if cl, ok := c.claims[token]; ok && cl.phase == phaseLease {
			found = append(found, cl)
		}
	}
	return found
}
