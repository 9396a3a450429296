package linker

import (
	"time"

	"amaranthmill/internal/identifier"
)

// minBundleWait and maxBundleWait bound the wait for a requested bundle. Then the request
// goes to another peer, and the wait doubles.
const (
	minBundleWait = time.Second
	maxBundleWait = 30 * time.Second
)

// bundleRequest is the pending request for a bundle.
type bundleRequest struct {
	instance identifier.Instance
	version  identifier.BundleVersion
	sentAt   time.Time // zero if the session with the peer has ended
	wait     time.Duration
}

// setVersion sets the bundle version of this instance and announces it to all peers at once
// with a heartbeat.
func (c *core) setVersion(now time.Time, version identifier.BundleVersion) {
	if version <= c.version {
		return
	}
	c.version = version
	if c.pending.version <= version {
		c.pending = bundleRequest{}
	}
	for _, name := range c.names {
		if m := c.members[name]; m.link != nil {
			c.sendHeartbeat(now, m.link)
		}
	}
	c.requestNewerBundle(now)
}

// requestNewerBundle requests a bundle if a peer has a newer version than this instance has or
// has already requested.
func (c *core) requestNewerBundle(now time.Time) {
	newest := max(c.version, c.pending.version)
	for _, name := range c.names {
		if m := c.members[name]; m.link != nil && m.version > newest {
			c.requestFrom(now, m, minBundleWait)
			newest = m.version
		}
	}
}

func (c *core) requestFrom(now time.Time, m *member, wait time.Duration) {
	c.pending = bundleRequest{instance: m.Instance, version: m.version, sentAt: now, wait: wait}
	c.emit(requestBundle{session: m.link.id, version: m.version})
}

// retryBundleRequest requests the bundle from the next peer that has it if the previous peer
// has not sent it in time.
func (c *core) retryBundleRequest(now time.Time) {
	if c.pending.version <= c.version || now.Sub(c.pending.sentAt) < c.pending.wait {
		return
	}
	var first, next *member
	for _, name := range c.names {
		m := c.members[name]
		if m.link == nil || m.version < c.pending.version {
			continue
		}
		if first == nil {
			first = m
		}
		if next == nil && name > c.pending.instance {
			next = m
		}
	}
	if next == nil {
		next = first
	}
	if next != nil {
		c.requestFrom(now, next, min(2*c.pending.wait, maxBundleWait))
	}
}
