package limitsharer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Core divides the limits for one instance. It is deterministic and not safe for concurrent use.
type Core struct {
	cfg       Config
	accounts  []*account                     // by name
	members   []identifier.Instance          // this instance and its peers, by name
	sequences map[identifier.Instance]uint64 // of the last announcement from each peer
	sequence  uint64
	tickedAt  time.Time
	sentAt    time.Time // of the last announcement
	refreshAt time.Time // of the next one in any case
}

// New returns a Core for cfg that knows no account and no peer.
func New(cfg Config) *Core {
	return &Core{
		cfg:       withDefaults(cfg),
		members:   []identifier.Instance{cfg.Instance},
		sequences: map[identifier.Instance]uint64{},
	}
}

// Step applies e at now and returns the actions that it causes.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case AccountsSet:
		return c.setAccounts(now, e.Accounts)
	case RequestArrived:
		c.arrive(e.Account)
		return nil
	case PeerReachable:
		return c.addPeer(now, e.Instance)
	case PeerRemoved:
		return c.removePeer(e.Instance)
	case AnnouncementReceived:
		return c.receive(e.From, e.Announcement)
	case Ticked:
		return c.tick(now)
	}
	return nil
}

// setAccounts replaces the accounts. One that stays keeps its demand.
func (c *Core) setAccounts(now time.Time, accounts []Account) []Action {
	old := c.accounts
	c.accounts = nil
	for _, acct := range accounts {
		a := find(old, acct.Name)
		if a == nil {
			a = &account{name: acct.Name, announced: map[identifier.Instance]float64{}, announcedAt: now}
		}
		a.limit = acct.RequestsPerSecond
		a.rate = 0
		c.accounts = append(c.accounts, a)
	}
	slices.SortFunc(c.accounts, func(a, b *account) int { return cmp.Compare(a.name, b.name) })
	return c.rates()
}

// arrive counts a request of an account that has a limit.
func (c *Core) arrive(name identifier.ClientAccount) {
	if a := find(c.accounts, name); a != nil {
		a.arrived++
		a.recent++
	}
}

// addPeer takes a peer in, and tells it the own announcements.
func (c *Core) addPeer(now time.Time, peer identifier.Instance) []Action {
	if i, ok := slices.BinarySearch(c.members, peer); !ok {
		c.members = slices.Insert(c.members, i, peer)
	}
	acts := c.rates()
	c.sequences[peer] = 0 // its clock may have been set back meanwhile
	an := Announcement{Sequence: c.next(now)}
	for _, a := range c.accounts {
		an.Demands = append(an.Demands, Demand{Account: a.name, RequestsPerSecond: a.announced[c.cfg.Instance]})
	}
	return append(acts, Announce{To: peer, Announcement: an})
}

// removePeer forgets a peer and divides its share.
func (c *Core) removePeer(peer identifier.Instance) []Action {
	i, ok := slices.BinarySearch(c.members, peer)
	if !ok || peer == c.cfg.Instance {
		return nil
	}
	c.members = slices.Delete(c.members, i, i+1)
	delete(c.sequences, peer)
	for _, a := range c.accounts {
		delete(a.announced, peer)
	}
	return c.rates()
}

// receive takes a peer's announcement for its demand.
func (c *Core) receive(from identifier.Instance, an Announcement) []Action {
	if _, ok := slices.BinarySearch(c.members, from); !ok || an.Sequence <= c.sequences[from] {
		return nil
	}
	c.sequences[from] = an.Sequence
	for _, d := range an.Demands {
		if a := find(c.accounts, d.Account); a != nil {
			a.announced[from] = max(d.RequestsPerSecond, 0)
		}
	}
	return c.rates()
}

// tick predicts the demand and announces that of the accounts that diverge from what was announced.
func (c *Core) tick(now time.Time) []Action {
	elapsed := now.Sub(c.tickedAt)
	first := c.tickedAt.IsZero()
	c.tickedAt = now
	if first {
		c.refreshAt = now.Add(c.cfg.RefreshInterval)
		return nil
	}
	for _, a := range c.accounts {
		a.predict(elapsed, c.cfg.Smoothing)
	}
	if now.Sub(c.sentAt) < c.cfg.MinInterval {
		return nil
	}
	return c.announce(now)
}

// announce announces, once one account diverges by its bound, all that diverge by half of
// theirs, so that one message serves for several; and all accounts when a refresh is due.
func (c *Core) announce(now time.Time) []Action {
	refresh := !now.Before(c.refreshAt)
	if !refresh && !c.anyDiverges(now) {
		return nil
	}
	var demands []Demand
	for _, a := range c.accounts {
		if refresh || a.diverges(now, c.cfg.Instance, c.bound(a)/2) {
			demands = append(demands, a.announce(now, c.cfg.Instance))
		}
	}
	if refresh {
		c.refreshAt = now.Add(c.cfg.RefreshInterval)
	}
	c.sentAt = now
	return append(c.rates(), Announce{Announcement: Announcement{Sequence: c.next(now), Demands: demands}})
}

// next returns the sequence of a new announcement. It follows the milliseconds since 1970, so
// that a new process of this instance goes on above the one before.
func (c *Core) next(now time.Time) uint64 {
	c.sequence = max(c.sequence+1, uint64(now.UnixMilli()))
	return c.sequence
}

// anyDiverges reports whether an account diverges by its bound.
func (c *Core) anyDiverges(now time.Time) bool {
	return slices.ContainsFunc(c.accounts, func(a *account) bool {
		return a.diverges(now, c.cfg.Instance, c.bound(a))
	})
}

// bound returns the requests by which the demand for a may differ from the announced one
// here: an equal part of the bound for all instances.
func (c *Core) bound(a *account) float64 {
	return max(a.limit*c.cfg.MaxDivergence.Seconds()/float64(len(c.members)), c.cfg.MinBound)
}

// rates gives the limiter the rates that changed.
func (c *Core) rates() []Action {
	var acts []Action
	for _, a := range c.accounts {
		part := a.share(c.cfg.Instance, c.members, c.cfg.EqualShare)
		if rate := part * a.limit; rate != a.rate {
			a.rate = rate
			acts = append(acts, SetRate{Account: a.name, RequestsPerSecond: rate, Share: part})
		}
	}
	return acts
}

// find returns the account of the given name in accounts sorted by name, or nil.
func find(accounts []*account, name identifier.ClientAccount) *account {
	i, ok := slices.BinarySearchFunc(accounts, name, func(a *account, n identifier.ClientAccount) int { return cmp.Compare(a.name, n) })
	if !ok {
		return nil
	}
	return accounts[i]
}
