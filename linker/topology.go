package linker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthmill/internal/identifier"
)

// sessionsPerDomainPair is the number of sessions that two failure domains keep between them.
const sessionsPerDomainPair = 3

// connect dials the peers with which this instance should have a session: every listed peer
// of the local failure domain and, for each other failure domain for which this instance is
// a relay, one peer.
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

// mayDial reports whether to dial m now. The side without dialsFirst waits for
// fallbackDialDelay, so that two instances do not dial each other at once.
func (c *core) mayDial(now time.Time, m *member, dialsFirst bool) bool {
	if m.link != nil || m.dialing || now.Before(m.redialAt) {
		return false
	}
	return dialsFirst || now.Sub(m.lostAt) >= fallbackDialDelay
}

func (c *core) dial(m *member) {
	c.attempt++
	m.dialing = true
	c.emit(dialPeer{peer: m.Peer, attempt: c.attempt})
}

// connectDomain updates whether this instance is a relay to another failure domain and
// dials a peer there if it is one and has no session.
func (c *core) connectDomain(now time.Time, domain identifier.FailureDomain) {
	rank := slices.Index(c.rankRelays(now, domain), c.self.Instance)
	isRelay := rank >= 0 && rank < sessionsPerDomainPair
	if isRelay != c.relays[domain] {
		c.relays[domain] = isRelay
		c.emit(setRelay{domain: domain, isRelay: isRelay})
	}
	if !isRelay {
		return
	}
	targets := c.rankTargets(domain)
	if len(targets) == 0 || slices.ContainsFunc(targets, func(m *member) bool { return m.link != nil || m.dialing }) {
		return
	}
	m := targets[(rank+c.failedTargets[domain])%len(targets)]
	if c.mayDial(now, m, c.self.FailureDomain < domain) {
		m.neededAt = now
		c.dial(m)
	}
}

// rankRelays ranks the instances of the local failure domain as relays to another. The first
// sessionsPerDomainPair of the ranking are relays. Instances that are leaving, or have been
// unreachable for fallbackDialDelay, are left out.
func (c *core) rankRelays(now time.Time, domain identifier.FailureDomain) []identifier.Instance {
	names := []identifier.Instance{c.self.Instance}
	for _, name := range c.names {
		m := c.members[name]
		inside := m.FailureDomain == c.self.FailureDomain
		if inside && !m.leaving && (m.reachable || m.listed && now.Sub(m.lostAt) < fallbackDialDelay) {
			names = append(names, name)
		}
	}
	return rankByHash(names, c.pairKey(domain))
}

// rankTargets ranks the instances of another failure domain as peers of the relays.
func (c *core) rankTargets(domain identifier.FailureDomain) []*member {
	var names []identifier.Instance
	for _, name := range c.names {
		m := c.members[name]
		if m.FailureDomain == domain && (m.listed || m.link != nil) && !m.leaving {
			names = append(names, name)
		}
	}
	var out []*member
	for _, name := range rankByHash(names, c.pairKey(domain)) {
		out = append(out, c.members[name])
	}
	return out
}

// pairKey returns the hash key of the pair of the local failure domain and another. It is the
// same on both sides.
func (c *core) pairKey(domain identifier.FailureDomain) string {
	low := min(c.self.FailureDomain, domain)
	high := max(c.self.FailureDomain, domain)
	return string(low) + "\x00" + string(high) + "\x00"
}

// rankByHash sorts names by rendezvous hashing with key, so that adding or removing one name
// does not change the order of the others.
func rankByHash(names []identifier.Instance, key string) []identifier.Instance {
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

// domains returns the failure domains of the members in ascending order without duplicates.
func (c *core) domains() []identifier.FailureDomain {
	var out []identifier.FailureDomain
	for _, name := range c.names {
		out = append(out, c.members[name].FailureDomain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// requestSession provides a session with an instance for a request and dials it if necessary.
func (c *core) requestSession(now time.Time, name identifier.Instance) {
	m := c.members[name]
	if m == nil || m.leaving || c.stopped {
		c.emit(failSessionRequest{instance: name})
		return
	}
	m.neededAt = now
	switch {
	case m.link != nil && !m.link.retired:
		c.emit(useSession{session: m.link.id})
		return
	case m.dialing:
		return
	case m.link != nil:
		c.emit(failSessionRequest{instance: name})
		return
	}
	if now.Before(m.redialAt) || !m.Address.IsValid() {
		c.emit(failSessionRequest{instance: name})
		return
	}
	c.dial(m)
}

// retireIdle retires the sessions that this instance dialed into other failure domains and
// that neither a request nor the topology has needed for idleTimeout.
func (c *core) retireIdle(now time.Time) {
	keptForRelay := map[identifier.FailureDomain]bool{}
	for _, name := range c.names {
		m := c.members[name]
		domain := m.FailureDomain
		if m.link == nil || domain == c.self.FailureDomain {
			continue
		}
		if c.relays[domain] && !keptForRelay[domain] {
			keptForRelay[domain] = true
			continue
		}
		if m.link.dialed && now.Sub(m.neededAt) > idleTimeout {
			c.retire(m.link)
			c.clearSession(now, m, "idle")
		}
	}
}
