package limitsharer

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Core computes the share of each limit for one instance. It is deterministic and not safe for concurrent use.
type Core struct {
	cfg           Config
	accounts      []*account                     // by name
	members       []identifier.Instance          // this instance and its peers, by name
	lastSequences map[identifier.Instance]uint64 // of the last accepted announcement from each peer
	sequence      uint64
	tickedAt      time.Time
	sentAt        time.Time // of the last announcement to all peers
	refreshAt     time.Time // when all accounts are announced next, even if none diverges
}

// New returns a Core for cfg without accounts and peers.
func New(cfg Config) *Core {
	return &Core{
		cfg:           withDefaults(cfg),
		members:       []identifier.Instance{cfg.Instance},
		lastSequences: map[identifier.Instance]uint64{},
	}
}

// Step applies e at time now and returns the resulting actions.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case AccountsSet:
		return c.setAccounts(now, e.Accounts)
	case RequestArrived:
		c.countRequest(e.Account)
		return nil
	case PeerReachable:
		return c.addPeer(now, e.Instance)
	case PeerRemoved:
		return c.removePeer(e.Instance)
	case AnnouncementReceived:
		return c.applyAnnouncement(e.From, e.Announcement)
	case Ticked:
		return c.handleTick(now)
	}
	return nil
}

// setAccounts replaces the accounts. An account that was present before keeps its demand.
func (c *Core) setAccounts(now time.Time, accounts []Account) []Action {
	old := c.accounts
	c.accounts = nil
	for _, acct := range accounts {
		a := findAccount(old, acct.Name)
		if a == nil {
			a = &account{name: acct.Name, announced: map[identifier.Instance]float64{}, announcedAt: now}
		}
		a.limit = acct.RequestsPerSecond
		a.lastRate = 0
		c.accounts = append(c.accounts, a)
	}
	slices.SortFunc(c.accounts, func(a, b *account) int { return cmp.Compare(a.name, b.name) })
	return c.updateRates()
}

// countRequest counts a request if its account has a limit.
func (c *Core) countRequest(name identifier.ClientAccount) {
	if a := findAccount(c.accounts, name); a != nil {
		a.arrivedSinceAnnouncement++
		a.arrivedSinceTick++
	}
}

// addPeer adds a peer and sends it the current announcements of this instance.
func (c *Core) addPeer(now time.Time, peer identifier.Instance) []Action {
	if i, ok := slices.BinarySearch(c.members, peer); !ok {
		c.members = slices.Insert(c.members, i, peer)
	}
	acts := c.updateRates()
	c.lastSequences[peer] = 0 // a restarted peer whose clock was set back starts at a lower sequence
	an := Announcement{Sequence: c.nextSequence(now)}
	for _, a := range c.accounts {
		an.Demands = append(an.Demands, Demand{Account: a.name, RequestsPerSecond: a.announced[c.cfg.Instance]})
	}
	return append(acts, Announce{To: peer, Announcement: an})
}

// removePeer removes a peer and divides its share among the other members.
func (c *Core) removePeer(peer identifier.Instance) []Action {
	i, ok := slices.BinarySearch(c.members, peer)
	if !ok || peer == c.cfg.Instance {
		return nil
	}
	c.members = slices.Delete(c.members, i, i+1)
	delete(c.lastSequences, peer)
	for _, a := range c.accounts {
		delete(a.announced, peer)
	}
	return c.updateRates()
}

// applyAnnouncement stores the demand that a peer announced. It ignores announcements of unknown
// peers and announcements that are not newer than the last accepted one.
func (c *Core) applyAnnouncement(from identifier.Instance, an Announcement) []Action {
	if _, ok := slices.BinarySearch(c.members, from); !ok || an.Sequence <= c.lastSequences[from] {
		return nil
	}
	c.lastSequences[from] = an.Sequence
	for _, d := range an.Demands {
		if a := findAccount(c.accounts, d.Account); a != nil {
			a.announced[from] = max(d.RequestsPerSecond, 0)
		}
	}
	return c.updateRates()
}

// handleTick updates the predicted demand and, after Config.MinInterval, announces the accounts
// whose demand diverges from the announcement. The first tick only starts the measurement.
func (c *Core) handleTick(now time.Time) []Action {
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

// announce announces all accounts when a refresh is due. Otherwise, if one account diverges by more
// than its bound, it announces every account that diverges by more than half of its bound, so that
// one message serves several accounts.
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
	return append(c.updateRates(), Announce{Announcement: Announcement{Sequence: c.nextSequence(now), Demands: demands}})
}

// nextSequence returns the sequence of a new announcement. It is at least the number of milliseconds
// since 1970, so that a new process of this instance continues above the previous process.
func (c *Core) nextSequence(now time.Time) uint64 {
	c.sequence = max(c.sequence+1, uint64(now.UnixMilli()))
	return c.sequence
}

// anyDiverges reports whether an account diverges by more than its bound.
func (c *Core) anyDiverges(now time.Time) bool {
	return slices.ContainsFunc(c.accounts, func(a *account) bool {
		return a.diverges(now, c.cfg.Instance, c.bound(a))
	})
}

// bound returns the number of requests by which the demand for a at this instance may differ from
// its announcement: an equal part of the bound for all instances, but at least Config.MinBound.
func (c *Core) bound(a *account) float64 {
	return max(a.limit*c.cfg.MaxDivergence.Seconds()/float64(len(c.members)), c.cfg.MinBound)
}

// updateRates recomputes the rates of this instance and returns those that changed, for the limiter.
func (c *Core) updateRates() []Action {
	var acts []Action
	for _, a := range c.accounts {
		share := a.share(c.cfg.Instance, c.members, c.cfg.EqualShare)
		if rate := share * a.limit; rate != a.lastRate {
			a.lastRate = rate
			acts = append(acts, SetRate{Account: a.name, RequestsPerSecond: rate, Share: share})
		}
	}
	return acts
}

// findAccount returns the account of the given name in accounts sorted by name, or nil.
func findAccount(accounts []*account, name identifier.ClientAccount) *account {
	i, ok := slices.BinarySearchFunc(accounts, name, func(a *account, n identifier.ClientAccount) int { return cmp.Compare(a.name, n) })
	if !ok {
		return nil
	}
	return accounts[i]
}
