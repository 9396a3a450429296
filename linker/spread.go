package linker

import (
	"time"

	"amaranthmill/internal/identifier"
)

// shortestAsk and longestAsk bound the wait for a bundle before another peer is asked; it doubles.
const (
	shortestAsk = time.Second
	longestAsk  = 30 * time.Second
)

// asked is the request for a bundle that is under way.
type asked struct {
	instance identifier.Instance
	version  identifier.BundleVersion
	at       time.Time // zero if the peer asked has gone
	wait     time.Duration
}

// setVersion takes up the version that this instance has and shows it to all at once.
func (c *core) setVersion(now time.Time, version identifier.BundleVersion) {
	if version <= c.version {
		return
	}
	c.version = version
	if c.asked.version <= version {
		c.asked = asked{}
	}
	for _, name := range c.names {
		if m := c.members[name]; m.link != nil {
			c.beat(now, m.link)
		}
	}
	c.ask(now)
}

// ask asks one peer for a newer bundle than this instance has or has asked for.
func (c *core) ask(now time.Time) {
	newest := max(c.version, c.asked.version)
	for _, name := range c.names {
		if m := c.members[name]; m.link != nil && m.version > newest {
			c.askPeer(now, m, shortestAsk)
			newest = m.version
		}
	}
}

func (c *core) askPeer(now time.Time, m *member, wait time.Duration) {
	c.asked = asked{instance: m.Instance, version: m.version, at: now, wait: wait}
	c.do(askBundle{session: m.link.id, version: m.version})
}

// askAgain asks the next peer that has the bundle if the one asked has not sent it.
func (c *core) askAgain(now time.Time) {
	if c.asked.version <= c.version || now.Sub(c.asked.at) < c.asked.wait {
		return
	}
	var first, next *member
	for _, name := range c.names {
		m := c.members[name]
		if m.link == nil || m.version < c.asked.version {
			continue
		}
		if first == nil {
			first = m
		}
		if next == nil && name > c.asked.instance {
			next = m
		}
	}
	if next == nil {
		next = first
	}
	if next != nil {
		c.askPeer(now, next, min(2*c.asked.wait, longestAsk))
	}
}
