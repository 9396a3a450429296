package linker

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// Linker keeps this instance's sessions with its peers. It is safe for concurrent use.
type Linker struct {
	cfg         Config
	listener    net.Listener
	incarnation uint64

	mu       sync.Mutex
	rand     *rand.Rand
	peers    map[identifier.Instance]*peer
	sessions map[identifier.Instance]*session
	seen     map[origin]uint64 // highest sequence of each origin's messages
	sequence uint64            // of the last message that started here
	stopping bool
	work     sync.WaitGroup // forwarded requests of both directions
	changed  chan struct{}
}

// peer is what is known of another instance.
type peer struct {
	Peer
	dialing   bool
	retryAt   time.Time
	lastHeard time.Time
	version   identifier.BundleVersion
	leaving   bool
}

type origin struct {
	instance    identifier.Instance
	incarnation uint64
}

// PeerStatus is how this instance sees a peer.
type PeerStatus struct {
	Peer
	Reachable     bool
	Leaving       bool
	LastHeard     time.Time // zero if never
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
	return &Linker{
		cfg:         cfg,
		listener:    listener,
		incarnation: uint64(cfg.Now().UnixNano()),
		rand:        rand.New(cfg.Rand),
		peers:       map[identifier.Instance]*peer{},
		sessions:    map[identifier.Instance]*session{},
		seen:        map[origin]uint64{},
		changed:     make(chan struct{}, 1),
	}, nil
}

// SetPeers gives the whole set of other instances, as the platform's list has it. This
// instance itself may be among them.
func (l *Linker) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[identifier.Instance]bool{}
	for _, p := range peers {
		if p.Instance == l.cfg.Instance {
			continue
		}
		listed[p.Instance] = true
		if known := l.peers[p.Instance]; known != nil {
			known.Peer = p
			continue
		}
		l.peers[p.Instance] = &peer{Peer: p}
	}
	for name := range l.peers {
		if !listed[name] && l.sessions[name] == nil {
			delete(l.peers, name)
		}
	}
	signal(l.changed)
}

// Peers returns the status of each known peer in the order of their names.
func (l *Linker) Peers() []PeerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]PeerStatus, 0, len(l.peers))
	for _, name := range sortedKeys(l.peers) {
		p := l.peers[name]
		out = append(out, PeerStatus{
			Peer:          p.Peer,
			Reachable:     l.sessions[name] != nil,
			Leaving:       p.leaving,
			LastHeard:     p.lastHeard,
			BundleVersion: p.version,
		})
	}
	return out
}

// Address returns the address on which the Linker listens.
func (l *Linker) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run keeps the sessions until ctx ends. Then it tells the peers, finishes the forwarded
// requests and returns nil.
func (l *Linker) Run(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go l.acceptAll(run)
	l.keepSessions(ctx, run)
	_ = l.listener.Close()
	l.drain()
	return nil
}

func (l *Linker) acceptAll(run context.Context) {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			s, err := l.accept(run, conn)
			if err != nil {
				l.logRefused(err)
				_ = conn.Close()
				return
			}
			l.runSession(run, s)
		}()
	}
}

const (
	heartbeatInterval = time.Second
	silenceLimit      = 4 * time.Second
	redialInterval    = time.Second
)

// keepSessions dials the peers and sends heartbeats until ctx ends.
func (l *Linker) keepSessions(ctx, run context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		for _, p := range l.dueDials() {
			go l.connect(run, p)
		}
		l.beat()
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
		case <-ticker.C:
		}
	}
}

// dueDials marks and returns the peers to dial now. The instance with the lower name dials.
func (l *Linker) dueDials() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var due []Peer
	for _, name := range sortedKeys(l.peers) {
		p := l.peers[name]
		if l.cfg.Instance < name && l.sessions[name] == nil && !p.dialing && !p.retryAt.After(now) {
			p.dialing = true
			due = append(due, p.Peer)
		}
	}
	return due
}

func (l *Linker) connect(run context.Context, p Peer) {
	s, err := l.dial(run, p, 0)
	l.mu.Lock()
	if known := l.peers[p.Instance]; known != nil {
		known.dialing = false
		known.retryAt = l.cfg.Now().Add(redialInterval + rand.N(redialInterval))
	}
	l.mu.Unlock()
	if err != nil {
		l.logRefused(err)
		return
	}
	l.runSession(run, s)
}

// checkListed completes the peer of s from the list and refuses another failure domain
// than the list's.
func (l *Linker) checkListed(s *session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.peers[s.peer.Instance]
	if known == nil {
		return nil
	}
	if known.FailureDomain != s.peer.FailureDomain {
		return &CertificateError{Problem: "the list has " + string(s.peer.Instance) + " in " + string(known.FailureDomain)}
	}
	s.peer.Address = known.Address
	return nil
}

// adopt makes s the session of its peer in place of an older one.
func (l *Linker) adopt(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.sessions[s.peer.Instance]; old != nil {
		old.close()
	}
	l.sessions[s.peer.Instance] = s
	known := l.peers[s.peer.Instance]
	if known == nil {
		known = &peer{Peer: s.peer}
		l.peers[s.peer.Instance] = known
	}
	known.leaving = false
	known.lastHeard = l.cfg.Now()
}

func (l *Linker) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[s.peer.Instance] == s {
		delete(l.sessions, s.peer.Instance)
	}
}

// beat sends a heartbeat on each session and ends those that are silent.
func (l *Linker) beat() {
	version, _ := l.cfg.Bundle()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	for name, s := range l.sessions {
		if now.Sub(l.peers[name].lastHeard) > silenceLimit {
			s.close()
			continue
		}
		s.box.putHeartbeat(&wire.Heartbeat{BundleVersion: uint64(version)})
	}
}

// beginForward returns the session with an instance and counts a request on it until
// done runs. It returns nil if there is none or this instance is stopping.
func (l *Linker) beginForward(to identifier.Instance) (s *session, done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s = l.sessions[to]
	if s == nil || l.stopping || l.peers[to].leaving {
		return nil, nil
	}
	l.work.Add(1)
	return s, l.work.Done
}

// beginServe counts a request that a peer forwarded, or refuses it.
func (l *Linker) beginServe() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return false
	}
	l.work.Add(1)
	return true
}

// drain tells the peers, waits for the forwarded requests and ends the sessions.
func (l *Linker) drain() {
	l.mu.Lock()
	l.stopping = true
	for _, s := range l.sessions {
		s.box.putLeaving()
	}
	l.mu.Unlock()
	done := make(chan struct{})
	go func() {
		l.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(l.cfg.DrainLimit):
		l.cfg.Logger.Warn().Dur("limit", l.cfg.DrainLimit).Msg("forwarded requests cut off at the stop limit")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		s.close()
	}
}

// logRefused logs why a session did not open.
func (l *Linker) logRefused(err error) {
	if isCertificate(err) {
		l.cfg.Logger.Warn().Err(err).Msg("peer refused")
		return
	}
	l.cfg.Logger.Debug().Err(err).Msg("no session")
}

// logFrame logs that a peer broke the protocol.
func (l *Linker) logFrame(err error) {
	l.cfg.Logger.Warn().Err(err).Msg("bad frame")
}
