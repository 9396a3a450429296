package relayer

import (
	"net"
	"sync"
)

// pair is one connection over a link: its near and its far half.
type pair struct {
	near   net.Conn
	closed chan struct{}
	silent chan struct{} // closed once nothing passes any more
	once   sync.Once
	hush   sync.Once

	mu  sync.Mutex
	far net.Conn
}

func newPair(near net.Conn) *pair {
	return &pair{near: near, closed: make(chan struct{}), silent: make(chan struct{})}
}

// setFar takes the far half, which it closes if the pair has ended.
func (p *pair) setFar(far net.Conn) {
	p.mu.Lock()
	p.far = far
	p.mu.Unlock()
	select {
	case <-p.closed:
		_ = far.Close()
	default:
	}
}

// close ends both halves.
func (p *pair) close() {
	p.once.Do(func() {
		close(p.closed)
		_ = p.near.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.far != nil {
			_ = p.far.Close()
		}
	})
}

// reset ends both halves without the usual end of the stream.
func (p *pair) reset() {
	p.mu.Lock()
	for _, c := range []net.Conn{p.near, p.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	p.close()
}

func (p *pair) silence() { p.hush.Do(func() { close(p.silent) }) }

// speaks reports whether bytes go on. For a silent pair it returns false once the pair has ended.
func (p *pair) speaks() bool {
	select {
	case <-p.silent:
		<-p.closed
		return false
	default:
		return true
	}
}
