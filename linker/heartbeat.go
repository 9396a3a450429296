package linker

import "time"

// steadyBeats is how many heartbeats a session brings before a next dial need not wait
// longer than the first.
const steadyBeats = 3

// beat sends a heartbeat on l and sets when the next is due.
func (c *core) beat(now time.Time, l *link) {
	l.sent++
	l.beatAt = now.Add(heartbeatInterval)
	c.do(sendHeartbeat{session: l.id, sequence: l.sent, echo: l.heard, version: c.version})
}

// hear takes up a heartbeat. One that is no newer than the last is dropped.
func (c *core) hear(now time.Time, e heard) {
	m := c.owners[e.session]
	if m == nil {
		return
	}
	l := c.links[e.session]
	if e.sequence <= l.heard || e.echo > l.sent {
		return
	}
	l.heard = e.sequence
	l.heardAt = now
	if e.echo > l.echoed || e.echo == l.sent {
		l.echoed = e.echo
		l.echoedAt = now
	}
	if m.link != l {
		return
	}
	if l.heard >= steadyBeats {
		m.redialWait = 0
	}
	m.heardAt = now
	m.version = e.version
	c.status(m, "")
	c.ask(now)
}

// check closes l if it is silent in either direction, sends a heartbeat that is due and
// lets a peer that came back count as reachable once it is stable.
func (c *core) check(now time.Time, m *member, l *link, paused bool) {
	if paused {
		// This process was paused itself, so the silence proves nothing.
		l.heardAt = now
		l.echoedAt = now
	}
	switch {
	case now.Sub(l.heardAt) > silenceLimit:
		c.lose(now, m, l, "silent")
		return
	case now.Sub(l.echoedAt) > silenceLimit:
		// The peer's heartbeats arrive and ours do not: a partition in one direction.
		c.lose(now, m, l, "unheard")
		return
	}
	if !now.Before(l.beatAt) {
		c.beat(now, l)
	}
	if m.link == l && !m.reachable && !now.Before(m.stableAt) {
		c.setReachable(now, m, true, "stable")
	}
}

func (c *core) lose(now time.Time, m *member, l *link, reason string) {
	c.closeLink(l, reason)
	if m.link == l {
		c.drop(now, m, reason)
	}
}
