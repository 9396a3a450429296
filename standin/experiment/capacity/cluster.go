package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/router"
	"amaranthmill/standin/authority"

	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
)

// Load of one node at the size of letter 1: 240 probes of 120 endpoints in a failure
// domain of 37 nodes.
const (
	reportsPerNode = 7
	digestInterval = 500 * time.Millisecond
	loadInterval   = time.Second
	poolsPerDomain = 2
)

// node is one Linker with what it counts.
type node struct {
	*linker.Linker
	peer    linker.Peer
	reader  *sdkmetric.ManualReader
	version atomic.Uint64
	reached atomic.Int64 // when the newest bundle arrived, in nanoseconds
	bundle  []byte
}

// cluster is a number of nodes of one process on the loopback interface.
type cluster struct {
	nodes            []*node
	stop             func()
	opening          time.Duration // until all sessions were open, from a start of all at once
	openingProcessor time.Duration // of all nodes meanwhile
}

// startCluster starts size nodes in each of a number of failure domains and waits until
// their sessions are open.
func startCluster(dir string, domains, size int) (*cluster, error) {
	members, err := certify(dir, domains, size)
	if err != nil {
		return nil, err
	}
	c := &cluster{}
	var peers []linker.Peer
	for _, m := range members {
		n, err := newNode(dir, m)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
		peers = append(peers, n.peer)
	}
	begin, used := time.Now(), processorTime()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range c.nodes {
		n.SetPeers(peers)
		running.Go(func() { _ = n.Run(ctx) })
		running.Go(func() { n.talk(ctx) })
	}
	c.stop = func() {
		cancel()
		running.Wait()
	}
	for !c.connected(size) {
		time.Sleep(20 * time.Millisecond)
	}
	c.opening, c.openingProcessor = time.Since(begin), processorTime()-used
	return c, nil
}

func certify(dir string, domains, size int) ([]authority.Identity, error) {
	a, err := authority.New()
	if err != nil {
		return nil, err
	}
	var members []authority.Identity
	for d := range domains {
		for i := range size {
			members = append(members, authority.Identity{
				Instance:      fmt.Sprintf("entry-%02d-%02d", d, i),
				FailureDomain: fmt.Sprintf("region-%d-domain-%02d", d%4, d),
			})
		}
	}
	return members, a.Write(dir, members)
}

func newNode(dir string, m authority.Identity) (*node, error) {
	credentials, err := linker.NewCredentials(linker.CredentialsConfig{
		Certificate: filepath.Join(dir, m.Instance+".pem"),
		Key:         filepath.Join(dir, m.Instance+".key"),
		Authorities: filepath.Join(dir, "authorities.pem"),
	})
	if err != nil {
		return nil, err
	}
	n := &node{reader: sdkmetric.NewManualReader()}
	n.Linker, err = linker.New(linker.Config{
		Instance:      identifier.Instance(m.Instance),
		FailureDomain: identifier.FailureDomain(m.FailureDomain),
		Listen:        netip.MustParseAddrPort("127.0.0.1:0"),
		Credentials:   credentials,
		OnMessage:     n.receive,
		Bundle:        func() (identifier.BundleVersion, []byte) { return identifier.BundleVersion(n.version.Load()), n.bundle },
		Serve:         answer,
		Meter:         sdkmetric.NewMeterProvider(sdkmetric.WithReader(n.reader)).Meter("capacity"),
	})
	if err != nil {
		return nil, err
	}
	n.peer = linker.Peer{
		Instance:      identifier.Instance(m.Instance),
		FailureDomain: identifier.FailureDomain(m.FailureDomain),
		Address:       n.Address(),
	}
	return n, nil
}

// answer streams 20 parts of 64 bytes, about what a model request of that many tokens takes.
func answer(_ context.Context, _ router.Request, w router.Writer) router.Outcome {
	_ = w.Start(200, nil)
	part := make([]byte, 64)
	for range 20 {
		if w.Write(part) != nil {
			return router.Unknown{}
		}
	}
	return router.Answered{}
}

func (n *node) receive(_ linker.Peer, m linker.Message) {
	offer, ok := m.(linker.BundleOffer)
	if !ok || uint64(offer.Version) <= n.version.Load() {
		return
	}
	n.bundle = offer.Document
	n.version.Store(uint64(offer.Version))
	n.reached.Store(time.Now().UnixNano())
	n.Broadcast(offer)
}

// talk broadcasts digests and summaries as an instance does under load.
func (n *node) talk(ctx context.Context) {
	digests := time.NewTicker(digestInterval)
	defer digests.Stop()
	loads := time.NewTicker(loadInterval)
	defer loads.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-digests.C:
			n.Broadcast(n.digest())
		case <-loads.C:
			n.Broadcast(n.load())
		}
	}
}

func (n *node) digest() linker.ProbeDigest {
	var d linker.ProbeDigest
	for i := range reportsPerNode {
		d.Reports = append(d.Reports, linker.ProbeReport{
			Endpoint:      identifier.Endpoint(fmt.Sprintf("engine-%s-%d", n.peer.Instance, i)),
			Address:       netip.MustParseAddrPort("10.20.30.40:9000"),
			ProcessStart:  1700000000000000000,
			Group:         "large-017",
			Epoch:         12,
			BundleVersion: 1900,
			Loaded:        true,
			Reachable:     true,
			InFlight:      rand.IntN(32),
			Queued:        rand.IntN(8),
			Capacity:      32,
			Age:           time.Duration(rand.IntN(500)) * time.Millisecond,
			Latency:       time.Duration(rand.IntN(3000)) * time.Microsecond,
		})
	}
	return d
}

func (n *node) load() linker.LoadSummary {
	s := linker.LoadSummary{FailureDomain: n.peer.FailureDomain}
	for i := range poolsPerDomain {
		s.Services = append(s.Services, linker.ServiceLoad{
			Pool:     identifier.Pool(fmt.Sprintf("large-model-%d", i)),
			Free:     rand.IntN(900),
			Capacity: 960,
		})
	}
	return s
}

// connected reports whether each node reaches all others of its failure domain and some
// node of each other one.
func (c *cluster) connected(size int) bool {
	domains := len(c.nodes) / size
	outside := 0
	for _, n := range c.nodes {
		inside := 0
		for _, p := range n.Peers() {
			switch {
			case !p.Reachable:
			case p.FailureDomain == n.peer.FailureDomain:
				inside++
			default:
				outside++
			}
		}
		if inside < size-1 {
			return false
		}
	}
	return outside >= domains*(domains-1)*min(size, 3)
}

// totals are counts over all nodes of a cluster.
type totals struct {
	sent, received, writes int64
	processor              time.Duration
	at                     time.Time
}

func (c *cluster) totals() (totals, error) {
	t := totals{at: time.Now(), processor: processorTime()}
	for _, n := range c.nodes {
		var rm metricdata.ResourceMetrics
		if err := n.reader.Collect(context.Background(), &rm); err != nil {
			return totals{}, err
		}
		t.sent += counter(rm, "linker.sent")
		t.received += counter(rm, "linker.received")
		t.writes += counter(rm, "linker.sent.writes")
	}
	return t, nil
}

func counter(rm metricdata.ResourceMetrics, name string) int64 {
	var n int64
	for _, scope := range rm.ScopeMetrics {
		for _, m := range scope.Metrics {
			sum, ok := m.Data.(metricdata.Sum[int64])
			if !ok || m.Name != name {
				continue
			}
			for _, p := range sum.DataPoints {
				n += p.Value
			}
		}
	}
	return n
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the bytes of heap and stacks in use after a collection.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
