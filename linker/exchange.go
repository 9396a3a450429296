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
	s := l.sessions[to]
	if s == nil {
		return &NotReachableError{Instance: to}
	}
	l.post(s, l.envelope(m))
	return nil
}

// Broadcast sends m on: a ProbeDigest to the reachable peers of the own failure domain,
// a Suspicion or a LoadSummary to every instance, and a BundleOffer as a new version that
// each instance then asks one peer for.
func (l *Linker) Broadcast(m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.envelope(m)
	for _, name := range sortedKeys(l.sessions) {
		s := l.sessions[name]
		if _, digest := m.(ProbeDigest); digest && s.peer.FailureDomain != l.cfg.FailureDomain {
			continue
		}
		l.post(s, e)
	}
	if _, offer := m.(BundleOffer); offer {
		signal(l.changed)
	}
}

// envelope is a message as it waits in mailboxes.
type envelope struct {
	relayed *wire.Relayed
	digest  ProbeDigest
	offer   *BundleOffer
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
		s.box.putRelayed(e.relayed)
	case e.offer != nil:
		s.box.putOffer(*e.offer)
	case len(e.digest.Reports) > 0:
		s.box.putDigest(e.digest)
	}
}

// runSession carries s until it ends.
func (l *Linker) runSession(run context.Context, s *session) {
	l.adopt(s)
	l.cfg.OnPeers()
	defer l.cfg.OnPeers()
	defer l.remove(s)
	defer s.close()
	ctx, cancel := context.WithCancel(run)
	defer cancel()
	go l.writeControl(ctx, s)
	go l.writeBulk(ctx, s)
	go l.acceptStreams(run, s)
	l.readControl(s)
}

func (l *Linker) writeControl(ctx context.Context, s *session) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.box.ready:
		}
		frame := s.box.take()
		if frame == nil {
			continue
		}
		_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := s.out.write(frame); err != nil {
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
func (l *Linker) acceptStreams(run context.Context, s *session) {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		go l.acceptStream(run, s, stream)
	}
}

func (l *Linker) acceptStream(run context.Context, s *session, stream *yamux.Stream) {
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
		if !l.beginServe() {
			refuseRequest(stream)
			return
		}
		defer l.work.Done()
		l.serveRequest(run, stream, in, purpose.Request)
	default:
		l.logFrame(&FrameError{Expected: "the purpose of a stream"})
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
			l.logFrame(err)
			return
		}
	}
}

func (l *Linker) receive(s *session, frame *wire.ControlFrame) error {
	l.heard(s, frame)
	if d := frame.GetDigest(); d != nil {
		digest, err := digestFromWire(d)
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
	return nil
}

// heard notes what a frame says of its sender and offers the bundle to one that lags.
func (l *Linker) heard(s *session, frame *wire.ControlFrame) {
	version, document := l.cfg.Bundle()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[s.peer.Instance]
	p.lastHeard = l.cfg.Now()
	p.leaving = p.leaving || frame.GetLeaving()
	if h := frame.GetHeartbeat(); h != nil {
		p.version = identifier.BundleVersion(h.GetBundleVersion())
		if p.version < version {
			s.box.putOffer(BundleOffer{Version: version, Document: document})
		}
	}
}

// receiveRelayed hands a message to the slices and passes it on, once.
func (l *Linker) receiveRelayed(s *session, r *wire.Relayed) error {
	if r.GetOrigin() == "" || r.GetMessage() == nil {
		return &FrameError{Expected: "a message with an origin"}
	}
	if !l.passOn(s, r) {
		return nil
	}
	from := s.peer
	if r.GetOrigin() != string(s.peer.Instance) {
		from = Peer{Instance: identifier.Instance(r.GetOrigin())}
	}
	switch m := r.GetMessage().(type) {
	case *wire.Relayed_Suspicion:
		l.cfg.OnMessage(from, suspicionFromWire(m.Suspicion))
	case *wire.Relayed_Load:
		from.FailureDomain = identifier.FailureDomain(m.Load.GetFailureDomain())
		l.cfg.OnMessage(from, loadFromWire(m.Load))
	}
	return nil
}

// passOn reports whether r is new here, and if so posts it to the peers of this failure
// domain, or of others if it came from this one.
func (l *Linker) passOn(s *session, r *wire.Relayed) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := origin{instance: identifier.Instance(r.GetOrigin()), incarnation: r.GetIncarnation()}
	if key.instance == l.cfg.Instance || l.seen[key] >= r.GetSequence() {
		return false
	}
	l.seen[key] = r.GetSequence()
	inside := s.peer.FailureDomain == l.cfg.FailureDomain
	for _, to := range l.sessions {
		if to != s && (to.peer.FailureDomain == l.cfg.FailureDomain) != inside {
			to.box.putRelayed(r)
		}
	}
	return true
}
