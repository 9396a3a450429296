package scheduler

import "time"

// handlePeerEnd handles the end of an attempt through a peer.
func (s *Scheduler) handlePeerEnd(now time.Time, a *attempt, e Ending) {
	f, p := a.flight, a.peer
	switch end := e.(type) {
	case Completed:
		p.serve()
		if !a.hasEvent {
			s.countAnswer(now, f)
		}
		s.finish(f, Delivered{Attempt: a.number})
	case NotSent:
		p.refuse(now.Add(peerPause))
		f.triedPeers = append(f.triedPeers, p)
		s.goOn(now, f)
	case PeerRefused:
		s.handlePeerRefusal(now, f, p, end)
	case Failed:
		s.handleEndpointError(now, a, end)
	case Broken:
		f.countPossibleRun(a)
		p.hasServed = false
		f.triedPeers = append(f.triedPeers, p)
		s.retry(now, f, ReasonAnswerLost)
	case Expired:
		f.countPossibleRun(a)
		s.giveUp(now, f, ReasonDeadline)
	}
}

// handlePeerRefusal goes on with another peer if p can't serve the request, and gives the request up if
// no other instance is expected to serve it either.
func (s *Scheduler) handlePeerRefusal(now time.Time, f *flight, p *peer, e PeerRefused) {
	f.peerRefusals++
	f.peerRefusal = e
	f.triedPeers = append(f.triedPeers, p)
	switch e.Reason {
	case ReasonStopping, ReasonOlderVersion:
		p.refuse(now.Add(stoppingPause))
	case ReasonCutOff:
		p.refuse(now.Add(cutOffPause))
	case ReasonNoTarget:
		p.pausePool(now, f.Pool)
	case ReasonClosed, ReasonLimited, ReasonRetryBudget: // of that instance only
	default:
		if len(f.running) == 0 {
			s.giveUp(now, f, e.Reason)
		}
		return
	}
	s.goOn(now, f)
}

// unservedReason returns the reason why f ends if neither a target nor a peer can serve it.
func (s *Scheduler) unservedReason(f *flight) Reason {
	switch r := f.peerRefusal.Reason; r {
	case ReasonClosed, ReasonLimited, ReasonRetryBudget:
		return r
	}
	return s.noTargetReason(f.Pool)
}
