package messenger_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/quarantiner"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkAnnounce measures an announcement of two losses to all peers, by their number, with
// the answering side. The peers share a server.
func BenchmarkAnnounce(b *testing.B) {
	for _, n := range []int{3, 35, 369} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			var bytes atomic.Int64
			var received sync.WaitGroup
			answering := messenger.New(messenger.Config{Peers: &messenger.Peers{}, OnLosses: func(quarantiner.Report) { received.Done() }})
			s := httptest.NewUnstartedServer(answering.Handler())
			s.Listener = countingListener{s.Listener, &bytes}
			s.Start()
			b.Cleanup(s.Close)
			var peers messenger.Peers
			for i := range n {
				peers.Set(messenger.Peer{Instance: identifier.Instance(fmt.Sprint(i)), Address: netip.MustParseAddrPort(s.Listener.Addr().String())})
			}
			m := messenger.New(messenger.Config{AnnounceInterval: time.Nanosecond, Peers: &peers, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}})
			report := quarantiner.Report{Losses: []identifier.Process{{Endpoint: "i-7f3a91c2b8", Start: 1787150514949}, {Endpoint: "i-02d9e6b4aa", Start: 1787150514950}}}
			for i := 0; b.Loop(); i++ {
				report.Fingerprint = identifier.Fingerprint(1<<63 + uint64(i))
				received.Add(n)
				m.Announce(report)
				received.Wait()
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N*n), "B/peer")
		})
	}
}
