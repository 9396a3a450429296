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
	// silenceLimit bounds the time without a new heartbeat on a session, and without a newer
	// echo of this instance's heartbeats. Then the session is closed. The limit is three
	// heartbeat intervals and a margin.
	silenceLimit = 3*heartbeatInterval + time.Second
	// pauseThreshold is the gap between two ticks above which this process is taken to have
	// been paused.
	pauseThreshold = heartbeatInterval
	// minRedialWait and maxRedialWait bound the wait after a failed dial, which doubles with
	// each failure.
	minRedialWait = 500 * time.Millisecond
	maxRedialWait = 30 * time.Second
	// fallbackDialDelay is how long the side that normally accepts the session waits before
	// it dials too. An unreachable instance stays in the ranking of the relays for as long.
	fallbackDialDelay = 10 * time.Second
	// flapWindow is the time after a loss within which a new session counts as flapping. The
	// delay until the peer counts as reachable doubles with each flap, from minFlapDelay to
	// maxFlapDelay.
	flapWindow   = time.Minute
	minFlapDelay = 2 * time.Second
	maxFlapDelay = 30 * time.Second
	// idleTimeout is the time after the last use for a forwarded request at which a session
	// that only forwarded requests need is retired.
	idleTimeout = time.Minute
	// memberTTL is how long a member that is not listed and has no session is kept.
	memberTTL = 5 * time.Minute
)

// link is the core's record of one session.
type link struct {
	id             sessionID
	incarnation    uint64
	attempt        uint64
	dialed         bool
	retired        bool
	heartbeatsSent uint64    // also the sequence number of the last one
	lastSequence   uint64    // highest sequence number received
	lastEcho       uint64    // highest echo received
	sequenceAt     time.Time // when lastSequence increased or this process resumed after a pause
	echoAt         time.Time // when lastEcho increased or matched heartbeatsSent, or this process resumed after a pause
	nextHeartbeat  time.Time // when the next heartbeat is due
}

// member is the core's record of another instance.
type member struct {
	Peer
	listed        bool   // whether the platform's list names the instance
	incarnation   uint64 // highest incarnation seen; zero if none
	link          *link  // session in use; nil if none
	dialing       bool
	redialAt      time.Time
	redialWait    time.Duration
	reachable     bool
	leaving       bool
	version       identifier.BundleVersion
	lastHeartbeat time.Time // when a heartbeat or a new session last arrived; zero if never
	lostAt        time.Time // when the member was added, became unreachable or lost its session, whichever was last
	wasLost       bool      // whether the member was lost while reachable, other than by leaving or retirement
	reachableFrom time.Time // when the current session makes the member reachable
	flaps         int       // exponent of the next flap delay
	neededAt      time.Time // when a request or the topology last needed the session
}

// core decides which instances are reachable and which sessions to keep. It is a
// deterministic state machine: the same seed, times and events give the same actions.
type core struct {
	self          Peer
	rand          *rand.Rand
	names         []identifier.Instance // names of members in ascending order
	members       map[identifier.Instance]*member
	owners        map[sessionID]*member // member of each session
	links         map[sessionID]*link
	relays        map[identifier.FailureDomain]bool // failure domains for which this instance is a relay
	failedTargets map[identifier.FailureDomain]int  // consecutive failures to keep a session with the failure domain
	version       identifier.BundleVersion
	pending       bundleRequest
	attempt       uint64 // number of the last dial
	lastTick      time.Time
	stopped       bool
	out           []action
}

// newCore returns a core for the instance self without any other members.
func newCore(self Peer, source rand.Source) *core {
	return &core{
		self:          self,
		rand:          rand.New(source),
		members:       map[identifier.Instance]*member{},
		owners:        map[sessionID]*member{},
		links:         map[sessionID]*link{},
		relays:        map[identifier.FailureDomain]bool{},
		failedTargets: map[identifier.FailureDomain]int{},
	}
}

// Step applies e at time now and returns the resulting actions in order. now must not decrease.
func (c *core) Step(now time.Time, e event) []action {
	c.out = nil
	switch e := e.(type) {
	case peersSet:
		c.setPeers(now, e.peers)
	case sessionOpened:
		c.addSession(now, e)
	case sessionEnded:
		c.removeSession(now, e.session)
	case dialFailed:
		c.recordDialFailure(now, e.instance)
	case heartbeatReceived:
		c.receiveHeartbeat(now, e)
	case peerRetired:
		c.retireForPeer(now, e)
	case versionSet:
		c.setVersion(now, e.version)
	case sessionRequested:
		c.requestSession(now, e.instance)
	case tick:
		c.tick(now)
	case stop:
		c.stop()
	}
	return c.out
}

func (c *core) emit(a action) { c.out = append(c.out, a) }

// setPeers applies the platform's list. An instance that is missing from the list is
// removed only later, because the list can be outdated.
func (c *core) setPeers(now time.Time, peers []Peer) {
	listed := map[identifier.Instance]bool{}
	for _, p := range peers {
		if p.Instance == c.self.Instance || p.Instance == "" {
			continue
		}
		listed[p.Instance] = true
		c.setPeer(now, p)
	}
	for _, name := range c.names {
		c.members[name].listed = listed[name]
	}
	c.connect(now)
}

func (c *core) setPeer(now time.Time, p Peer) {
	m := c.ensureMember(now, p)
	if m.FailureDomain != p.FailureDomain && m.link != nil {
		c.closeLink(m.link, "wrongFailureDomain")
		c.clearSession(now, m, "wrongFailureDomain")
	}
	changed := m.Peer != p
	m.Peer = p
	if changed {
		c.emitStatus(m, "")
	}
}

// ensureMember returns the member with the name of p and adds it if it is missing.
func (c *core) ensureMember(now time.Time, p Peer) *member {
	if m := c.members[p.Instance]; m != nil {
		return m
	}
	m := &member{Peer: p, lostAt: now, redialAt: now}
	c.members[p.Instance] = m
	i, _ := slices.BinarySearch(c.names, p.Instance)
	c.names = slices.Insert(c.names, i, p.Instance)
	c.emitStatus(m, "")
	return m
}

// expire removes a member that has been neither listed nor connected for memberTTL and
// reports whether it did.
func (c *core) expire(now time.Time, name identifier.Instance) bool {
	m := c.members[name]
	if m.listed || m.link != nil || m.dialing || now.Sub(m.lostAt) < memberTTL {
		return false
	}
	delete(c.members, name)
	c.emit(removePeer{instance: name, incarnation: m.incarnation})
	return true
}

// emitStatus emits the status of m that Peers returns.
func (c *core) emitStatus(m *member, reason string) {
	c.emit(setStatus{reason: reason, status: PeerStatus{
		Peer:          m.Peer,
		Reachable:     m.reachable,
		Leaving:       m.leaving,
		LastHeartbeat: m.lastHeartbeat,
		BundleVersion: m.version,
	}})
}

// setReachable sets whether m is reachable and emits its status if that changed.
func (c *core) setReachable(now time.Time, m *member, reachable bool, reason string) {
	if m.reachable == reachable {
		return
	}
	m.reachable = reachable
	if !reachable {
		m.lostAt = now
	}
	c.emitStatus(m, reason)
}

func (c *core) tick(now time.Time) {
	paused := !c.lastTick.IsZero() && now.Sub(c.lastTick) > pauseThreshold
	c.lastTick = now
	for _, id := range slices.Sorted(maps.Keys(c.links)) {
		c.checkLiveness(now, c.owners[id], c.links[id], paused)
	}
	c.names = slices.DeleteFunc(c.names, func(name identifier.Instance) bool { return c.expire(now, name) })
	c.connect(now)
	c.retryBundleRequest(now)
}

// stop retires all sessions. The process exits after they are closed.
func (c *core) stop() {
	c.stopped = true
	for _, name := range c.names {
		if m := c.members[name]; m.link != nil {
			m.link.retired = true
			c.emit(retireSession{session: m.link.id, leaving: true})
		}
	}
}
