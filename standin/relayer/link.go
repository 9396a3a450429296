package relayer

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Direction is a way of bytes over a link.
type Direction int

// The directions of a link.
const (
	Forth Direction = iota // from the side that connects
	Back                   // to the side that connects
	directions
)

// Link forwards TCP connections to an address. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	to       netip.AddrPort

	mu    sync.Mutex
	whole [directions]chan struct{} // closed while bytes pass that way
	delay time.Duration
	pairs map[*pair]bool
}

// New returns a whole link on an address of loopback that leads to another address.
func New(to netip.AddrPort) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, to: to, pairs: map[*pair]bool{}}
	for d := range l.whole {
		l.whole[d] = make(chan struct{})
		close(l.whole[d])
	}
	go l.accept()
	return l, nil
}

// Address returns where the link accepts connections.
func (l *Link) Address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

// Cut holds back everything from now on, as a network partition does: neither side is told.
func (l *Link) Cut() {
	l.CutOneWay(Forth)
	l.CutOneWay(Back)
}

// CutOneWay holds back the bytes of one direction from now on.
func (l *Link) CutOneWay(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.whole[d]:
		l.whole[d] = make(chan struct{})
	default:
	}
}

// Restore removes the delay and forwards bytes in both directions again, held-back bytes first.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = 0
	for _, c := range l.whole {
		select {
		case <-c:
		default:
			close(c)
		}
	}
}

// Delay holds each piece back for d from now on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Reset breaks all connections off at once.
func (l *Link) Reset() {
	for _, p := range l.all() {
		p.reset()
	}
}

// Silence lets no byte through on the connections of now, for good. New ones work.
func (l *Link) Silence() {
	for _, p := range l.all() {
		p.silence()
	}
}

func (l *Link) all() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*pair
	for p := range l.pairs {
		out = append(out, p)
	}
	return out
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(c)
	}
}

// join connects c with the other end and copies both ways until one side ends.
func (l *Link) join(c net.Conn) {
	p := newPair(c)
	l.add(p)
	defer l.remove(p)
	if !l.pass(p, Forth) {
		return
	}
	d, err := net.Dial("tcp", l.to.String())
	if err != nil {
		p.close()
		return
	}
	p.setFar(d)
	go l.copy(p, Forth, d, c)
	l.copy(p, Back, c, d)
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

// copy passes bytes on until one side ends. The end is held back like bytes are.
func (l *Link) copy(p *pair, d Direction, to, from net.Conn) {
	defer p.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.pass(p, d) {
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

// pass waits until bytes of p may go on. It returns false if the pair ended meanwhile.
func (l *Link) pass(p *pair, d Direction) bool {
	l.mu.Lock()
	whole, delay := l.whole[d], l.delay
	l.mu.Unlock()
	select {
	case <-whole:
	case <-p.closed:
		return false
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
	return p.speaks()
}
