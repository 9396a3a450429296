package linker

import (
	"errors"
	"io"
	"time"

	"github.com/hashicorp/yamux"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// acceptStreams accepts the streams that the peer opens.
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
		l.logProtocolError(&FrameError{Expected: "a known purpose of a stream"}, s.peer.Instance)
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

// readControl processes the frames of the control stream until the session ends.
func (l *Linker) readControl(s *session) {
	for {
		var frame wire.ControlFrame
		if err := s.in.read(&frame); err != nil {
			if !errors.Is(err, io.EOF) {
				l.cfg.Logger.Debug().Err(err).Str("peer", string(s.peer.Instance)).Msg("control stream failed; session ends")
			}
			return
		}
		if err := l.receiveControl(s, &frame); err != nil {
			l.logProtocolError(err, s.peer.Instance)
			return
		}
	}
}

func (l *Linker) receiveControl(s *session, frame *wire.ControlFrame) error {
	if h := frame.GetHeartbeat(); h != nil {
		l.core.Submit(heartbeatReceived{
			session:  s.id,
			sequence: h.GetSequence(),
			echo:     h.GetEcho(),
			version:  identifier.BundleVersion(h.GetBundleVersion()),
		})
	}
	if d := frame.GetDigest(); d != nil {
		digest, err := s.digestDecoder.decode(d)
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
	if request := frame.GetBundleRequest(); request != nil {
		l.sendOffer(s, identifier.BundleVersion(request.GetVersion()))
	}
	l.receiveRetired(s, frame)
	return nil
}

// sendOffer sends the bundle in force if it is at least as new as the requested version.
func (l *Linker) sendOffer(s *session, requested identifier.BundleVersion) {
	if version, document := l.cfg.Bundle(); version >= requested {
		s.mailbox.putOffer(BundleOffer{Version: version, Document: document})
	}
}

func (l *Linker) receiveRetired(s *session, frame *wire.ControlFrame) {
	if frame.GetLeaving() || frame.GetRetired() {
		l.core.Submit(peerRetired{session: s.id, leaving: frame.GetLeaving()})
	}
	if frame.GetRetired() && s.usage.setPeerRetired() {
		s.close()
	}
}

// receiveRelayed relays a message and passes it to OnMessage, unless it arrived before.
func (l *Linker) receiveRelayed(s *session, r *wire.Relayed) error {
	if r.GetOrigin() == "" || r.GetMessage() == nil {
		return &FrameError{Expected: "a relayed message with an origin"}
	}
	from, isNew := l.relay(s, r)
	if !isNew {
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

// relay returns the origin of r and whether r is new to this instance, and passes a new
// message on. A Suspicion goes to all peers but its sender. A LoadSummary goes to all peers in
// the local failure domain if it comes from another one for which this instance is a relay.
func (l *Linker) relay(s *session, r *wire.Relayed) (from Peer, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	origin := identifier.Instance(r.GetOrigin())
	if origin == l.cfg.Instance || !l.seen.accept(origin, r.GetIncarnation(), r.GetSequence()) {
		return Peer{}, false
	}
	from = l.statuses[origin].Peer
	from.Instance = origin
	isOutside := s.peer.FailureDomain != l.cfg.FailureDomain
	for _, to := range l.current {
		if r.GetLoad() != nil && !(isOutside && l.relays[s.peer.FailureDomain] && to.peer.FailureDomain == l.cfg.FailureDomain) {
			continue
		}
		if to != s {
			to.mailbox.putRelayed(batchDelay(len(l.current)), r)
		}
	}
	return from, true
}
