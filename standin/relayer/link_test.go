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

// echo answers each byte with itself.
func echo(t *testing.T) netip.AddrPort {
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

func linked(t *testing.T) (*relayer.Link, func() net.Conn) {
	t.Helper()
	l, err := relayer.New(echo(t))
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

// say sends a byte and returns the answer, or the error after a short while.
func say(c net.Conn, b byte) (byte, error) {
	if _, err := c.Write([]byte{b}); err != nil {
		return 0, err
	}
	return hear(c, 50*time.Millisecond)
}

func hear(c net.Conn, limit time.Duration) (byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	var in [1]byte
	_, err := io.ReadFull(c, in[:])
	return in[0], err
}

// patience bounds a wait for what must come.
const patience = 10 * time.Second

func TestCutHoldsBytesBack(t *testing.T) {
	cuts := map[string]func(*relayer.Link){
		"both ways": (*relayer.Link).Cut,
		"forth":     func(l *relayer.Link) { l.CutOneWay(relayer.Forth) },
		"back":      func(l *relayer.Link) { l.CutOneWay(relayer.Back) },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, dial := linked(t)
			c := dial()
			cut(l)
			_, err := say(c, 'a')
			var timeout net.Error
			is.True(errors.As(err, &timeout) && timeout.Timeout())
			l.Restore()
			got, err := hear(c, patience)
			is.NoErr(err)
			is.Equal(got, byte('a'))
		})
	}
}

func TestSilenceIsForGood(t *testing.T) {
	is := is.New(t)
	l, dial := linked(t)
	old := dial()
	_, err := old.Write([]byte("a"))
	is.NoErr(err)
	_, err = hear(old, patience)
	is.NoErr(err)
	l.Silence()
	_, err = say(old, 'b')
	is.True(err != nil)
	fresh := dial()
	_, err = fresh.Write([]byte("c"))
	is.NoErr(err)
	got, err := hear(fresh, patience)
	is.NoErr(err)
	is.Equal(got, byte('c'))
}

func TestReset(t *testing.T) {
	is := is.New(t)
	l, dial := linked(t)
	c := dial()
	_, err := c.Write([]byte("a"))
	is.NoErr(err)
	_, err = hear(c, patience)
	is.NoErr(err)
	l.Reset()
	_, err = hear(c, patience)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

func TestDelay(t *testing.T) {
	is := is.New(t)
	l, dial := linked(t)
	c := dial()
	l.Delay(40 * time.Millisecond)
	start := time.Now()
	_, err := c.Write([]byte("a"))
	is.NoErr(err)
	_, err = hear(c, patience)
	is.NoErr(err)
	is.True(time.Since(start) >= 80*time.Millisecond) // both ways
}
