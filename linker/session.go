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
	openTimeout  = 5 * time.Second  // of the connection, the handshake and the Hello each way
	writeTimeout = 10 * time.Second // of one frame of the control or bulk stream
	maxStreams   = 1000             // of one session, each way
)

// session is one connection with a peer after both have said Hello.
type session struct {
	id      sessionID
	peer    Peer
	hello   *wire.Hello // the peer's
	attempt uint64      // of the side that dialed
	dialed  bool        // this instance dialed
	mux     *yamux.Session
	control *yamux.Stream
	frames  *frameReader
	out     *frameWriter
	box     *mailbox
	digests digestDecoder
	use     usage
	closing atomic.Bool // the membership core has closed the session
}

// close ends the connection and all its streams.
func (s *session) close() { _ = s.mux.Close() }

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = maxStreams
	cfg.EnableKeepAlive = false // heartbeats do it
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = writeTimeout
	cfg.StreamCloseTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// dial opens a session with peer and returns it after both Hellos.
func (l *Linker) dial(ctx context.Context, peer Peer, attempt uint64) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", peer.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "linker: dial")
	}
	s, err := l.open(ctx, &countedConn{Conn: conn, metrics: l.metrics}, attempt)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if s.peer.Instance != peer.Instance || s.peer.FailureDomain != peer.FailureDomain {
		s.close()
		return nil, &CertificateError{Problem: "the peer is " + string(s.peer.Instance) + " of " + string(s.peer.FailureDomain)}
	}
	// The peer uses the session only once this instance has accepted its Hello.
	if err := s.out.write(&wire.ControlFrame{}); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (l *Linker) open(ctx context.Context, conn net.Conn, attempt uint64) (*session, error) {
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
	return s, l.greet(s, certified, attempt)
}

// accept makes a session of a connection that a peer opened.
func (l *Linker) accept(ctx context.Context, conn net.Conn) (*session, error) {
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
	if err := l.greet(s, certified, 0); err != nil {
		return nil, err
	}
	s.attempt = s.hello.GetAttempt()
	return s, s.frames.read(&wire.ControlFrame{})
}

func newSession(mux *yamux.Session, control *yamux.Stream, dialed bool) *session {
	return &session{
		dialed:  dialed,
		mux:     mux,
		control: control,
		frames:  newFrameReader(control, maxControlFrame),
		out:     &frameWriter{w: control},
		box:     newMailbox(),
	}
}

// handshake does TLS on conn and returns the instance that the peer's certificate
// names. Without credentials that is the zero identity.
func (l *Linker) handshake(ctx context.Context, conn net.Conn, dials bool) (identity, net.Conn, error) {
	if l.cfg.Credentials == nil {
		return identity{}, conn, nil
	}
	var secure *tls.Conn
	if dials {
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

// greet exchanges the Hellos and checks the peer's against its certificate.
func (l *Linker) greet(s *session, certified identity, attempt uint64) error {
	own := &wire.Hello{
		Instance:      string(l.cfg.Instance),
		FailureDomain: string(l.cfg.FailureDomain),
		Incarnation:   l.incarnation,
		Attempt:       attempt,
	}
	if err := s.out.write(&wire.Opening{Purpose: &wire.Opening_Control{Control: own}}); err != nil {
		return err
	}
	var opening wire.Opening
	if err := s.frames.read(&opening); err != nil {
		return err
	}
	s.hello = opening.GetControl()
	if s.hello.GetInstance() == "" || s.hello.GetFailureDomain() == "" {
		return &FrameError{Expected: "a Hello with an instance and a failure domain"}
	}
	said := identity{
		instance:      identifier.Instance(s.hello.GetInstance()),
		failureDomain: identifier.FailureDomain(s.hello.GetFailureDomain()),
	}
	if l.cfg.Credentials != nil && said != certified {
		return &CertificateError{Problem: "it names another instance than the Hello"}
	}
	s.peer = Peer{Instance: said.instance, FailureDomain: said.failureDomain}
	return nil
}
