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

// healBound is the longest wait of each kind before a session opens and counts: one
// dial put off, the other side's turn, a flap, and the notice that the old one is silent.
const healBound = longestRedial + fallbackWait + longestFlap + 2*silenceLimit

// spreadBound is how soon a bundle is in force everywhere.
const spreadBound = 5 * time.Second

// process is one run of an instance: its core and the far ends of its sessions.
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

// network joins a few cores. A message between two instances is lost while the way is cut.
type network struct {
	t         *rapid.T
	now       time.Time
	names     []identifier.Instance
	listing   []Peer
	processes map[identifier.Instance]*process
	zombies   []*process // replaced, and still running
	cut       map[[2]identifier.Instance]bool
	published identifier.BundleVersion
}

func newNetwork(t *rapid.T, domains, size int) *network {
	n := &network{
		t:         t,
		now:       scripter.Start,
		processes: map[identifier.Instance]*process{},
		cut:       map[[2]identifier.Instance]bool{},
	}
	for d := range domains {
		for i := range size {
			name := identifier.Instance(fmt.Sprintf("i%d%d", i, d))
			domain := identifier.FailureDomain(fmt.Sprintf("d%d", d))
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(d), byte(i)}), 7000)
			n.names = append(n.names, name)
			n.listing = append(n.listing, Peer{Instance: name, FailureDomain: domain, Address: address})
		}
	}
	for _, p := range n.listing {
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
	n.step(p, listed{peers: n.listing})
}

func (n *network) passes(from, to *process) bool {
	return !n.cut[[2]identifier.Instance{from.self.Instance, to.self.Instance}]
}

func (n *network) step(p *process, e event) {
	for _, a := range p.core.Step(n.now, e) {
		n.effect(p, a)
	}
	for _, m := range p.core.members {
		if m.link != nil && m.link.incarnation < m.incarnation {
			n.t.Fatalf("%s believes a stale process of %s", p.self.Instance, m.Instance)
		}
	}
}

func (n *network) effect(p *process, a action) {
	switch a := a.(type) {
	case dialPeer:
		n.dial(p, a)
	case closeSession:
		n.closeEnd(p.ends[a.session])
	case retireSession:
		n.retire(p.ends[a.session], a.leaving)
	case sendHeartbeat:
		if e := p.ends[a.session]; e != nil && e.other != nil && n.passes(p, e.other.owner) {
			n.step(e.other.owner, heard{session: e.other.id, sequence: a.sequence, echo: a.echo, version: a.version})
		}
	case askBundle:
		n.transfer(p, p.ends[a.session])
	case setStatus:
		p.status[a.status.Instance] = a.status
	}
}

func (n *network) dial(p *process, a dialPeer) {
	q := n.processes[a.peer.Instance]
	if q == nil || !n.passes(p, q) || !n.passes(q, p) {
		n.step(p, dialFailed{instance: a.peer.Instance})
		return
	}
	near, far := p.addEnd(), q.addEnd()
	near.other, far.other = far, near
	n.step(q, opened{session: far.id, peer: p.self, incarnation: p.incarnation, attempt: a.attempt})
	n.step(p, opened{session: near.id, peer: q.self, incarnation: q.incarnation, attempt: a.attempt, dialed: true})
}

func (p *process) addEnd() *end {
	p.last++
	e := &end{owner: p, id: p.last}
	p.ends[e.id] = e
	return e
}

// closeEnd closes one end. The other end learns of it unless the way there is cut.
func (n *network) closeEnd(e *end) {
	if e == nil || e.owner.ends[e.id] == nil {
		return
	}
	delete(e.owner.ends, e.id)
	n.step(e.owner, ended{session: e.id})
	other := e.other
	if other == nil {
		return
	}
	other.other = nil
	if n.passes(e.owner, other.owner) {
		n.closeEnd(other)
	}
}

func (n *network) retire(e *end, leaving bool) {
	if e == nil || e.other == nil || !n.passes(e.owner, e.other.owner) {
		return
	}
	e.retired = true
	other := e.other
	n.step(other.owner, peerRetires{session: other.id, leaving: leaving})
	if e.retired && other.retired {
		n.closeEnd(e)
	}
}

// transfer sends the bundle of the peer of e to p, which asks for it.
func (n *network) transfer(p *process, e *end) {
	if e == nil || e.other == nil || !n.passes(p, e.other.owner) || !n.passes(e.other.owner, p) {
		return
	}
	p.version = max(p.version, e.other.owner.version)
	n.step(p, versioned{version: p.version})
}

// pass lets time pass in ticks of all processes.
func (n *network) pass(d time.Duration) {
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

// disturb does one random thing to the network and lets some time pass.
func (n *network) disturb() {
	from := rapid.SampledFrom(n.names).Draw(n.t, "from")
	to := rapid.SampledFrom(n.names).Draw(n.t, "to")
	switch rapid.IntRange(0, 4).Draw(n.t, "what") {
	case 0:
		n.cut[[2]identifier.Instance{from, to}] = true
	case 1:
		delete(n.cut, [2]identifier.Instance{from, to})
	case 2:
		n.restart(from, rapid.Bool().Draw(n.t, "zombie"))
	case 3:
		n.publish(from)
	case 4:
		n.step(n.processes[from], needed{instance: to})
	}
	n.pass(time.Duration(rapid.IntRange(0, 20).Draw(n.t, "ticks")) * tickInterval)
}

// restart replaces the process of an instance. The old one dies, or goes on as a zombie.
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
		if n.passes(p, other.owner) {
			n.closeEnd(other)
		}
	}
}

// publish gives an instance a version that is above all others.
func (n *network) publish(name identifier.Instance) identifier.BundleVersion {
	n.published++
	p := n.processes[name]
	p.version = n.published
	n.step(p, versioned{version: p.version})
	return p.version
}

// Whatever was cut and restarted, a bound after the ways are healed all instances of a
// failure domain reach one another, each pair of failure domains has a session, all have
// the newest bundle, and the next one is everywhere within its own bound. Where a way stays
// cut in one direction, neither side reaches the other, and the rest holds all the same.
// No replaced process is believed at any time.
func TestAllAgreeOnceHealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, 3, 4)
		for range rapid.IntRange(1, 12).Draw(t, "disturbances") {
			n.disturb()
		}
		n.heal()
		n.pass(healBound)
		n.checkReach()
		n.checkVersion()
		n.publish(rapid.SampledFrom(n.names).Draw(t, "publisher"))
		n.pass(spreadBound)
		n.checkVersion()
	})
}

// heal ends the zombies and all cuts but a few.
func (n *network) heal() {
	clear(n.cut)
	for range rapid.IntRange(0, 2).Draw(n.t, "lasting") {
		from := rapid.SampledFrom(n.names).Draw(n.t, "from")
		to := rapid.SampledFrom(n.names).Draw(n.t, "to")
		n.cut[[2]identifier.Instance{from, to}] = true
	}
	for _, z := range n.zombies {
		n.kill(z)
	}
	n.zombies = nil
}

// checkVersion checks that all have the newest bundle that any has.
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

func (n *network) checkReach() {
	pairs := map[[2]identifier.FailureDomain]int{}
	for _, name := range n.names {
		p := n.processes[name]
		for _, other := range n.listing {
			if other.Instance == name {
				continue
			}
			q := n.processes[other.Instance]
			reached := p.status[other.Instance].Reachable
			whole := n.passes(p, q) && n.passes(q, p)
			inside := p.self.FailureDomain == q.self.FailureDomain
			if reached && !whole || inside && !reached && whole {
				n.t.Fatalf("%s reaches %s: %t, but ways are whole: %t", name, other.Instance, reached, whole)
			}
			if !inside && reached {
				pairs[[2]identifier.FailureDomain{p.self.FailureDomain, q.self.FailureDomain}]++
			}
		}
	}
	if len(pairs) != 6 {
		n.t.Fatalf("sessions only between these failure domains: %v", pairs)
	}
}
