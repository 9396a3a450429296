package linker

import (
	"context"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// Send queues m for one instance without waiting; m can still be lost if the session ends.
// Send returns a NotReachableError if there is no session.
func (l *Linker) Send(to identifier.Instance, m Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.current[to]
	if s == nil {
		return &NotReachableError{Instance: to}
	}
	l.post(s, l.wrap(m))
	return nil
}

// Broadcast distributes m. A ProbeDigest is sent to the instances of the local failure
// domain. A Suspicion reaches every instance, and each instance relays it once. A LoadSummary
// is sent to the other failure domains for which this instance is a relay, and the relays
// there pass it on to all instances of their failure domain. A DemandAnnouncement is sent to
// every instance with a session and is not relayed. A BundleOffer is only announced: each
// instance with an older version requests the bundle from an instance that has it.
func (l *Linker) Broadcast(m Message) {
	if offer, ok := m.(BundleOffer); ok {
		l.core.Submit(versionSet{version: offer.Version})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.wrap(m)
	for _, name := range sortedKeys(l.current) {
		if s := l.current[name]; l.isSentTo(m, s.peer.FailureDomain) {
			l.post(s, e)
		}
	}
}

// isSentTo reports whether a broadcast of m is sent on sessions with peers in domain.
func (l *Linker) isSentTo(m Message, domain identifier.FailureDomain) bool {
	switch m.(type) {
	case ProbeDigest:
		return domain == l.cfg.FailureDomain
	case LoadSummary:
		return domain != l.cfg.FailureDomain && l.relays[domain]
	default:
		return true
	}
}

// envelope is a message in the form that mailboxes queue.
type envelope struct {
	relayed *wire.Relayed
	digest  ProbeDigest
	offer   *BundleOffer
	demand  *wire.DemandAnnouncement
}

// wrap returns the envelope of m. Messages that instances relay get a sequence number.
func (l *Linker) wrap(m Message) envelope {
	switch m := m.(type) {
	case ProbeDigest:
		return envelope{digest: m}
	case BundleOffer:
		return envelope{offer: &m}
	case Suspicion:
		r := l.newRelayed()
		r.Message = &wire.Relayed_Suspicion{Suspicion: suspicionToWire(m)}
		return envelope{relayed: r}
	case DemandAnnouncement:
		return envelope{demand: demandToWire(m)}
	case LoadSummary:
		r := l.newRelayed()
		r.Message = &wire.Relayed_Load{Load: loadToWire(m)}
		return envelope{relayed: r}
	default:
		return envelope{}
	}
}

func (l *Linker) newRelayed() *wire.Relayed {
	l.lastSequence++
	return &wire.Relayed{Origin: string(l.cfg.Instance), Incarnation: l.incarnation, Sequence: l.lastSequence}
}

// post queues e in the mailbox of s.
func (l *Linker) post(s *session, e envelope) {
	switch {
	case e.relayed != nil:
		s.mailbox.putRelayed(batchDelay(len(l.current)), e.relayed)
	case e.offer != nil:
		s.mailbox.putOffer(*e.offer)
	case e.demand != nil:
		s.mailbox.putDemand(e.demand)
	case len(e.digest.Reports) > 0:
		s.mailbox.putDigest(l.cfg.Now(), batchDelay(len(l.current)), e.digest)
	}
}

// batchDelay returns how long reports and load summaries may wait for others to share their
// frame. The delay grows with the number of sessions, which bounds the bytes that an instance
// sends; with many sessions reports wait for the next heartbeat.
func batchDelay(sessions int) time.Duration {
	const delayPerSession = 100 * time.Millisecond
	if delay := time.Duration(sessions) * delayPerSession; delay < heartbeatInterval/2 {
		return delay
	}
	return heartbeatInterval
}

// runSession registers s and runs it until it ends.
func (l *Linker) runSession(s *session) {
	l.addSession(s)
	l.core.Submit(sessionOpened{
		session:     s.id,
		peer:        s.peer,
		incarnation: s.peerHello.GetIncarnation(),
		attempt:     s.attempt,
		dialed:      s.dialed,
	})
	if !s.closing.Load() {
		l.runStreams(s)
	}
	s.close()
	l.removeSession(s)
	l.core.Submit(sessionEnded{session: s.id})
}

// runStreams serves the streams of s until the control stream ends.
func (l *Linker) runStreams(s *session) {
	ctx, cancel := context.WithCancel(l.sessionsContext)
	defer cancel()
	go l.writeControl(ctx, s)
	go l.writeBulk(ctx, s)
	go l.acceptStreams(s)
	l.readControl(s)
}

func (l *Linker) addSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSession++
	s.id = l.lastSession
	l.sessions[s.id] = s
}

func (l *Linker) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s.id)
	if l.current[s.peer.Instance] == s {
		delete(l.current, s.peer.Instance)
	}
	if len(l.sessions) == 0 {
		signal(l.allEnded)
	}
}

func (l *Linker) writeControl(ctx context.Context, s *session) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.mailbox.controlReady:
		}
		frame := s.mailbox.take(l.cfg.Now())
		if frame == nil {
			continue
		}
		_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := s.out.write(frame); err != nil {
			s.close()
			return
		}
		if frame.Retired && s.usage.setNotified() {
			s.close()
			return
		}
	}
}

func (l *Linker) writeBulk(ctx context.Context, s *session) {
	var out *frameWriter
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.mailbox.bulkReady:
		}
		offer := s.mailbox.takeOffer()
		if offer == nil {
			continue
		}
		if out == nil {
			stream, err := s.mux.OpenStream()
			if err != nil {
				return
			}
			out = &frameWriter{w: stream}
			if out.write(&wire.Opening{Purpose: &wire.Opening_Bulk{Bulk: &wire.Bulk{}}}) != nil {
				return
			}
		}
		if out.write(&wire.BundleOffer{Version: uint64(offer.Version), Document: offer.Document}) != nil {
			return
		}
	}
}
