package linker

import (
	"context"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// handle executes one action of the membership core. It does not block.
func (l *Linker) handle(a action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch a := a.(type) {
	case dialPeer:
		go l.runDialed(a)
	case useSession:
		l.useSession(a.session)
	case retireSession:
		l.retireSession(a)
	case closeSession:
		l.closeSession(a)
	case sendHeartbeat:
		l.sendHeartbeat(a)
	case requestBundle:
		if s := l.sessions[a.session]; s != nil {
			s.mailbox.putBundleRequest(&wire.BundleRequest{Version: uint64(a.version)})
		}
	case setStatus:
		l.setStatus(a)
	case removePeer:
		delete(l.statuses, a.instance)
		delete(l.seen, a.instance)
	case failSessionRequest:
		l.wake(a.instance)
	case setRelay:
		l.relays[a.domain] = a.isRelay
	}
}

func (l *Linker) useSession(id sessionID) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	l.current[s.peer.Instance] = s
	l.seen.supersede(s.peer.Instance, s.peerHello.GetIncarnation())
	l.wake(s.peer.Instance)
}

func (l *Linker) retireSession(a retireSession) {
	s := l.sessions[a.session]
	if s == nil {
		return
	}
	if a.leaving {
		s.mailbox.putLeaving()
	}
	if s.usage.retire() {
		s.mailbox.putRetired()
	}
}

func (l *Linker) closeSession(a closeSession) {
	s := l.sessions[a.session]
	if s == nil {
		return
	}
	s.closing.Store(true)
	l.metrics.countClosed(l.sessionsContext, a.reason)
	l.cfg.Logger.Info().Str("peer", string(s.peer.Instance)).Str("reason", a.reason).Msg("session closed")
	go s.close()
}

func (l *Linker) sendHeartbeat(a sendHeartbeat) {
	if s := l.sessions[a.session]; s != nil {
		s.mailbox.putHeartbeat(&wire.Heartbeat{
			Sequence:      a.sequence,
			Echo:          a.echo,
			BundleVersion: uint64(a.version),
		})
	}
}

func (l *Linker) setStatus(a setStatus) {
	l.statuses[a.status.Instance] = a.status
	if a.reason == "" {
		return
	}
	l.cfg.Logger.Info().
		Str("peer", string(a.status.Instance)).
		Str("failureDomain", string(a.status.FailureDomain)).
		Bool("reachable", a.status.Reachable).
		Str("reason", a.reason).
		Msg("peer status changed")
	go l.cfg.OnPeersChanged()
}

// sessionWait is shared by the requests that wait for a session with the same instance.
type sessionWait struct{ done chan struct{} }

func (l *Linker) wake(name identifier.Instance) {
	if w := l.waiting[name]; w != nil {
		close(w.done)
		delete(l.waiting, name)
	}
}

// beginForward returns the session with an instance, which it requests if there is none, and
// counts a request on it. It returns nil if no session can be opened or ctx ends.
func (l *Linker) beginForward(ctx context.Context, to identifier.Instance) *session {
	s, w := l.tryForward(to)
	if s != nil || w == nil {
		return s
	}
	l.core.Submit(sessionRequested{instance: to})
	select {
	case <-w.done:
		s, _ = l.tryForward(to)
		return s
	case <-ctx.Done():
		return nil
	}
}

// tryForward counts a request on the session with an instance. Without a usable session it
// returns a sessionWait, which ends when the membership core has provided or refused one.
// While this instance shuts down it returns neither.
func (l *Linker) tryForward(to identifier.Instance) (*session, *sessionWait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return nil, nil
	}
	if s := l.current[to]; s != nil && s.usage.begin() {
		return s, nil
	}
	w := l.waiting[to]
	if w == nil {
		w = &sessionWait{done: make(chan struct{})}
		l.waiting[to] = w
	}
	return nil, w
}

func (l *Linker) endForward(s *session) {
	if s.usage.end() {
		s.mailbox.putRetired()
	}
}

// isStopping reports whether this instance shuts down and refuses forwarded requests.
func (l *Linker) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}
