package relayer_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/relayer"
)

// startEcho starts a server that sends each received byte back, and returns its address.
func startEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// newLink returns a link to an echo server and a function that connects to the link.
func newLink(t *testing.T) (*relayer.Link, func() net.Conn) {
	t.Helper()
	l, err := relayer.New(startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, func() net.Conn {
		c, err := net.Dial("tcp", l.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// exchange sends a byte and returns the answer, or a timeout error after 50 ms.
func exchange(c net.Conn, b byte) (byte, error) {
	if _, err := c.Write([]byte{b}); err != nil {
		return 0, err
	}
	return receive(c, 50*time.Millisecond)
}

// receive returns the next byte, or a timeout error after limit.
func receive(c net.Conn, limit time.Duration) (byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	var in [1]byte
	_, err := io.ReadFull(c, in[:])
	return in[0], err
}

// waitLimit bounds the wait for an answer that must arrive.
const waitLimit = 10 * time.Second

func TestCutHoldsBytesBack(t *testing.T) {
	cuts := map[string]func(*relayer.Link){
		"both ways":  (*relayer.Link).Cut,
		"upstream":   func(l *relayer.Link) { l.CutOneWay(relayer.Upstream) },
		"downstream": func(l *relayer.Link) { l.CutOneWay(relayer.Downstream) },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, dial := newLink(t)
			c := dial()
			cut(l)
			_, err := exchange(c, 'a')
			var timeout net.Error
			is.True(errors.As(err, &timeout) && timeout.Timeout())
			l.Restore()
			got, err := receive(c, waitLimit)
			is.NoErr(err)
			is.Equal(got, byte('a'))
		})
	}
}

func TestSilenceIsPermanent(t *testing.T) {
	is := is.New(t)
	l, dial := newLink(t)
	old := dial()
	_, err := old.Write([]byte("a"))
	is.NoErr(err)
	_, err = receive(old, waitLimit)
	is.NoErr(err)
	l.Silence()
	is.True(l.IsSilenced(clientAddress(old)))
	_, err = exchange(old, 'b')
	is.True(err != nil)
	fresh := dial()
	is.True(!l.IsSilenced(clientAddress(fresh)))
	_, err = fresh.Write([]byte("c"))
	is.NoErr(err)
	got, err := receive(fresh, waitLimit)
	is.NoErr(err)
	is.Equal(got, byte('c'))
}

func clientAddress(c net.Conn) netip.AddrPort { return c.LocalAddr().(*net.TCPAddr).AddrPort() }

func TestReset(t *testing.T) {
	is := is.New(t)
	l, dial := newLink(t)
	c := dial()
	_, err := c.Write([]byte("a"))
	is.NoErr(err)
	_, err = receive(c, waitLimit)
	is.NoErr(err)
	l.Reset()
	_, err = receive(c, waitLimit)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

func TestDelay(t *testing.T) {
	is := is.New(t)
	l, dial := newLink(t)
	c := dial()
	l.Delay(40 * time.Millisecond)
	start := time.Now()
	_, err := c.Write([]byte("a"))
	is.NoErr(err)
	_, err = receive(c, waitLimit)
	is.NoErr(err)
	is.True(time.Since(start) >= 80*time.Millisecond) // both ways
}
