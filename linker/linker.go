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

// tickInterval is how often the membership core lets time pass.
const tickInterval = 500 * time.Millisecond

// maxHandshakes bounds the connections that have not said Hello yet.
const maxHandshakes = 128

// Linker keeps this instance's sessions with its peers. It is safe for concurrent use.
type Linker struct {
	cfg         Config
	metrics     *metrics
	listener    net.Listener
	incarnation uint64
	core        *stepper.Stepper[event, action]
	run         context.Context // of the sessions; outlives the context of Run while it drains
	cancel      context.CancelFunc

	mu       sync.Mutex
	last     sessionID
	sessions map[sessionID]*session
	current  map[identifier.Instance]*session // in use
	statuses map[identifier.Instance]PeerStatus
	relays   map[identifier.FailureDomain]bool
	waits    map[identifier.Instance]*wait
	seen     dedupe
	sequence uint64 // of the last message that started here
	stopping bool
	empty    chan struct{} // has an element after the last session ended
}

// PeerStatus is how this instance sees a peer.
type PeerStatus struct {
	Peer
	// Reachable says that there is a session and that heartbeats pass both ways. Of
	// another failure domain most instances have no session until a request needs one.
	Reachable     bool
	Leaving       bool
	LastHeartbeat time.Time // when a heartbeat or a new session last arrived; zero if never
	BundleVersion identifier.BundleVersion
}

// A NotReachableError says that there is no session with a peer.
type NotReachableError struct {
	Instance identifier.Instance
}

// Error implements error.
func (e *NotReachableError) Error() string { return "linker: not reachable: " + string(e.Instance) }

// New returns a Linker for cfg that listens already, so that Run must follow. It returns
// a ConfigError if cfg cannot be used.
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
		waits:       map[identifier.Instance]*wait{},
		seen:        dedupe{},
		empty:       make(chan struct{}, 1),
	}
	l.run, l.cancel = context.WithCancel(context.Background())
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

// SetPeers gives the whole set of other instances, as the platform's list has it. This
// instance itself may be among them.
func (l *Linker) SetPeers(peers []Peer) { l.core.Submit(listed{peers: peers}) }

// Peers returns the status of each known peer in the order of their names.
func (l *Linker) Peers() []PeerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]PeerStatus, 0, len(l.statuses))
	for _, name := range sortedKeys(l.statuses) {
		out = append(out, l.statuses[name])
	}
	return out
}

// Run keeps the sessions until ctx ends. Then it tells the peers, finishes the forwarded
// requests of both directions within Config.DrainLimit, and returns nil.
func (l *Linker) Run(ctx context.Context) error {
	defer l.cancel()
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
		l.core.Submit(versioned{version: version})
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
			l.cfg.Logger.Warn().Err(err).Msg("accept failed")
			time.Sleep(tickInterval)
			continue
		}
		handshakes <- struct{}{}
		go func() {
			s, err := l.accept(l.run, conn)
			<-handshakes
			if err != nil {
				l.logRefused(err, "")
				_ = conn.Close()
				return
			}
			l.runSession(s)
		}()
	}
}

// connect dials a peer and runs the session.
func (l *Linker) connect(a dialPeer) {
	s, err := l.dial(l.run, a.peer, a.attempt)
	if err != nil {
		l.logRefused(err, a.peer.Instance)
		l.core.Submit(dialFailed{instance: a.peer.Instance})
		return
	}
	l.runSession(s)
}

// drain tells the peers and waits until no session has a request and all are closed.
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
		l.awaitEmpty(limit)
	}()
	l.tickUntil(done)
	l.closeAll()
}

// awaitEmpty waits until the last session has ended, and no longer than limit.
func (l *Linker) awaitEmpty(limit context.Context) {
	for l.countSessions() > 0 {
		select {
		case <-l.empty:
		case <-limit.Done():
			l.cfg.Logger.Warn().Dur("limit", l.cfg.DrainLimit).Msg("sessions cut off at the stop limit")
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
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		go s.close()
	}
}

// logRefused logs why a session did not open.
func (l *Linker) logRefused(err error, peer identifier.Instance) {
	if isCertificate(err) {
		l.metrics.refuse(l.run)
		l.cfg.Logger.Warn().Err(err).Str("peer", string(peer)).Msg("peer refused")
		return
	}
	l.cfg.Logger.Debug().Err(err).Str("peer", string(peer)).Msg("no session")
}

// logFrame logs that a peer broke the protocol.
func (l *Linker) logFrame(err error, peer identifier.Instance) {
	l.cfg.Logger.Warn().Err(err).Str("peer", string(peer)).Msg("bad frame")
}
