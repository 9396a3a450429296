package relayer

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// pair is a connection over a link: the client's connection to the link and the link's
// connection to the target.
type pair struct {
	client      net.Conn
	closed      chan struct{}
	silent      chan struct{} // closed when forwarding has stopped permanently
	closeOnce   sync.Once
	silenceOnce sync.Once

	mu     sync.Mutex
	server net.Conn
}

func newPair(client net.Conn) *pair {
	return &pair{client: client, closed: make(chan struct{}), silent: make(chan struct{})}
}

// source returns the address of the client.
func (p *pair) source() netip.Addr { return p.client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr() }

// setServer sets the connection to the target. It closes that connection if the pair is
// already closed.
func (p *pair) setServer(server net.Conn) {
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	select {
	case <-p.closed:
		_ = server.Close()
	default:
	}
}

// close closes both connections.
func (p *pair) close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		_ = p.client.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.server != nil {
			_ = p.server.Close()
		}
	})
}

// reset closes both connections with a TCP reset in place of an orderly end of the stream.
func (p *pair) reset() {
	p.mu.Lock()
	for _, c := range []net.Conn{p.client, p.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	p.close()
}

// wasReset reports whether the client has reset its connection.
func (p *pair) wasReset() bool {
	c, ok := p.client.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed
	}
	failure := 0
	err = raw.Control(func(fd uintptr) { failure, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return err != nil || failure != 0
}

// silence permanently stops forwarding but leaves both connections open.
func (p *pair) silence() { p.silenceOnce.Do(func() { close(p.silent) }) }

// canForward reports whether bytes may be forwarded. For a silenced pair, it waits until the
// pair is closed and then returns false.
func (p *pair) canForward() bool {
	select {
	case <-p.silent:
		<-p.closed
		return false
	default:
		return true
	}
}
