package relayer

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Direction is the direction of bytes over a link.
type Direction int

// The directions of a link.
const (
	Upstream   Direction = iota // from the client, which connects, to the target
	Downstream                  // from the target to the client
	directionCount
)

// Link forwards TCP connections to an address. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	open  [directionCount]chan struct{} // by direction; closed while bytes are forwarded
	delay time.Duration
	pairs map[*pair]bool

	silenced map[netip.AddrPort]bool      // addresses of the clients whose connections were silenced
	cutOff   map[netip.Addr]chan struct{} // by client address; closed when the client's bytes are forwarded again
	rejected map[netip.Addr]bool          // client addresses whose connections are reset
}

// New returns a link from an address of loopback to the target, without faults.
func New(to netip.AddrPort) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return newLink(listener, to), nil
}

// newLink returns a link that accepts connections from listener.
func newLink(listener net.Listener, to netip.AddrPort) *Link {
	l := &Link{listener: listener, target: to, pairs: map[*pair]bool{}, silenced: map[netip.AddrPort]bool{}, cutOff: map[netip.Addr]chan struct{}{}, rejected: map[netip.Addr]bool{}}
	for d := range l.open {
		l.open[d] = make(chan struct{})
		close(l.open[d])
	}
	go l.accept()
	return l
}

// Address returns the address on which the link accepts connections.
func (l *Link) Address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close closes the link and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

// Cut holds back the bytes of both directions from now on, as a network partition does:
// neither side sees an end or a reset of its connections.
func (l *Link) Cut() {
	l.CutOneWay(Upstream)
	l.CutOneWay(Downstream)
}

// CutOneWay holds back the bytes of one direction from now on.
func (l *Link) CutOneWay(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open[d]:
		l.open[d] = make(chan struct{})
	default:
	}
}

// Restore removes the delay and forwards bytes in both directions again, held-back bytes first.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = 0
	for _, c := range l.open {
		select {
		case <-c:
		default:
			close(c)
		}
	}
}

// Delay delays each chunk of bytes by d from now on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Reset resets all connections immediately.
func (l *Link) Reset() {
	for _, p := range l.currentPairs() {
		p.reset()
	}
}

// Silence permanently stops forwarding on the existing connections, which stay open. New
// connections are not affected.
func (l *Link) Silence() {
	for _, p := range l.currentPairs() {
		p.silence()
		l.mu.Lock()
		l.silenced[p.client.RemoteAddr().(*net.TCPAddr).AddrPort()] = true
		l.mu.Unlock()
	}
}

// IsSilenced reports whether Silence has stopped a connection of the client with this address.
func (l *Link) IsSilenced(client netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenced[client]
}

func (l *Link) currentPairs() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*pair
	for p := range l.pairs {
		out = append(out, p)
	}
	return out
}

// acceptRetryDelay is the delay after a failed accept, which usually means that the process has
// too many open files.
const acceptRetryDelay = 10 * time.Millisecond

// accept forwards connections until the listener is closed.
func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		default:
			go l.forward(c)
		}
	}
}

// forward connects to the target and copies bytes in both directions between c and the target
// until one side ends.
func (l *Link) forward(c net.Conn) {
	p := newPair(c)
	l.add(p)
	defer l.remove(p)
	if l.rejects(p.source()) {
		p.reset()
		return
	}
	if !l.waitToForward(p, Upstream) || p.wasReset() {
		return
	}
	d, err := net.Dial("tcp", l.target.String())
	if err != nil {
		p.close()
		return
	}
	p.setServer(d)
	go l.copy(p, Upstream, d, c)
	l.copy(p, Downstream, c, d)
}

func (l *Link) add(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[p] = true
}

func (l *Link) remove(p *pair) {
	p.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// copy forwards bytes until one side ends. The end of a stream is held back and delayed like
// its bytes. Bytes that are held back are lost if the client resets its connection meanwhile.
func (l *Link) copy(p *pair, d Direction, to, from net.Conn) {
	defer p.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.waitToForward(p, d) || p.wasReset() {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits until bytes of p may be forwarded. It returns false if the pair was
// closed in the meantime.
func (l *Link) waitToForward(p *pair, d Direction) bool {
	l.mu.Lock()
	open, delay, source := l.open[d], l.delay, l.cutOff[p.source()]
	l.mu.Unlock()
	select {
	case <-open:
	case <-p.closed:
		return false
	}
	if source != nil {
		select {
		case <-source:
		case <-p.closed:
			return false
		}
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.closed:
			return false
		}
	}
	return p.canForward()
}
