package linker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
)

// healBound bounds the time until the network is connected after it has healed: the longest
// wait for a redial, the delay of the side that normally accepts, the longest flap delay, and
// the detection of silence on both sides.
const healBound = maxRedialWait + fallbackDialDelay + maxFlapDelay + 2*silenceLimit

// spreadBound bounds the time until every instance has a new bundle.
const spreadBound = 5 * time.Second

// process is one process of an instance: its core and its ends of sessions.
type process struct {
	self        Peer
	incarnation uint64
	core        *core
	last        sessionID
	ends        map[sessionID]*end
	version     identifier.BundleVersion
	status      map[identifier.Instance]PeerStatus
}

// end is one side of a session.
type end struct {
	owner   *process
	id      sessionID
	other   *end
	retired bool
}

// network connects several cores. A message between two instances is lost while its direction
// is blocked.
type network struct {
	t         *rapid.T
	now       time.Time
	names     []identifier.Instance
	peers     []Peer
	processes map[identifier.Instance]*process
	zombies   []*process                      // replaced but still running
	blocked   map[[2]identifier.Instance]bool // directions without transmission, by sender and receiver
	published identifier.BundleVersion
}

func newNetwork(t *rapid.T, domains, size int) *network {
	n := &network{
		t:         t,
		now:       scripter.Start,
		processes: map[identifier.Instance]*process{},
		blocked:   map[[2]identifier.Instance]bool{},
	}
	for d := range domains {
		for i := range size {
			name := identifier.Instance(fmt.Sprintf("i%d%d", i, d))
			domain := identifier.FailureDomain(fmt.Sprintf("d%d", d))
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(d), byte(i)}), 7000)
			n.names = append(n.names, name)
			n.peers = append(n.peers, Peer{Instance: name, FailureDomain: domain, Address: address})
		}
	}
	for _, p := range n.peers {
		n.start(p, 1)
	}
	return n
}

// start replaces the process of an instance with a new one.
func (n *network) start(self Peer, incarnation uint64) {
	p := &process{
		self:        self,
		incarnation: incarnation,
		core:        newCore(self, rand.NewPCG(incarnation, uint64(len(self.Instance)))),
		ends:        map[sessionID]*end{},
		status:      map[identifier.Instance]PeerStatus{},
	}
	n.processes[self.Instance] = p
	n.step(p, peersSet{peers: n.peers})
}

// isOpen reports whether messages from one process arrive at the other.
func (n *network) isOpen(from, to *process) bool {
	return !n.blocked[[2]identifier.Instance{from.self.Instance, to.self.Instance}]
}

func (n *network) step(p *process, e event) {
	for _, a := range p.core.Step(n.now, e) {
		n.apply(p, a)
	}
	for _, m := range p.core.members {
		if m.link != nil && m.link.incarnation < m.incarnation {
			n.t.Fatalf("%s uses a session with a stale process of %s", p.self.Instance, m.Instance)
		}
	}
}

func (n *network) apply(p *process, a action) {
	switch a := a.(type) {
	case dialPeer:
		n.dial(p, a)
	case closeSession:
		n.closeEnd(p.ends[a.session])
	case retireSession:
		n.retire(p.ends[a.session], a.leaving)
	case sendHeartbeat:
		if e := p.ends[a.session]; e != nil && e.other != nil && n.isOpen(p, e.other.owner) {
			n.step(e.other.owner, heartbeatReceived{session: e.other.id, sequence: a.sequence, echo: a.echo, version: a.version})
		}
	case requestBundle:
		n.transfer(p, p.ends[a.session])
	case setStatus:
		p.status[a.status.Instance] = a.status
	}
}

func (n *network) dial(p *process, a dialPeer) {
	q := n.processes[a.peer.Instance]
	if q == nil || !n.isOpen(p, q) || !n.isOpen(q, p) {
		n.step(p, dialFailed{instance: a.peer.Instance})
		return
	}
	near, far := p.addEnd(), q.addEnd()
	near.other, far.other = far, near
	n.step(q, sessionOpened{session: far.id, peer: p.self, incarnation: p.incarnation, attempt: a.attempt})
	n.step(p, sessionOpened{session: near.id, peer: q.self, incarnation: q.incarnation, attempt: a.attempt, dialed: true})
}

func (p *process) addEnd() *end {
	p.last++
	e := &end{owner: p, id: p.last}
	p.ends[e.id] = e
	return e
}

// closeEnd closes one end of a session. The other end closes too unless the direction towards
// it is blocked.
func (n *network) closeEnd(e *end) {
	if e == nil || e.owner.ends[e.id] == nil {
		return
	}
	delete(e.owner.ends, e.id)
	n.step(e.owner, sessionEnded{session: e.id})
	other := e.other
	if other == nil {
		return
	}
	other.other = nil
	if n.isOpen(e.owner, other.owner) {
		n.closeEnd(other)
	}
}

func (n *network) retire(e *end, leaving bool) {
	if e == nil || e.other == nil || !n.isOpen(e.owner, e.other.owner) {
		return
	}
	e.retired = true
	other := e.other
	n.step(other.owner, peerRetired{session: other.id, leaving: leaving})
	if e.retired && other.retired {
		n.closeEnd(e)
	}
}

// transfer sends the bundle of the peer at e to p, which requested it.
func (n *network) transfer(p *process, e *end) {
	if e == nil || e.other == nil || !n.isOpen(p, e.other.owner) || !n.isOpen(e.other.owner, p) {
		return
	}
	p.version = max(p.version, e.other.owner.version)
	n.step(p, versionSet{version: p.version})
}

// advance advances the time by d in ticks of all processes.
func (n *network) advance(d time.Duration) {
	for until := n.now.Add(d); n.now.Before(until); {
		n.now = n.now.Add(tickInterval)
		for _, name := range n.names {
			n.step(n.processes[name], tick{})
		}
		for _, z := range n.zombies {
			n.step(z, tick{})
		}
	}
}

// disturb makes one random change (block or unblock a direction, restart an instance, publish a
// bundle, request a session) and advances the time.
func (n *network) disturb() {
	from := rapid.SampledFrom(n.names).Draw(n.t, "from")
	to := rapid.SampledFrom(n.names).Draw(n.t, "to")
	switch rapid.IntRange(0, 4).Draw(n.t, "what") {
	case 0:
		n.blocked[[2]identifier.Instance{from, to}] = true
	case 1:
		delete(n.blocked, [2]identifier.Instance{from, to})
	case 2:
		n.restart(from, rapid.Bool().Draw(n.t, "zombie"))
	case 3:
		n.publish(from)
	case 4:
		n.step(n.processes[from], sessionRequested{instance: to})
	}
	n.advance(time.Duration(rapid.IntRange(0, 20).Draw(n.t, "ticks")) * tickInterval)
}

// restart replaces the process of an instance. The old process exits, or keeps running as a
// zombie.
func (n *network) restart(name identifier.Instance, zombie bool) {
	old := n.processes[name]
	if zombie {
		n.zombies = append(n.zombies, old)
	} else {
		n.kill(old)
	}
	n.start(old.self, old.incarnation+1)
}

func (n *network) kill(p *process) {
	for _, id := range slices.Sorted(maps.Keys(p.ends)) {
		e := p.ends[id]
		if e == nil || e.other == nil {
			continue
		}
		other := e.other
		other.other, e.other = nil, nil
		if n.isOpen(p, other.owner) {
			n.closeEnd(other)
		}
	}
}

// publish gives an instance a bundle version higher than all others.
func (n *network) publish(name identifier.Instance) identifier.BundleVersion {
	n.published++
	p := n.processes[name]
	p.version = n.published
	n.step(p, versionSet{version: p.version})
	return p.version
}

// After arbitrary partitions and restarts, healBound after the network has healed all instances
// of a failure domain reach one another, each pair of failure domains has a session, and all
// instances have the newest bundle; the next bundle is everywhere within spreadBound. If one
// direction between two instances stays blocked, neither of the two counts the other as
// reachable, and the rest holds unchanged. At no time does a core use a session with a replaced
// process.
func TestInstancesAgreeAfterHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, 3, 4)
		for range rapid.IntRange(1, 12).Draw(t, "disturbances") {
			n.disturb()
		}
		n.heal()
		n.advance(healBound)
		n.checkReachability()
		n.checkVersion()
		n.publish(rapid.SampledFrom(n.names).Draw(t, "publisher"))
		n.advance(spreadBound)
		n.checkVersion()
	})
}

// heal kills the zombies and unblocks all directions but up to two random ones.
func (n *network) heal() {
	clear(n.blocked)
	for range rapid.IntRange(0, 2).Draw(n.t, "lasting") {
		from := rapid.SampledFrom(n.names).Draw(n.t, "from")
		to := rapid.SampledFrom(n.names).Draw(n.t, "to")
		n.blocked[[2]identifier.Instance{from, to}] = true
	}
	for _, z := range n.zombies {
		n.kill(z)
	}
	n.zombies = nil
}

// checkVersion checks that all instances have the newest bundle that any of them has.
func (n *network) checkVersion() {
	newest := identifier.BundleVersion(0)
	for _, p := range n.processes {
		newest = max(newest, p.version)
	}
	for _, name := range n.names {
		if got := n.processes[name].version; got != newest {
			n.t.Fatalf("%s has bundle %d, not %d", name, got, newest)
		}
	}
}

// checkReachability checks that the instances of a failure domain reach one another exactly if both
// directions between them are open, that no instance counts another as reachable otherwise, and
// that each pair of failure domains has a session.
func (n *network) checkReachability() {
	pairs := map[[2]identifier.FailureDomain]int{}
	for _, name := range n.names {
		p := n.processes[name]
		for _, other := range n.peers {
			if other.Instance == name {
				continue
			}
			q := n.processes[other.Instance]
			reached := p.status[other.Instance].Reachable
			bothOpen := n.isOpen(p, q) && n.isOpen(q, p)
			inside := p.self.FailureDomain == q.self.FailureDomain
			if reached && !bothOpen || inside && !reached && bothOpen {
				n.t.Fatalf("%s reaches %s: %t, but both directions are open: %t", name, other.Instance, reached, bothOpen)
			}
			if !inside && reached {
				pairs[[2]identifier.FailureDomain{p.self.FailureDomain, q.self.FailureDomain}]++
			}
		}
	}
	if len(pairs) != 6 {
		n.t.Fatalf("not all pairs of failure domains have a session, only: %v", pairs)
	}
}
