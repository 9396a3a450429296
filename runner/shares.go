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

// shareTick is the time between two ticks of the limitsharer.
const shareTick = 250 * time.Millisecond

// shares divides the client accounts' limits with the other instances. Only an instance
// that was in reach of every other one takes more than its equal share.
type shares struct {
	linker     *linker.Linker
	dispatcher *dispatcher.Dispatcher
	step       *stepper.Stepper[limitsharer.Event, limitsharer.Action]

	mu    sync.Mutex
	known map[identifier.Instance]reach
	parts map[identifier.ClientAccount]float64 // as the limitsharer divided them last
}

// reach is what is known of one peer.
type reach struct {
	now  bool // in reach
	ever bool
}

func newShares(self identifier.Instance, l *linker.Linker, d *dispatcher.Dispatcher) *shares {
	s := &shares{linker: l, dispatcher: d, known: map[identifier.Instance]reach{}, parts: map[identifier.ClientAccount]float64{}}
	s.step = stepper.New(stepper.Config[limitsharer.Event, limitsharer.Action]{
		Core: limitsharer.New(limitsharer.Config{Instance: self}), Handle: s.handle,
	})
	return s
}

// run lets time pass until ctx ends.
func (s *shares) run(ctx context.Context) error {
	return runEvery(ctx, shareTick, func(context.Context) { s.step.Submit(limitsharer.Ticked{}) })
}

// setBundle takes the accounts that have a limit.
func (s *shares) setBundle(b *bundler.Bundle) {
	var accounts []limitsharer.Account
	for _, a := range b.Accounts {
		if a.RequestsPerSecond > 0 {
			accounts = append(accounts, limitsharer.Account{Name: a.Name, RequestsPerSecond: a.RequestsPerSecond})
		}
	}
	s.step.Submit(limitsharer.AccountsSet{Accounts: accounts})
}

// setPeers tells the limitsharer which instances came into reach and which are gone. One that
// is only out of reach keeps its share.
func (s *shares) setPeers(peers []linker.PeerStatus) {
	for _, e := range s.changes(peers) {
		s.step.Submit(e)
	}
	s.apply()
}

func (s *shares) changes(peers []linker.PeerStatus) []limitsharer.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []limitsharer.Event
	listed := map[identifier.Instance]bool{}
	for _, p := range peers {
		if p.Leaving {
			continue
		}
		listed[p.Instance] = true
		was := s.known[p.Instance]
		if p.Reachable && !was.now {
			out = append(out, limitsharer.PeerReachable{Instance: p.Instance})
		}
		s.known[p.Instance] = reach{now: p.Reachable, ever: was.ever || p.Reachable}
	}
	for name := range s.known {
		if !listed[name] {
			delete(s.known, name)
			out = append(out, limitsharer.PeerRemoved{Instance: name})
		}
	}
	return out
}

// receive takes a peer's announcement.
func (s *shares) receive(from identifier.Instance, m linker.DemandAnnouncement) {
	a := limitsharer.Announcement{Sequence: m.Sequence}
	for _, d := range m.Demands {
		a.Demands = append(a.Demands, limitsharer.Demand(d))
	}
	s.step.Submit(limitsharer.AnnouncementReceived{From: from, Announcement: a})
}

// handle carries out the limitsharer's actions.
func (s *shares) handle(a limitsharer.Action) {
	switch a := a.(type) {
	case limitsharer.Announce:
		s.announce(a)
	case limitsharer.SetRate:
		s.setPart(a.Account, a.Share)
	}
}

// setPart keeps the part of one account and gives it to the dispatcher.
func (s *shares) setPart(account identifier.ClientAccount, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[account] = part
	s.give(account, s.isComplete())
}

// apply gives the dispatcher the parts of all accounts after the peers changed.
func (s *shares) apply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete := s.isComplete()
	for account := range s.parts {
		s.give(account, complete)
	}
}

// give gives the dispatcher the part of an account, or an equal part while there is an
// instance that was never in reach: what that one admits is not known here. s.mu is held.
func (s *shares) give(account identifier.ClientAccount, complete bool) {
	part := s.parts[account]
	if !complete {
		part = 0
	}
	s.dispatcher.SetLimitShare(account, part)
}

func (s *shares) announce(a limitsharer.Announce) {
	m := linker.DemandAnnouncement{Sequence: a.Announcement.Sequence}
	for _, d := range a.Announcement.Demands {
		m.Demands = append(m.Demands, linker.AccountDemand(d))
	}
	if a.To == "" {
		s.linker.Broadcast(m)
		return
	}
	_ = s.linker.Send(a.To, m) // a peer that is gone again is told when it comes back
}

// isComplete reports whether every other instance was in reach at some time; s.mu is held.
func (s *shares) isComplete() bool {
	for _, peer := range s.known {
		if !peer.ever {
			return false
		}
	}
	return true
}

// observed is a dispatcher whose callers' requests the shares count.
type observed struct {
	*dispatcher.Dispatcher
	shares *shares
}

// Serve counts q for its client account and carries it out.
func (o observed) Serve(ctx context.Context, q router.Request, w router.Writer) router.Outcome {
	o.shares.step.Submit(limitsharer.RequestArrived{Account: q.Account})
	return o.Dispatcher.Serve(ctx, q, w)
}
