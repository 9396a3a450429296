package linker

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
)

// tickInterval is the interval of the membership core's ticks.
const tickInterval = 500 * time.Millisecond

// maxHandshakes bounds the accepted connections whose handshake is not complete.
const maxHandshakes = 128

// Linker keeps this instance's sessions with its peers. It is safe for concurrent use.
type Linker struct {
	cfg             Config
	metrics         *metrics
	listener        net.Listener
	incarnation     uint64 // start time of this process in nanoseconds since the Unix epoch
	core            *stepper.Stepper[event, action]
	sessionsContext context.Context // of the sessions; ends after the context of Run, when the sessions are drained
	cancelSessions  context.CancelFunc

	mu           sync.Mutex
	lastSession  sessionID
	sessions     map[sessionID]*session
	current      map[identifier.Instance]*session // sessions in use
	statuses     map[identifier.Instance]PeerStatus
	relays       map[identifier.FailureDomain]bool
	waiting      map[identifier.Instance]*sessionWait
	seen         deduplicator
	lastSequence uint64 // number of the last relayed message of this instance
	stopping     bool
	allEnded     chan struct{} // has an element after the last session ended
}

// PeerStatus is the status of a peer as this instance sees it.
type PeerStatus struct {
	Peer
	// Reachable is set if there is a session and heartbeats arrive in both directions. Most
	// instances have no session with a peer in another failure domain until a request needs
	// one, so such a peer can run without being reachable.
	Reachable     bool
	Leaving       bool
	LastHeartbeat time.Time // when a heartbeat or a new session last arrived; zero if never
	BundleVersion identifier.BundleVersion
}

// A NotReachableError reports that there is no session with an instance.
type NotReachableError struct {
	Instance identifier.Instance
}

// Error implements error.
func (e *NotReachableError) Error() string {
	return "linker: no session with instance " + string(e.Instance)
}

// New returns a Linker for cfg. The Linker already listens, so the caller must call Run. New
// returns a ConfigError if cfg has an invalid value.
func New(cfg Config) (*Linker, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, eris.Wrap(err, "linker: listen")
	}
	l := &Linker{
		cfg:         cfg,
		listener:    listener,
		incarnation: uint64(cfg.Now().UnixNano()),
		sessions:    map[sessionID]*session{},
		current:     map[identifier.Instance]*session{},
		statuses:    map[identifier.Instance]PeerStatus{},
		relays:      map[identifier.FailureDomain]bool{},
		waiting:     map[identifier.Instance]*sessionWait{},
		seen:        deduplicator{},
		allEnded:    make(chan struct{}, 1),
	}
	l.sessionsContext, l.cancelSessions = context.WithCancel(context.Background())
	self := Peer{Instance: cfg.Instance, FailureDomain: cfg.FailureDomain}
	l.core = stepper.New(stepper.Config[event, action]{
		Core:   newCore(self, cfg.Rand),
		Handle: l.handle,
		Now:    cfg.Now,
	})
	if l.metrics, err = newMetrics(l); err != nil {
		_ = listener.Close()
		return nil, eris.Wrap(err, "linker: metrics")
	}
	return l, nil
}

// Address returns the address on which the Linker listens.
func (l *Linker) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetPeers replaces the set of other instances by the platform's list. The list may contain
// this instance itself.
func (l *Linker) SetPeers(peers []Peer) { l.core.Submit(peersSet{peers: peers}) }

// Peers returns the status of each known peer, sorted by name.
func (l *Linker) Peers() []PeerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]PeerStatus, 0, len(l.statuses))
	for _, name := range sortedKeys(l.statuses) {
		out = append(out, l.statuses[name])
	}
	return out
}

// Run maintains the sessions until ctx ends. Then it notifies the peers, completes the
// forwarded requests of both directions within Config.DrainLimit, and returns nil.
func (l *Linker) Run(ctx context.Context) error {
	defer l.cancelSessions()
	go l.acceptAll()
	l.tickUntil(ctx.Done())
	_ = l.listener.Close()
	l.drain()
	return nil
}

func (l *Linker) tickUntil(done <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		version, _ := l.cfg.Bundle()
		l.core.Submit(versionSet{version: version})
		l.core.Submit(tick{})
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (l *Linker) acceptAll() {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.cfg.Logger.Warn().Err(err).Msg("accepting a connection failed; retrying")
			time.Sleep(tickInterval)
			continue
		}
		handshakes <- struct{}{}
		go func() {
			s, err := l.acceptSession(l.sessionsContext, conn)
			<-handshakes
			if err != nil {
				l.logOpenFailure(err, "")
				_ = conn.Close()
				return
			}
			l.runSession(s)
		}()
	}
}

// runDialed dials a peer and runs the session.
func (l *Linker) runDialed(a dialPeer) {
	s, err := l.dialSession(l.sessionsContext, a.peer, a.attempt)
	if err != nil {
		l.logOpenFailure(err, a.peer.Instance)
		l.core.Submit(dialFailed{instance: a.peer.Instance})
		return
	}
	l.runSession(s)
}

// drain notifies the peers and waits until all sessions have closed after their requests, or
// for DrainLimit.
func (l *Linker) drain() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.core.Submit(stop{})
	limit, cancel := context.WithTimeout(context.Background(), l.cfg.DrainLimit)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.awaitSessionsEnd(limit)
	}()
	l.tickUntil(done)
	l.closeAll()
}

// awaitSessionsEnd waits until the last session has ended or limit ends.
func (l *Linker) awaitSessionsEnd(limit context.Context) {
	for l.countSessions() > 0 {
		select {
		case <-l.allEnded:
		case <-limit.Done():
			l.cfg.Logger.Warn().Dur("limit", l.cfg.DrainLimit).Msg("drain limit reached; closing the remaining sessions")
			return
		}
	}
}

func (l *Linker) countSessions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions)
}

func (l *Linker) closeAll() {
	l.cancelSessions()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		go s.close()
	}
}

// logOpenFailure logs why a session did not open.
func (l *Linker) logOpenFailure(err error, peer identifier.Instance) {
	if isCertificateError(err) {
		l.metrics.countRefused(l.sessionsContext)
		l.cfg.Logger.Warn().Err(err).Str("peer", string(peer)).Msg("session refused because of a certificate")
		return
	}
	l.cfg.Logger.Debug().Err(err).Str("peer", string(peer)).Msg("session could not be opened")
}

// logProtocolError logs that a peer violated the protocol.
func (l *Linker) logProtocolError(err error, peer identifier.Instance) {
	l.cfg.Logger.Warn().Err(err).Str("peer", string(peer)).Msg("peer sent an invalid frame")
}
