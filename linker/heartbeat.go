package linker

import "time"

// stableHeartbeats is the number of heartbeats received on a session after which the redial
// wait is reset.
const stableHeartbeats = 3

// sendHeartbeat sends a heartbeat on l and schedules the next.
func (c *core) sendHeartbeat(now time.Time, l *link) {
	l.heartbeatsSent++
	l.nextHeartbeat = now.Add(heartbeatInterval)
	c.emit(sendHeartbeat{session: l.id, sequence: l.heartbeatsSent, echo: l.lastSequence, version: c.version})
}

// receiveHeartbeat applies a heartbeat. A heartbeat that is not newer than the last one, or
// that echoes a sequence number which was never sent, is dropped.
func (c *core) receiveHeartbeat(now time.Time, e heartbeatReceived) {
	m := c.owners[e.session]
	if m == nil {
		return
	}
	l := c.links[e.session]
	if e.sequence <= l.lastSequence || e.echo > l.heartbeatsSent {
		return
	}
	l.lastSequence = e.sequence
	l.sequenceAt = now
	if e.echo > l.lastEcho || e.echo == l.heartbeatsSent {
		l.lastEcho = e.echo
		l.echoAt = now
	}
	if m.link != l {
		return
	}
	if l.lastSequence >= stableHeartbeats {
		m.redialWait = 0
	}
	m.lastHeartbeat = now
	m.version = e.version
	c.emitStatus(m, "")
	c.requestNewerBundle(now)
}

// checkLiveness closes l if it is silent in either direction. Otherwise it sends a heartbeat
// if one is due and makes a returning peer reachable once its session is stable.
func (c *core) checkLiveness(now time.Time, m *member, l *link, paused bool) {
	if paused {
		// This process was paused, so the silence does not show a fault of the peer.
		l.sequenceAt = now
		l.echoAt = now
	}
	switch {
	case now.Sub(l.sequenceAt) > silenceLimit:
		c.closeSilent(now, m, l, "silent")
		return
	case now.Sub(l.echoAt) > silenceLimit:
		// A one-way partition: the peer's heartbeats arrive here, but it does not receive ours.
		c.closeSilent(now, m, l, "unheard")
		return
	}
	if !now.Before(l.nextHeartbeat) {
		c.sendHeartbeat(now, l)
	}
	if m.link == l && !m.reachable && !now.Before(m.reachableFrom) {
		c.setReachable(now, m, true, "stable")
	}
}

// closeSilent closes l because the peer is silent or does not receive heartbeats.
func (c *core) closeSilent(now time.Time, m *member, l *link, reason string) {
	c.closeLink(l, reason)
	if m.link == l {
		c.clearSession(now, m, reason)
	}
}
