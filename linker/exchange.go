package linker

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/hashicorp/yamux"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// Send sends m to one instance. It does not wait: m may still be lost with the session.
// It returns a NotReachableError if there is no session.
func (l *Linker) Send(to identifier.Instance, m Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.current[to]
	if s == nil {
		return &NotReachableError{Instance: to}
	}
	l.post(s, l.envelope(m))
	return nil
}

// Broadcast spreads m. A ProbeDigest goes to the instances of the own failure domain. A
// Suspicion goes to every instance, each of which passes it on once. A LoadSummary goes
// to the other failure domains if this instance is among those that hold the sessions
// with them, and to all there. A DemandAnnouncement goes to every instance in reach and is
// not passed on. A BundleOffer is announced: each instance that has an
// older version asks one that has it.
func (l *Linker) Broadcast(m Message) {
	if offer, ok := m.(BundleOffer); ok {
		l.core.Submit(versioned{version: offer.Version})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.envelope(m)
	for _, name := range sortedKeys(l.current) {
		if s := l.current[name]; l.goesTo(m, s.peer.FailureDomain) {
			l.post(s, e)
		}
	}
}

// goesTo reports whether a broadcast m goes on sessions with a failure domain.
func (l *Linker) goesTo(m Message, domain identifier.FailureDomain) bool {
	switch m.(type) {
	case ProbeDigest:
		return domain == l.cfg.FailureDomain
	case LoadSummary:
		return domain != l.cfg.FailureDomain && l.relays[domain]
	default:
		return true
	}
}

// envelope is a message as it waits in mailboxes.
type envelope struct {
	relayed *wire.Relayed
	digest  ProbeDigest
	offer   *BundleOffer
	demand  *wire.DemandAnnouncement
}

// envelope numbers m if instances pass it on.
func (l *Linker) envelope(m Message) envelope {
	switch m := m.(type) {
	case ProbeDigest:
		return envelope{digest: m}
	case BundleOffer:
		return envelope{offer: &m}
	case Suspicion:
		r := l.numbered()
		r.Message = &wire.Relayed_Suspicion{Suspicion: suspicionToWire(m)}
		return envelope{relayed: r}
	case DemandAnnouncement:
		return envelope{demand: demandToWire(m)}
	case LoadSummary:
		r := l.numbered()
		r.Message = &wire.Relayed_Load{Load: loadToWire(m)}
		return envelope{relayed: r}
	default:
		return envelope{}
	}
}

func (l *Linker) numbered() *wire.Relayed {
	l.sequence++
	return &wire.Relayed{Origin: string(l.cfg.Instance), Incarnation: l.incarnation, Sequence: l.sequence}
}

// post puts e into the mailbox of s.
func (l *Linker) post(s *session, e envelope) {
	switch {
	case e.relayed != nil:
		s.box.putRelayed(digestDelay(len(l.current)), e.relayed)
	case e.offer != nil:
		s.box.putOffer(*e.offer)
	case e.demand != nil:
		s.box.putDemand(e.demand)
	case len(e.digest.Reports) > 0:
		s.box.putDigest(l.cfg.Now(), digestDelay(len(l.current)), e.digest)
	}
}

// digestDelay returns how long reports and summaries of load may wait with so many sessions. It grows
// with them, so that the bytes of a node stay bounded; in a large failure domain reports
// ride on the heartbeats.
func digestDelay(sessions int) time.Duration {
	const each = 100 * time.Millisecond
	if delay := time.Duration(sessions) * each; delay < heartbeatInterval/2 {
		return delay
	}
	return heartbeatInterval
}

// runSession carries s until it ends.
func (l *Linker) runSession(s *session) {
	l.add(s)
	l.core.Submit(opened{
		session:     s.id,
		peer:        s.peer,
		incarnation: s.hello.GetIncarnation(),
		attempt:     s.attempt,
		dialed:      s.dialed,
	})
	if !s.closing.Load() {
		l.carry(s)
	}
	s.close()
	l.remove(s)
	l.core.Submit(ended{session: s.id})
}

// carry reads and writes on s until the control stream ends.
func (l *Linker) carry(s *session) {
	ctx, cancel := context.WithCancel(l.run)
	defer cancel()
	go l.writeControl(ctx, s)
	go l.writeBulk(ctx, s)
	go l.acceptStreams(s)
	l.readControl(s)
}

func (l *Linker) add(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	s.id = l.last
	l.sessions[s.id] = s
}

func (l *Linker) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s.id)
	if l.current[s.peer.Instance] == s {
		delete(l.current, s.peer.Instance)
	}
	if len(l.sessions) == 0 {
		signal(l.empty)
	}
}

func (l *Linker) writeControl(ctx context.Context, s *session) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.box.ready:
		}
		frame := s.box.take(l.cfg.Now())
		if frame == nil {
			continue
		}
		_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := s.out.write(frame); err != nil {
			s.close()
			return
		}
		if frame.Retired && s.use.setWritten() {
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
		case <-s.box.bulk:
		}
		offer := s.box.takeOffer()
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

// acceptStreams takes the streams that the peer opens.
func (l *Linker) acceptStreams(s *session) {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil || s.closing.Load() {
			return
		}
		go l.acceptStream(s, stream)
	}
}

func (l *Linker) acceptStream(s *session, stream *yamux.Stream) {
	in := newFrameReader(stream, maxRequestFrame)
	var opening wire.Opening
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout))
	if err := in.read(&opening); err != nil {
		_ = stream.Close()
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch purpose := opening.GetPurpose().(type) {
	case *wire.Opening_Bulk:
		in.max = maxBulkFrame
		l.readBulk(s, in)
		_ = stream.Close()
	case *wire.Opening_Request:
		if l.isStopping() {
			refuseRequest(stream)
			return
		}
		l.serveRequest(s, stream, in, purpose.Request)
	default:
		l.logFrame(&FrameError{Expected: "the purpose of a stream"}, s.peer.Instance)
		s.close()
	}
}

func (l *Linker) readBulk(s *session, in *frameReader) {
	for {
		var offer wire.BundleOffer
		if err := in.read(&offer); err != nil {
			return
		}
		l.cfg.OnMessage(s.peer, BundleOffer{
			Version:  identifier.BundleVersion(offer.GetVersion()),
			Document: offer.GetDocument(),
		})
	}
}

// readControl takes the frames of the control stream until the session ends.
func (l *Linker) readControl(s *session) {
	for {
		var frame wire.ControlFrame
		if err := s.frames.read(&frame); err != nil {
			if !errors.Is(err, io.EOF) {
				l.cfg.Logger.Debug().Err(err).Str("peer", string(s.peer.Instance)).Msg("session ended")
			}
			return
		}
		if err := l.receive(s, &frame); err != nil {
			l.logFrame(err, s.peer.Instance)
			return
		}
	}
}

func (l *Linker) receive(s *session, frame *wire.ControlFrame) error {
	if h := frame.GetHeartbeat(); h != nil {
		l.core.Submit(heard{
			session:  s.id,
			sequence: h.GetSequence(),
			echo:     h.GetEcho(),
			version:  identifier.BundleVersion(h.GetBundleVersion()),
		})
	}
	if d := frame.GetDigest(); d != nil {
		digest, err := s.digests.decode(d)
		if err != nil {
			return err
		}
		l.cfg.OnMessage(s.peer, digest)
	}
	for _, r := range frame.GetRelayed() {
		if err := l.receiveRelayed(s, r); err != nil {
			return err
		}
	}
	for _, d := range frame.GetDemand() {
		l.cfg.OnMessage(s.peer, demandFromWire(d))
	}
	if ask := frame.GetBundleRequest(); ask != nil {
		l.offer(s, identifier.BundleVersion(ask.GetVersion()))
	}
	l.receiveRetired(s, frame)
	return nil
}

// offer sends the bundle that a peer asked for, or a newer one.
func (l *Linker) offer(s *session, asked identifier.BundleVersion) {
	if version, document := l.cfg.Bundle(); version >= asked {
		s.box.putOffer(BundleOffer{Version: version, Document: document})
	}
}

func (l *Linker) receiveRetired(s *session, frame *wire.ControlFrame) {
	if frame.GetLeaving() || frame.GetRetired() {
		l.core.Submit(peerRetires{session: s.id, leaving: frame.GetLeaving()})
	}
	if frame.GetRetired() && s.use.setHeard() {
		s.close()
	}
}

// receiveRelayed hands a message to the slices and passes it on, once.
func (l *Linker) receiveRelayed(s *session, r *wire.Relayed) error {
	if r.GetOrigin() == "" || r.GetMessage() == nil {
		return &FrameError{Expected: "a message with an origin"}
	}
	from, fresh := l.passOn(s, r)
	if !fresh {
		return nil
	}
	switch m := r.GetMessage().(type) {
	case *wire.Relayed_Suspicion:
		l.cfg.OnMessage(from, suspicionFromWire(m.Suspicion))
	case *wire.Relayed_Load:
		l.cfg.OnMessage(from, loadFromWire(m.Load))
	}
	return nil
}

// passOn returns the origin of r and whether r is new here. A new Suspicion goes to all
// but its sender, a new LoadSummary of another failure domain to all of this one if this
// instance relays between the two.
func (l *Linker) passOn(s *session, r *wire.Relayed) (from Peer, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	origin := identifier.Instance(r.GetOrigin())
	if origin == l.cfg.Instance || !l.seen.accept(origin, r.GetIncarnation(), r.GetSequence()) {
		return Peer{}, false
	}
	from = l.statuses[origin].Peer
	from.Instance = origin
	outside := s.peer.FailureDomain != l.cfg.FailureDomain
	for _, to := range l.current {
		if r.GetLoad() != nil && !(outside && l.relays[s.peer.FailureDomain] && to.peer.FailureDomain == l.cfg.FailureDomain) {
			continue
		}
		if to != s {
			to.box.putRelayed(digestDelay(len(l.current)), r)
		}
	}
	return from, true
}
