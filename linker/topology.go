package linker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthmill/internal/identifier"
)

// pairSessions is how many sessions two failure domains keep between them.
const pairSessions = 3

// connect dials the peers with which this instance should have a session: all of its own
// failure domain, and for each other domain one, if it is among the few that hold the
// sessions of the two domains.
func (c *core) connect(now time.Time) {
	if c.stopped {
		return
	}
	domains := c.domains()
	for _, name := range c.names {
		m := c.members[name]
		if m.FailureDomain == c.self.FailureDomain && m.listed && c.mayDial(now, m, c.self.Instance < name) {
			c.dial(m)
		}
	}
	for _, domain := range domains {
		if domain != c.self.FailureDomain {
			c.connectDomain(now, domain)
		}
	}
	c.retireIdle(now)
}

// mayDial reports whether to dial m now. The side that is not first waits, so that two
// instances do not dial each other at once.
func (c *core) mayDial(now time.Time, m *member, first bool) bool {
	if m.link != nil || m.dialing || now.Before(m.redialAt) {
		return false
	}
	return first || now.Sub(m.lostAt) >= fallbackWait
}

func (c *core) dial(m *member) {
	c.attempt++
	m.dialing = true
	c.do(dialPeer{peer: m.Peer, attempt: c.attempt})
}

// connectDomain keeps this instance's session with another failure domain, if it should hold one.
func (c *core) connectDomain(now time.Time, domain identifier.FailureDomain) {
	rank := slices.Index(c.holders(now, domain), c.self.Instance)
	holds := rank >= 0 && rank < pairSessions
	if holds != c.relays[domain] {
		c.relays[domain] = holds
		c.do(setRelay{domain: domain, relays: holds})
	}
	if !holds {
		return
	}
	targets := c.targets(domain)
	if len(targets) == 0 || slices.ContainsFunc(targets, func(m *member) bool { return m.link != nil || m.dialing }) {
		return
	}
	m := targets[(rank+c.misses[domain])%len(targets)]
	if c.mayDial(now, m, c.self.FailureDomain < domain) {
		m.neededAt = now
		c.dial(m)
	}
}

// holders ranks the instances of the own failure domain for the sessions with another.
// Those that have been out of reach for a while are left out.
func (c *core) holders(now time.Time, domain identifier.FailureDomain) []identifier.Instance {
	names := []identifier.Instance{c.self.Instance}
	for _, name := range c.names {
		m := c.members[name]
		inside := m.FailureDomain == c.self.FailureDomain
		if inside && !m.leaving && (m.reachable || m.listed && now.Sub(m.lostAt) < fallbackWait) {
			names = append(names, name)
		}
	}
	return ranked(names, c.pair(domain))
}

// targets ranks the listed instances of another failure domain for the same sessions.
func (c *core) targets(domain identifier.FailureDomain) []*member {
	var names []identifier.Instance
	for _, name := range c.names {
		m := c.members[name]
		if m.FailureDomain == domain && (m.listed || m.link != nil) && !m.leaving {
			names = append(names, name)
		}
	}
	var out []*member
	for _, name := range ranked(names, c.pair(domain)) {
		out = append(out, c.members[name])
	}
	return out
}

// pair names the pair of the own failure domain and another, alike on both sides.
func (c *core) pair(domain identifier.FailureDomain) string {
	low := min(c.self.FailureDomain, domain)
	high := max(c.self.FailureDomain, domain)
	return string(low) + "\x00" + string(high) + "\x00"
}

// ranked sorts names by rendezvous hashing for key, so that a change of one name moves
// no other's order.
func ranked(names []identifier.Instance, key string) []identifier.Instance {
	type scored struct {
		name  identifier.Instance
		score uint64
	}
	scores := make([]scored, 0, len(names))
	for _, name := range names {
		scores = append(scores, scored{name: name, score: xxhash.Sum64String(key + string(name))})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	for i, s := range scores {
		names[i] = s.name
	}
	return names
}

// domains returns the failure domains of the members in order, each once.
func (c *core) domains() []identifier.FailureDomain {
	var out []identifier.FailureDomain
	for _, name := range c.names {
		out = append(out, c.members[name].FailureDomain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// need dials an instance of another failure domain for a request.
func (c *core) need(now time.Time, name identifier.Instance) {
	m := c.members[name]
	if m == nil || m.leaving || c.stopped {
		c.do(refuseNeed{instance: name})
		return
	}
	m.neededAt = now
	switch {
	case m.link != nil && !m.link.retired:
		c.do(useSession{session: m.link.id})
		return
	case m.dialing:
		return
	case m.link != nil:
		c.do(refuseNeed{instance: name})
		return
	}
	if now.Before(m.redialAt) || !m.Address.IsValid() {
		c.do(refuseNeed{instance: name})
		return
	}
	c.dial(m)
}

// retireIdle retires the sessions that this instance dialed into other failure domains
// and that neither a request nor the topology has needed for a while.
func (c *core) retireIdle(now time.Time) {
	kept := map[identifier.FailureDomain]bool{}
	for _, name := range c.names {
		m := c.members[name]
		domain := m.FailureDomain
		if m.link == nil || domain == c.self.FailureDomain {
			continue
		}
		if c.relays[domain] && !kept[domain] {
			kept[domain] = true
			continue
		}
		if m.link.dialed && now.Sub(m.neededAt) > idleLimit {
			c.retire(m.link)
			c.drop(now, m, "idle")
		}
	}
}
