package linker

import (
	"time"

	"amaranthmill/internal/identifier"
)

// open takes up a new session, or closes or retires it in favour of another.
func (c *core) open(now time.Time, e opened) {
	m := c.member(now, e.peer)
	if e.dialed {
		m.dialing = false
	}
	l := &link{
		id:          e.session,
		incarnation: e.incarnation,
		attempt:     e.attempt,
		dialed:      e.dialed,
		heardAt:     now,
		echoedAt:    now,
		beatAt:      now,
	}
	c.owners[l.id] = m
	c.links[l.id] = l
	switch {
	case c.stopped:
		c.reject(l, "stopping")
	case m.listed && m.FailureDomain != e.peer.FailureDomain:
		c.reject(l, "wrongFailureDomain")
	case l.incarnation < m.incarnation:
		c.reject(l, "staleIncarnation")
	case m.link == nil || l.incarnation > m.link.incarnation:
		c.adopt(now, m, l)
	case c.wins(l, m):
		// Both sides dialed at once, or the peer gave up the old session and dialed again.
		c.replace(m.link, l)
		c.adopt(now, m, l)
	default:
		c.retire(l)
	}
}

// reject closes a new session that is never used.
func (c *core) reject(l *link, reason string) {
	m := c.owners[l.id]
	c.closeLink(l, reason)
	if m.link == nil {
		c.do(refuseNeed{instance: m.Instance})
	}
}

// wins reports whether l is preferred to the session in use. Both sides decide alike:
// the session that the lower name dialed wins, and of one side's the later.
func (c *core) wins(l *link, m *member) bool {
	if l.dialed == m.link.dialed {
		return l.attempt > m.link.attempt
	}
	return l.dialed == (c.self.Instance < m.Instance)
}

// replace ends old in favour of a session with the same peer process.
func (c *core) replace(old, l *link) {
	if old.dialed == l.dialed {
		// The side that dialed again has no use for its former session.
		c.closeLink(old, "superseded")
		return
	}
	c.retire(old)
}

func (c *core) adopt(now time.Time, m *member, l *link) {
	if m.link != nil && l.incarnation > m.link.incarnation {
		c.closeLink(m.link, "superseded")
	}
	if l.incarnation > m.incarnation {
		// A new process of the instance: what was known of the old one is void.
		m.incarnation = l.incarnation
		m.leaving = false
		m.version = 0
		m.wasLost = false
		m.flaps = 0
	}
	m.link = l
	m.heardAt = now
	c.misses[m.FailureDomain] = 0
	c.do(useSession{session: l.id})
	c.settle(now, m)
	c.beat(now, l)
}

// settle decides from when on the new session of m makes it reachable. Hysteresis keeps
// a peer that comes and goes from counting as reachable each time.
func (c *core) settle(now time.Time, m *member) {
	if m.reachable {
		c.status(m, "")
		return
	}
	if !m.wasLost || now.Sub(m.lostAt) > flapWindow {
		m.flaps = 0
		m.stableAt = now
		c.setReachable(now, m, true, "connected")
		return
	}
	m.stableAt = now.Add(min(shortestFlap<<m.flaps, longestFlap))
	if shortestFlap<<m.flaps < longestFlap {
		m.flaps++
	}
}

// end takes note that a session is closed.
func (c *core) end(now time.Time, id sessionID) {
	m := c.owners[id]
	if m == nil {
		return
	}
	l := c.links[id]
	c.unlink(l)
	if m.link == l {
		c.drop(now, m, "sessionEnded")
	}
}

// drop takes note that m has no session in use any more.
func (c *core) drop(now time.Time, m *member, reason string) {
	retired := m.link.retired
	m.link = nil
	m.lostAt = now
	m.wasLost = m.wasLost || (m.reachable && !m.leaving && !retired)
	if !retired {
		c.misses[m.FailureDomain]++
		c.backOff(now, m)
	}
	c.setReachable(now, m, false, reason)
	if c.asked.instance == m.Instance {
		c.asked.at = time.Time{}
	}
}

func (c *core) failDial(now time.Time, name identifier.Instance) {
	m := c.members[name]
	if m == nil {
		return
	}
	m.dialing = false
	c.misses[m.FailureDomain]++
	c.backOff(now, m)
	c.do(refuseNeed{instance: name})
}

// backOff puts off the next dial of m by a jittered wait that doubles each time.
func (c *core) backOff(now time.Time, m *member) {
	m.redialWait = min(max(2*m.redialWait, shortestRedial), longestRedial)
	half := m.redialWait / 2
	m.redialAt = now.Add(half + time.Duration(c.rand.Int64N(int64(half)+1)))
}

// peerRetires takes note that the peer starts no more requests on a session.
func (c *core) peerRetires(now time.Time, e peerRetires) {
	m := c.owners[e.session]
	if m == nil {
		return
	}
	l := c.links[e.session]
	if e.leaving && m.link == l && !m.leaving {
		m.leaving = true
		c.status(m, "leaving")
	}
	c.retire(l)
	if m.link == l && !m.leaving {
		c.drop(now, m, "retired")
	}
}

// retire has no more requests start on l.
func (c *core) retire(l *link) {
	if l.retired {
		return
	}
	l.retired = true
	c.do(retireSession{session: l.id})
}

func (c *core) closeLink(l *link, reason string) {
	c.unlink(l)
	c.do(closeSession{session: l.id, reason: reason})
}

func (c *core) unlink(l *link) {
	delete(c.owners, l.id)
	delete(c.links, l.id)
}
