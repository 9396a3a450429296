package relayer

import (
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failingListener fails the first accepts, as a process with too many open files does.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// TestLinkAcceptsAfterFailure checks that a link forwards connections again after an accept has
// failed. A link that ended then left its address open, where connections hung.
func TestLinkAcceptsAfterFailure(t *testing.T) {
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		c, err := target.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	failing := &failingListener{Listener: listener}
	failing.failures.Store(2)
	l := newLink(failing, netip.MustParseAddrPort(target.Addr().String()))
	t.Cleanup(l.Close)
	c, err := net.Dial("tcp", l.Address().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = c.Write([]byte("a"))
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 1))
	is.NoErr(err)
}
