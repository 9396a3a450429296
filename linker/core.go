package linker

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Times of the membership core.
const (
	heartbeatInterval = 2 * time.Second
	// silenceLimit is how long a session may bring no heartbeat, or no newer echo of
	// ours, before it is closed: three heartbeats and a margin.
	silenceLimit = 3*heartbeatInterval + time.Second
	// pauseLimit is the gap between two ticks from which this process itself was paused.
	pauseLimit = heartbeatInterval
	// shortestRedial and longestRedial bound the wait after a failed dial, which doubles.
	shortestRedial = 500 * time.Millisecond
	longestRedial  = 30 * time.Second
	// fallbackWait is how long the side that does not dial waits before it does.
	fallbackWait = 10 * time.Second
	// flapWindow is how soon after a loss a new session counts as flapping. Each flap
	// doubles the time until the peer counts as reachable, from shortestFlap to longestFlap.
	flapWindow   = time.Minute
	shortestFlap = 2 * time.Second
	longestFlap  = 30 * time.Second
	// idleLimit is how long a session that only a forwarded request needed is kept.
	idleLimit = time.Minute
	// forgetWait is how long an instance that is not listed and has no session is remembered.
	forgetWait = 5 * time.Minute
)

// link is one session as the core sees it.
type link struct {
	id          sessionID
	incarnation uint64
	attempt     uint64
	dialed      bool
	retired     bool
	sent        uint64 // heartbeats sent
	heard       uint64 // the highest sequence heard
	echoed      uint64 // the highest echo heard
	heardAt     time.Time
	echoedAt    time.Time
	beatAt      time.Time // when the next heartbeat is due
}

// member is another instance as the core sees it.
type member struct {
	Peer
	listed      bool
	incarnation uint64 // the highest seen; zero if none
	link        *link  // the session in use, or nil
	dialing     bool
	redialAt    time.Time
	redialWait  time.Duration
	reachable   bool
	leaving     bool
	version     identifier.BundleVersion
	heardAt     time.Time // zero if never
	lostAt      time.Time // when it last became known, unreachable or without a session
	wasLost     bool      // it has been reachable and was lost other than by leaving
	stableAt    time.Time // from when on a session makes it reachable
	flaps       int
	neededAt    time.Time
}

// core decides which instances are in reach and which sessions to keep. It is a
// deterministic state machine: the same seed, times and events give the same actions.
type core struct {
	self    Peer
	rand    *rand.Rand
	names   []identifier.Instance // of members, in order
	members map[identifier.Instance]*member
	owners  map[sessionID]*member
	links   map[sessionID]*link
	relays  map[identifier.FailureDomain]bool
	misses  map[identifier.FailureDomain]int // failed targets in a row
	version identifier.BundleVersion
	asked   asked
	attempt uint64
	ticked  time.Time
	stopped bool
	out     []action
}

// newCore returns a core for the instance self that knows no other.
func newCore(self Peer, source rand.Source) *core {
	return &core{
		self:    self,
		rand:    rand.New(source),
		members: map[identifier.Instance]*member{},
		owners:  map[sessionID]*member{},
		links:   map[sessionID]*link{},
		relays:  map[identifier.FailureDomain]bool{},
		misses:  map[identifier.FailureDomain]int{},
	}
}

// Step applies e at now and returns what to do, in order. now must not go back.
func (c *core) Step(now time.Time, e event) []action {
	c.out = nil
	switch e := e.(type) {
	case listed:
		c.list(now, e.peers)
	case opened:
		c.open(now, e)
	case ended:
		c.end(now, e.session)
	case dialFailed:
		c.failDial(now, e.instance)
	case heard:
		c.hear(now, e)
	case peerRetires:
		c.peerRetires(now, e)
	case versioned:
		c.setVersion(now, e.version)
	case needed:
		c.need(now, e.instance)
	case tick:
		c.tick(now)
	case stop:
		c.stop()
	}
	return c.out
}

func (c *core) do(a action) { c.out = append(c.out, a) }

// list takes up the platform's list. An instance that it no longer names is forgotten
// later, because the list lags.
func (c *core) list(now time.Time, peers []Peer) {
	named := map[identifier.Instance]bool{}
	for _, p := range peers {
		if p.Instance == c.self.Instance || p.Instance == "" {
			continue
		}
		named[p.Instance] = true
		c.listOne(now, p)
	}
	for _, name := range c.names {
		c.members[name].listed = named[name]
	}
	c.connect(now)
}

func (c *core) listOne(now time.Time, p Peer) {
	m := c.member(now, p)
	if m.FailureDomain != p.FailureDomain && m.link != nil {
		c.closeLink(m.link, "wrongFailureDomain")
		c.drop(now, m, "wrongFailureDomain")
	}
	changed := m.Peer != p
	m.Peer = p
	if changed {
		c.status(m, "")
	}
}

// member returns the member that p names and adds it if it is new.
func (c *core) member(now time.Time, p Peer) *member {
	if m := c.members[p.Instance]; m != nil {
		return m
	}
	m := &member{Peer: p, lostAt: now, redialAt: now}
	c.members[p.Instance] = m
	i, _ := slices.BinarySearch(c.names, p.Instance)
	c.names = slices.Insert(c.names, i, p.Instance)
	c.status(m, "")
	return m
}

// forget removes a member that has been neither listed nor connected for a while.
func (c *core) forget(now time.Time, name identifier.Instance) bool {
	m := c.members[name]
	if m.listed || m.link != nil || m.dialing || now.Sub(m.lostAt) < forgetWait {
		return false
	}
	delete(c.members, name)
	c.do(forgetPeer{instance: name, incarnation: m.incarnation})
	return true
}

// status emits what Peers shows of m.
func (c *core) status(m *member, reason string) {
	c.do(setStatus{reason: reason, status: PeerStatus{
		Peer:          m.Peer,
		Reachable:     m.reachable,
		Leaving:       m.leaving,
		LastHeartbeat: m.heardAt,
		BundleVersion: m.version,
	}})
}

// setReachable changes whether m is in reach and says so.
func (c *core) setReachable(now time.Time, m *member, reachable bool, reason string) {
	if m.reachable == reachable {
		return
	}
	m.reachable = reachable
	if !reachable {
		m.lostAt = now
	}
	c.status(m, reason)
}

func (c *core) tick(now time.Time) {
	paused := !c.ticked.IsZero() && now.Sub(c.ticked) > pauseLimit
	c.ticked = now
	for _, id := range slices.Sorted(maps.Keys(c.links)) {
		c.check(now, c.owners[id], c.links[id], paused)
	}
	c.names = slices.DeleteFunc(c.names, func(name identifier.Instance) bool { return c.forget(now, name) })
	c.connect(now)
	c.askAgain(now)
}

// stop retires all sessions. The process ends once they are closed.
func (c *core) stop() {
	c.stopped = true
	for _, name := range c.names {
		if m := c.members[name]; m.link != nil {
			m.link.retired = true
			c.do(retireSession{session: m.link.id, leaving: true})
		}
	}
}
