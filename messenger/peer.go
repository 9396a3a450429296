package messenger

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"amaranthmill/internal/identifier"
)

// Peer is another instance.
type Peer struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain
	Address       netip.AddrPort
	LinkMbps      float64 // bandwidth of the instance's link in Mbit/s; zero if it is not known
}

// Compare orders peers by instance name.
func (p Peer) Compare(o Peer) int { return cmp.Compare(p.Instance, o.Instance) }

// Peers is the set of the other instances, as listed in the store. It is safe for concurrent use.
type Peers struct {
	mu    sync.Mutex
	peers []Peer // sorted by instance
}

// Set adds a peer or replaces the peer of the same instance.
func (p *Peers) Set(peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = slices.DeleteFunc(p.peers, func(o Peer) bool { return o.Instance == peer.Instance })
	index, _ := slices.BinarySearchFunc(p.peers, peer, Peer.Compare)
	p.peers = slices.Insert(p.peers, index, peer)
}

// Remove removes the peer of instance i.
func (p *Peers) Remove(i identifier.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = slices.DeleteFunc(p.peers, func(o Peer) bool { return o.Instance == i })
}

// All returns the peers, sorted by instance.
func (p *Peers) All() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.peers)
}

// Find returns the peer of instance i, or false if there is none.
func (p *Peers) Find(i identifier.Instance) (Peer, bool) {
	for _, peer := range p.All() {
		if peer.Instance == i {
			return peer, true
		}
	}
	return Peer{}, false
}
