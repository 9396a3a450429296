package linker

import (
	"time"

	"amaranthmill/internal/identifier"
)

// addSession adopts a new session, or rejects or retires it if another one is preferred.
func (c *core) addSession(now time.Time, e sessionOpened) {
	m := c.ensureMember(now, e.peer)
	if e.dialed {
		m.dialing = false
	}
	l := &link{
		id:            e.session,
		incarnation:   e.incarnation,
		attempt:       e.attempt,
		dialed:        e.dialed,
		sequenceAt:    now,
		echoAt:        now,
		nextHeartbeat: now,
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
	case c.isPreferred(l, m):
		// Both sides dialed at once, or the peer lost the old session and dialed again.
		c.replace(m.link, l)
		c.adopt(now, m, l)
	default:
		c.retire(l)
	}
}

// reject closes a new session before its first use.
func (c *core) reject(l *link, reason string) {
	m := c.owners[l.id]
	c.closeLink(l, reason)
	if m.link == nil {
		c.emit(failSessionRequest{instance: m.Instance})
	}
}

// isPreferred reports whether l is preferred to the session in use. Both sides decide
// alike: a session that the instance with the lower name dialed is preferred, and among the
// sessions that one side dialed, the later one.
func (c *core) isPreferred(l *link, m *member) bool {
	if l.dialed == m.link.dialed {
		return l.attempt > m.link.attempt
	}
	return l.dialed == (c.self.Instance < m.Instance)
}

// replace retires or closes old because l is a preferred session with the same process of the peer.
func (c *core) replace(old, l *link) {
	if old.dialed == l.dialed {
		// The side that dialed again no longer uses its previous session.
		c.closeLink(old, "superseded")
		return
	}
	c.retire(old)
}

// adopt makes l the session in use of m.
func (c *core) adopt(now time.Time, m *member, l *link) {
	if m.link != nil && l.incarnation > m.link.incarnation {
		c.closeLink(m.link, "superseded")
	}
	if l.incarnation > m.incarnation {
		// The instance has a new process, so the state of the old one no longer applies.
		m.incarnation = l.incarnation
		m.leaving = false
		m.version = 0
		m.wasLost = false
		m.flaps = 0
	}
	m.link = l
	m.lastHeartbeat = now
	c.failedTargets[m.FailureDomain] = 0
	c.emit(useSession{session: l.id})
	c.scheduleReachable(now, m)
	c.sendHeartbeat(now, l)
}

// scheduleReachable decides when the new session of m makes it reachable. Because of the
// hysteresis, a peer that connects and disconnects repeatedly does not become reachable each
// time.
func (c *core) scheduleReachable(now time.Time, m *member) {
	if m.reachable {
		c.emitStatus(m, "")
		return
	}
	if !m.wasLost || now.Sub(m.lostAt) > flapWindow {
		m.flaps = 0
		m.reachableFrom = now
		c.setReachable(now, m, true, "connected")
		return
	}
	m.reachableFrom = now.Add(min(minFlapDelay<<m.flaps, maxFlapDelay))
	if minFlapDelay<<m.flaps < maxFlapDelay {
		m.flaps++
	}
}

// removeSession handles the end of a session.
func (c *core) removeSession(now time.Time, id sessionID) {
	m := c.owners[id]
	if m == nil {
		return
	}
	l := c.links[id]
	c.removeLink(l)
	if m.link == l {
		c.clearSession(now, m, "sessionEnded")
	}
}

// clearSession records that m has no session in use any more.
func (c *core) clearSession(now time.Time, m *member, reason string) {
	retired := m.link.retired
	m.link = nil
	m.lostAt = now
	m.wasLost = m.wasLost || (m.reachable && !m.leaving && !retired)
	if !retired {
		c.failedTargets[m.FailureDomain]++
		c.delayRedial(now, m)
	}
	c.setReachable(now, m, false, reason)
	if c.pending.instance == m.Instance {
		c.pending.sentAt = time.Time{}
	}
}

func (c *core) recordDialFailure(now time.Time, name identifier.Instance) {
	m := c.members[name]
	if m == nil {
		return
	}
	m.dialing = false
	c.failedTargets[m.FailureDomain]++
	c.delayRedial(now, m)
	c.emit(failSessionRequest{instance: name})
}

// delayRedial delays the next dial of m. The wait doubles with each call, up to
// maxRedialWait, and half of it is random.
func (c *core) delayRedial(now time.Time, m *member) {
	m.redialWait = min(max(2*m.redialWait, minRedialWait), maxRedialWait)
	half := m.redialWait / 2
	m.redialAt = now.Add(half + time.Duration(c.rand.Int64N(int64(half)+1)))
}

// retireForPeer retires a session on which the peer starts no more requests.
func (c *core) retireForPeer(now time.Time, e peerRetired) {
	m := c.owners[e.session]
	if m == nil {
		return
	}
	l := c.links[e.session]
	if e.leaving && m.link == l && !m.leaving {
		m.leaving = true
		c.emitStatus(m, "leaving")
	}
	c.retire(l)
	if m.link == l && !m.leaving {
		c.clearSession(now, m, "retired")
	}
}

// retire prevents new requests on l.
func (c *core) retire(l *link) {
	if l.retired {
		return
	}
	l.retired = true
	c.emit(retireSession{session: l.id})
}

func (c *core) closeLink(l *link, reason string) {
	c.removeLink(l)
	c.emit(closeSession{session: l.id, reason: reason})
}

func (c *core) removeLink(l *link) {
	delete(c.owners, l.id)
	delete(c.links, l.id)
}
