package linker

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

const (
	openTimeout  = 5 * time.Second  // for the connection, the TLS handshake and both Hellos
	writeTimeout = 10 * time.Second // for one control frame, one write by yamux, and opening or closing a stream
	maxStreams   = 1000             // of one session, in each direction
)

// session is one connection with a peer after the exchange of the Hellos.
type session struct {
	id            sessionID
	peer          Peer
	peerHello     *wire.Hello
	attempt       uint64 // number of the dial at the side that dialed
	dialed        bool   // whether this instance dialed
	mux           *yamux.Session
	control       *yamux.Stream
	in            *frameReader
	out           *frameWriter
	mailbox       *mailbox
	digestDecoder digestDecoder
	usage         usage
	closing       atomic.Bool // set when the membership core closes the session
}

// close closes the connection with all its streams.
func (s *session) close() { _ = s.mux.Close() }

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = maxStreams
	cfg.EnableKeepAlive = false // heartbeats replace keep-alive messages
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = writeTimeout
	cfg.StreamCloseTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// dialSession opens a session with peer and returns it after the exchange of the Hellos.
func (l *Linker) dialSession(ctx context.Context, peer Peer, attempt uint64) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", peer.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "linker: dial")
	}
	s, err := l.openSession(ctx, &countedConn{Conn: conn, metrics: l.metrics}, attempt)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if s.peer.Instance != peer.Instance || s.peer.FailureDomain != peer.FailureDomain {
		s.close()
		return nil, &CertificateError{Problem: "the dialed peer is " + string(s.peer.Instance) + " of " + string(s.peer.FailureDomain)}
	}
	// This frame confirms the peer's Hello. The peer uses the session only after it arrives.
	if err := s.out.write(&wire.ControlFrame{}); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (l *Linker) openSession(ctx context.Context, conn net.Conn, attempt uint64) (*session, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	certified, secured, err := l.handshake(ctx, conn, true)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Client(&coalescer{Conn: secured}, muxConfig())
	if err != nil {
		return nil, eris.Wrap(err, "linker: session")
	}
	control, err := mux.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "linker: open control stream")
	}
	s := newSession(mux, control, true)
	s.attempt = attempt
	return s, l.exchangeHellos(s, certified, attempt)
}

// acceptSession creates a session on a connection that a peer opened.
func (l *Linker) acceptSession(ctx context.Context, conn net.Conn) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	certified, secured, err := l.handshake(ctx, &countedConn{Conn: conn, metrics: l.metrics}, false)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Server(&coalescer{Conn: secured}, muxConfig())
	if err != nil {
		return nil, eris.Wrap(err, "linker: session")
	}
	control, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "linker: accept control stream")
	}
	s := newSession(mux, control, false)
	if err := l.exchangeHellos(s, certified, 0); err != nil {
		return nil, err
	}
	s.attempt = s.peerHello.GetAttempt()
	return s, s.in.read(&wire.ControlFrame{})
}

func newSession(mux *yamux.Session, control *yamux.Stream, dialed bool) *session {
	return &session{
		dialed:  dialed,
		mux:     mux,
		control: control,
		in:      newFrameReader(control, maxControlFrame),
		out:     &frameWriter{w: control},
		mailbox: newMailbox(),
	}
}

// handshake performs the TLS handshake on conn and returns the instance that the peer's
// certificate names. Without credentials it returns conn and the zero identity.
func (l *Linker) handshake(ctx context.Context, conn net.Conn, isClient bool) (identity, net.Conn, error) {
	if l.cfg.Credentials == nil {
		return identity{}, conn, nil
	}
	var secure *tls.Conn
	if isClient {
		secure = tls.Client(conn, l.cfg.Credentials.dialConfig())
	} else {
		secure = tls.Server(conn, l.cfg.Credentials.listenConfig())
	}
	if err := secure.HandshakeContext(ctx); err != nil {
		return identity{}, nil, eris.Wrap(err, "linker: TLS handshake")
	}
	certified, err := certifiedIdentity(secure.ConnectionState())
	return certified, secure, err
}

// exchangeHellos sends and receives a Hello and checks the peer's Hello against its
// certificate.
func (l *Linker) exchangeHellos(s *session, certified identity, attempt uint64) error {
	hello := &wire.Hello{
		Instance:      string(l.cfg.Instance),
		FailureDomain: string(l.cfg.FailureDomain),
		Incarnation:   l.incarnation,
		Attempt:       attempt,
	}
	if err := s.out.write(&wire.Opening{Purpose: &wire.Opening_Control{Control: hello}}); err != nil {
		return err
	}
	var opening wire.Opening
	if err := s.in.read(&opening); err != nil {
		return err
	}
	s.peerHello = opening.GetControl()
	if s.peerHello.GetInstance() == "" || s.peerHello.GetFailureDomain() == "" {
		return &FrameError{Expected: "a Hello with an instance and a failure domain"}
	}
	claimed := identity{
		instance:      identifier.Instance(s.peerHello.GetInstance()),
		failureDomain: identifier.FailureDomain(s.peerHello.GetFailureDomain()),
	}
	if l.cfg.Credentials != nil && claimed != certified {
		return &CertificateError{Problem: "it names a different instance than the Hello"}
	}
	s.peer = Peer{Instance: claimed.instance, FailureDomain: claimed.failureDomain}
	return nil
}
