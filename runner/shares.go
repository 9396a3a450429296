package runner

import (
	"context"
	"sync"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/dispatcher"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
	"amaranthmill/limitsharer"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// shareTickInterval is the time between two ticks of the limitsharer core.
const shareTickInterval = 250 * time.Millisecond

// limitShares drives a limitsharer.Core, which divides the limits of the client accounts among
// the instances, and passes the share of this instance to the dispatcher. The instance uses
// more than an equal share only if every other instance has been reachable at some time.
type limitShares struct {
	linker     *linker.Linker
	dispatcher *dispatcher.Dispatcher
	step       *stepper.Stepper[limitsharer.Event, limitsharer.Action]

	mu     sync.Mutex
	peers  map[identifier.Instance]reachability
	shares map[identifier.ClientAccount]float64 // latest shares from the core
}

// reachability is the reachability of one peer.
type reachability struct {
	reachable     bool
	everReachable bool
}

func newLimitShares(self identifier.Instance, l *linker.Linker, d *dispatcher.Dispatcher) *limitShares {
	s := &limitShares{linker: l, dispatcher: d, peers: map[identifier.Instance]reachability{}, shares: map[identifier.ClientAccount]float64{}}
	s.step = stepper.New(stepper.Config[limitsharer.Event, limitsharer.Action]{
		Core: limitsharer.New(limitsharer.Config{Instance: self}), Handle: s.handle,
	})
	return s
}

// run submits ticks to the core until ctx is done. It returns nil.
func (s *limitShares) run(ctx context.Context) error {
	return runEvery(ctx, shareTickInterval, func(context.Context) { s.step.Submit(limitsharer.Ticked{}) })
}

// setBundle sets the client accounts that have a limit.
func (s *limitShares) setBundle(b *bundler.Bundle) {
	var accounts []limitsharer.Account
	for _, a := range b.Accounts {
		if a.RequestsPerSecond > 0 {
			accounts = append(accounts, limitsharer.Account{Name: a.Name, RequestsPerSecond: a.RequestsPerSecond})
		}
	}
	s.step.Submit(limitsharer.AccountsSet{Accounts: accounts})
}

// setPeers submits which instances became reachable and which were removed. An instance that is
// only unreachable keeps its share.
func (s *limitShares) setPeers(peers []linker.PeerStatus) {
	for _, e := range s.peerEvents(peers) {
		s.step.Submit(e)
	}
	s.applyAll()
}

// peerEvents records the reachability of the peers and returns the resulting events.
func (s *limitShares) peerEvents(peers []linker.PeerStatus) []limitsharer.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []limitsharer.Event
	listed := map[identifier.Instance]bool{}
	for _, p := range peers {
		if p.Leaving {
			continue
		}
		listed[p.Instance] = true
		previous := s.peers[p.Instance]
		if p.Reachable && !previous.reachable {
			out = append(out, limitsharer.PeerReachable{Instance: p.Instance})
		}
		s.peers[p.Instance] = reachability{reachable: p.Reachable, everReachable: previous.everReachable || p.Reachable}
	}
	for name := range s.peers {
		if !listed[name] {
			delete(s.peers, name)
			out = append(out, limitsharer.PeerRemoved{Instance: name})
		}
	}
	return out
}

// receive submits the announcement of a peer.
func (s *limitShares) receive(from identifier.Instance, m linker.DemandAnnouncement) {
	a := limitsharer.Announcement{Sequence: m.Sequence}
	for _, d := range m.Demands {
		a.Demands = append(a.Demands, limitsharer.Demand(d))
	}
	s.step.Submit(limitsharer.AnnouncementReceived{From: from, Announcement: a})
}

// handle executes one action of the core.
func (s *limitShares) handle(a limitsharer.Action) {
	switch a := a.(type) {
	case limitsharer.Announce:
		s.announce(a)
	case limitsharer.SetRate:
		s.setShare(a.Account, a.Share)
	}
}

// setShare stores the share of one account and passes it to the dispatcher.
func (s *limitShares) setShare(account identifier.ClientAccount, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares[account] = share
	s.applyShare(account, s.hasSeenAllPeers())
}

// applyAll passes the shares of all accounts to the dispatcher, after the peers have changed.
func (s *limitShares) applyAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	allSeen := s.hasSeenAllPeers()
	for account := range s.shares {
		s.applyShare(account, allSeen)
	}
}

// applyShare passes the share of an account to the dispatcher. If allSeen is false, it passes
// zero, which selects an equal share, because the demand at an instance that has never been
// reachable is not known here. s.mu is held.
func (s *limitShares) applyShare(account identifier.ClientAccount, allSeen bool) {
	share := s.shares[account]
	if !allSeen {
		share = 0
	}
	s.dispatcher.SetLimitShare(account, share)
}

func (s *limitShares) announce(a limitsharer.Announce) {
	m := linker.DemandAnnouncement{Sequence: a.Announcement.Sequence}
	for _, d := range a.Announcement.Demands {
		m.Demands = append(m.Demands, linker.AccountDemand(d))
	}
	if a.To == "" {
		s.linker.Broadcast(m)
		return
	}
	_ = s.linker.Send(a.To, m) // an unreachable peer gets the announcement when it is reachable again
}

// hasSeenAllPeers reports whether every other instance has been reachable at some time. s.mu is
// held.
func (s *limitShares) hasSeenAllPeers() bool {
	for _, peer := range s.peers {
		if !peer.everReachable {
			return false
		}
	}
	return true
}

// countingDispatcher is a dispatcher that reports each request of a caller to the limit shares.
type countingDispatcher struct {
	*dispatcher.Dispatcher
	shares *limitShares
}

// Serve counts q for its client account and then serves it.
func (o countingDispatcher) Serve(ctx context.Context, q router.Request, w router.Writer) router.Outcome {
	o.shares.step.Submit(limitsharer.RequestArrived{Account: q.Account})
	return o.Dispatcher.Serve(ctx, q, w)
}
