package trial

import (
	"net"
	"net/netip"
	"sync"
)

// link forwards TCP connections to an address and can be cut. Like a network partition it
// then holds bytes back and answers nothing, and no side is told. What was held back goes
// on once the link is mended.
type link struct {
	listener net.Listener
	to       netip.AddrPort

	mu     sync.Mutex
	mended chan struct{} // closed while the link is whole
}

// newLink returns a whole link on an address of loopback.
func newLink(to netip.AddrPort) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, mended: make(chan struct{})}
	close(k.mended)
	go k.accept()
	return k, nil
}

func (k *link) address() netip.AddrPort { return k.listener.Addr().(*net.TCPAddr).AddrPort() }

// cut holds back everything from now on.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.mended:
		k.mended = make(chan struct{})
	default:
	}
}

// mend lets everything through again.
func (k *link) mend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.mended:
	default:
		close(k.mended)
	}
}

func (k *link) wait() {
	k.mu.Lock()
	c := k.mended
	k.mu.Unlock()
	<-c
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.join(c)
	}
}

// join copies both ways until one side ends.
func (k *link) join(c net.Conn) {
	k.wait()
	d, err := net.Dial("tcp", k.to.String())
	if err != nil {
		c.Close()
		return
	}
	var once sync.Once
	end := func() {
		once.Do(func() {
			c.Close()
			d.Close()
		})
	}
	go func() { k.copy(d, c); end() }()
	k.copy(c, d)
	end()
}

func (k *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		k.wait()
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
