package dispatcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/router"
)

// deadConn is a connection whose writes fail after the given number of bytes and whose reads block until it is closed.
type deadConn struct {
	net.Conn
	accepts int
	ended   chan struct{}
	end     *sync.Once
}

func (c deadConn) Write(p []byte) (int, error) {
	return min(c.accepts, len(p)), errors.New("reset")
}

func (c deadConn) Read([]byte) (int, error) {
	<-c.ended
	return 0, net.ErrClosed
}

func (c deadConn) Close() error {
	c.end.Do(func() { close(c.ended) })
	return nil
}

func (c deadConn) wrapIfCounted(counts bool) net.Conn {
	if !counts {
		return c
	}
	counting, _ := countWrites(c, nil)
	return counting
}

// TestNotSentNeedsEvidence checks that an attempt ends as NotSent only if the connection
// accepted no byte of it.
func TestNotSentNeedsEvidence(t *testing.T) {
	for _, c := range []struct {
		name      string
		accepts   int
		isCounted bool
		within    time.Duration
		want      router.Ending
	}{
		{"no byte", 0, true, time.Minute, router.NotSent{}},
		{"one byte", 1, true, time.Minute, router.Broken{}},
		{"uncounted connection", 0, false, time.Minute, router.Broken{}},
		{"deadline passed before connecting", 0, true, -time.Minute, router.NotSent{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dial := func(context.Context, string, string) (net.Conn, error) {
				return deadConn{accepts: c.accepts, ended: make(chan struct{}), end: &sync.Once{}}.wrapIfCounted(c.isCounted), nil
			}
			d := New(Config{Transport: &http.Transport{DialContext: dial}})
			req := &router.Request{Kind: router.KindNonIdempotent, Method: http.MethodPost, Path: "/holds", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute)}
			a := router.Dispatch{Attempt: 1, Target: router.Target{Address: netip.MustParseAddrPort("127.0.0.1:9")}}
			ctx, cancel := context.WithTimeout(context.Background(), c.within)
			defer cancel()
			is.Equal(d.dispatch(ctx, &call{req: req}, a, false), c.want)
		})
	}
}
