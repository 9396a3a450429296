package linker

import (
	"context"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// handle carries out one action of the membership core. It does not block.
func (l *Linker) handle(a action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch a := a.(type) {
	case dialPeer:
		go l.connect(a)
	case useSession:
		l.useSession(a.session)
	case retireSession:
		l.retireSession(a)
	case closeSession:
		l.closeSession(a)
	case sendHeartbeat:
		l.sendHeartbeat(a)
	case askBundle:
		if s := l.sessions[a.session]; s != nil {
			s.box.putRequest(&wire.BundleRequest{Version: uint64(a.version)})
		}
	case setStatus:
		l.setStatus(a)
	case forgetPeer:
		delete(l.statuses, a.instance)
		delete(l.seen, a.instance)
	case refuseNeed:
		l.wake(a.instance)
	case setRelay:
		l.relays[a.domain] = a.relays
	}
}

func (l *Linker) useSession(id sessionID) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	l.current[s.peer.Instance] = s
	l.seen.supersede(s.peer.Instance, s.hello.GetIncarnation())
	l.wake(s.peer.Instance)
}

func (l *Linker) retireSession(a retireSession) {
	s := l.sessions[a.session]
	if s == nil {
		return
	}
	if a.leaving {
		s.box.putLeaving()
	}
	if s.use.retire() {
		s.box.putRetired()
	}
}

func (l *Linker) closeSession(a closeSession) {
	s := l.sessions[a.session]
	if s == nil {
		return
	}
	s.closing.Store(true)
	l.metrics.end(l.run, a.reason)
	l.cfg.Logger.Info().Str("peer", string(s.peer.Instance)).Str("reason", a.reason).Msg("session closed")
	go s.close()
}

func (l *Linker) sendHeartbeat(a sendHeartbeat) {
	if s := l.sessions[a.session]; s != nil {
		s.box.putHeartbeat(&wire.Heartbeat{
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
		Msg("peer changed")
	go l.cfg.OnPeersChanged()
}

// wait is the requests that wait for a session with one instance.
type wait struct{ done chan struct{} }

func (l *Linker) wake(name identifier.Instance) {
	if w := l.waits[name]; w != nil {
		close(w.done)
		delete(l.waits, name)
	}
}

// beginForward returns the session with an instance, which it opens if need be, and
// counts a request on it. It returns nil if none can be had before ctx ends.
func (l *Linker) beginForward(ctx context.Context, to identifier.Instance) *session {
	s, w := l.tryForward(to)
	if s != nil || w == nil {
		return s
	}
	l.core.Submit(needed{instance: to})
	select {
	case <-w.done:
		s, _ = l.tryForward(to)
		return s
	case <-ctx.Done():
		return nil
	}
}

// tryForward counts a request on the session with an instance, or else returns what
// wakes when the membership core has decided on one.
func (l *Linker) tryForward(to identifier.Instance) (*session, *wait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return nil, nil
	}
	if s := l.current[to]; s != nil && s.use.begin() {
		return s, nil
	}
	w := l.waits[to]
	if w == nil {
		w = &wait{done: make(chan struct{})}
		l.waits[to] = w
	}
	return nil, w
}

func (l *Linker) endForward(s *session) {
	if s.use.end() {
		s.box.putRetired()
	}
}

// isStopping reports whether requests that a peer forwards are refused.
func (l *Linker) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}
