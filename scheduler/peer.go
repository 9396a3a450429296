package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Bounds on attempts through peers.
const (
	maxPeerCandidates = 4                      // peers of the local failure domain, and of the others, among which one is chosen, so that an instance's connections to peers don't grow with the fleet
	remotePeerPenalty = 4                      // requests by which a peer of another failure domain counts as busier
	maxPeerRefusals   = 3                      // peers that may refuse a request before it is given up
	peerPause         = time.Second            // for which a peer that can't serve requests gets none
	cutOffPause       = 250 * time.Millisecond // the same for a peer that is cut off from endpoints too, which may have its links back any moment
	stoppingPause     = 5 * time.Second        // the same for a peer that stops, or that is of an older version
	maxNotSent        = 2                      // targets that a request may fail to reach before it goes through a peer
)

// peer is another instance, which may send requests to endpoints for this one.
type peer struct {
	Instance
	hash        uint64 // orders the peers differently at each instance
	running     int    // attempts through it
	hasServed   bool   // it has served a request, and refused none since
	hasRefused  bool   // it has refused a request, and served none since
	pausedUntil time.Time
	pools       map[identifier.Pool]time.Time // until when it gets no requests for a pool
}

// isPaused reports whether p gets no requests for a pool now.
func (p *peer) isPaused(now time.Time, pool identifier.Pool) bool {
	return now.Before(p.pausedUntil) || now.Before(p.pools[pool])
}

// refuse records that p could not serve a request, and keeps all requests from it until a time.
func (p *peer) refuse(until time.Time) {
	p.hasServed, p.hasRefused, p.pausedUntil = false, true, until
}

// serve records that p serves a request.
func (p *peer) serve() { p.hasServed, p.hasRefused = true, false }

// pausePool keeps requests for a pool from p for a time.
func (p *peer) pausePool(now time.Time, pool identifier.Pool) {
	if p.pools == nil {
		p.pools = map[identifier.Pool]time.Time{}
	}
	p.pools[pool] = now.Add(peerPause)
}

// setPeers replaces the peers by the listed instances. What is known of those that stay is kept.
func (s *Scheduler) setPeers(listed []Instance) {
	known := map[identifier.Instance]*peer{}
	for _, p := range s.peers {
		known[p.Name] = p
	}
	s.peers = s.peers[:0]
	for _, in := range listed {
		if in.Name == s.cfg.Instance {
			continue
		}
		p := known[in.Name]
		if p == nil {
			p = &peer{hash: hashOf(string(s.cfg.Instance) + "/" + string(in.Name))}
		}
		p.Instance = in
		s.peers = append(s.peers, p)
	}
	slices.SortFunc(s.peers, func(a, b *peer) int { return cmp.Compare(a.hash, b.hash) })
}

// standing is 0 for a peer that has served, 1 for one of which nothing is known, and 2 for one that has refused: in a fleet of which many
// instances are cut off, no request has to ask those again.
func (p *peer) standing() int {
	switch {
	case p.hasServed:
		return 0
	case p.hasRefused:
		return 2
	}
	return 1
}

// choosePeer returns the peer through which f is sent, or nil if there is none: of the first peers of the best standing that are not
// paused, in the order of this instance, the one with the fewest requests.
func (s *Scheduler) choosePeer(now time.Time, f *flight) *peer {
	if f.ViaPeer || f.peerRefusals >= maxPeerRefusals {
		return nil
	}
	var best *peer
	local, remote := 0, 0
	for _, p := range s.peers {
		if p.isPaused(now, f.Pool) || slices.Contains(f.triedPeers, p) || best != nil && p.standing() > best.standing() {
			continue
		}
		if best != nil && p.standing() < best.standing() {
			best, local, remote = nil, 0, 0
		}
		count := &remote
		if s.isLocal(p) {
			count = &local
		}
		if *count++; *count <= maxPeerCandidates && (best == nil || s.peerScore(p) < s.peerScore(best)) {
			best = p
		}
	}
	return best
}

func (s *Scheduler) isLocal(p *peer) bool { return p.FailureDomain == s.cfg.FailureDomain }

func (s *Scheduler) peerScore(p *peer) int {
	if s.isLocal(p) {
		return p.running
	}
	return p.running + remotePeerPenalty
}

// mayGoThroughPeer reports whether f, for which no target is available for a reason, may be served by a peer:
// this instance has lost its links, or reaches no target of the pool although some are listed.
func (s *Scheduler) mayGoThroughPeer(now time.Time, f *flight, reason Reason) bool {
	switch {
	case s.pools[f.Pool] == nil || s.isEvacuated(f.Pool):
		return false // peers have the same list and the same evacuations
	case f.notSent >= maxNotSent:
		return true
	case s.reach.isCutOff():
		return reason == ReasonNoTarget || reason == ReasonFull
	}
	return reason == ReasonNoTarget && s.pools[f.Pool].isUnreachable(now)
}

// isUnreachable reports whether this instance reaches none of p's targets that are not evacuated. Fewer than minUnreachable may
// all be silent for a moment.
func (p *pool) isUnreachable(now time.Time) bool {
	isFew := len(p.targets)-p.evacuated < minUnreachable
	return !slices.ContainsFunc(p.targets, func(t *target) bool {
		return !t.Evacuated && (!t.isUnreachable() || isFew && (t.stalledAt.IsZero() || now.Sub(t.stalledAt) < maxSilence))
	})
}

// placeThroughPeers sends the waiting requests of a pool through peers as far as that is possible, if this instance has lost its links
// to the pool's targets.
func (s *Scheduler) placeThroughPeers(now time.Time, q *queue, pl *pool) {
	if !s.reach.isCutOff() && !pl.isUnreachable(now) {
		return
	}
	for _, f := range slices.Clone(q.flights) {
		if f.Deadline.Sub(now) < minServeTime || s.blockingReason(f) != "" || !s.mayGoThroughPeer(now, f, ReasonNoTarget) {
			continue
		}
		p := s.choosePeer(now, f)
		if p == nil || f.sentAttempts > 0 && !s.budget.trySpend(f.Service) {
			continue
		}
		s.start(now, f, destination{peer: p}, "")
	}
}

// isPeerAttemptOverdue reports whether an attempt through a peer has made no progress for so long that
// the peer, the link to it or the endpoint may have failed. The peer itself does not hedge it.
func (s *Scheduler) isPeerAttemptOverdue(now time.Time, a *attempt) bool {
	bound := max(peerStallFactor*s.cfg.MinFirstEventStall, peerStallFactor*a.flight.LatencyGoal)
	if a.hasEvent {
		bound = max(peerStallFactor*s.cfg.MinStreamStall, peerStallFactor*a.flight.GapGoal)
	}
	return now.Sub(a.lastProgressAt) >= bound
}

// peerStallFactor is the time without progress of an attempt through a peer, as a multiple of the shortest
// that stalls a target and of the request's goal, after which the request is hedged.
const peerStallFactor = 2
