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

// Load of one node at the size that the users require: 120 endpoints in a failure domain of
// 37 nodes. The 240 probes of these endpoints are divided over the nodes, 6.5 for each.
const (
	reportsPerNode = 7
	digestInterval = 500 * time.Millisecond
	loadInterval   = time.Second
	poolsPerDomain = 2
)

// node stands for an instance in this experiment. It has only a Linker, without the other
// components, and a reader of the Linker's metrics.
type node struct {
	*linker.Linker
	peer             linker.Peer
	reader           *sdkmetric.ManualReader
	version          atomic.Uint64
	bundleReceivedAt atomic.Int64 // when the newest bundle arrived, in Unix nanoseconds
	bundle           []byte
}

// cluster is a set of nodes that run in this process and connect over loopback.
type cluster struct {
	nodes             []*node
	stop              func()
	openTime          time.Duration // from the simultaneous start of all nodes until all sessions were open
	openProcessorTime time.Duration // processor time of all nodes during openTime
}

// startCluster starts size nodes in each of the given number of failure domains and waits
// until their sessions are open. Certificates and keys are written to dir.
func startCluster(dir string, domains, size int) (*cluster, error) {
	members, err := writeCertificates(dir, domains, size)
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
	begin, processorBefore := time.Now(), processorTime()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range c.nodes {
		n.SetPeers(peers)
		running.Go(func() { _ = n.Run(ctx) })
		running.Go(func() { n.broadcastStatus(ctx) })
	}
	c.stop = func() {
		cancel()
		running.Wait()
	}
	for !c.isConnected(size) {
		time.Sleep(20 * time.Millisecond)
	}
	c.openTime, c.openProcessorTime = time.Since(begin), processorTime()-processorBefore
	return c, nil
}

func writeCertificates(dir string, domains, size int) ([]authority.Identity, error) {
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
		Serve:         writeAnswer,
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

// writeAnswer streams 20 parts of 64 bytes, about as much as a model answer of 20 tokens.
func writeAnswer(_ context.Context, _ router.Request, w router.Writer) router.Outcome {
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
	n.bundleReceivedAt.Store(time.Now().UnixNano())
	n.Broadcast(offer)
}

// broadcastStatus broadcasts probe digests and load summaries at the intervals of an instance
// under load, until ctx ends.
func (n *node) broadcastStatus(ctx context.Context) {
	digests := time.NewTicker(digestInterval)
	defer digests.Stop()
	loads := time.NewTicker(loadInterval)
	defer loads.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-digests.C:
			n.Broadcast(n.makeDigest())
		case <-loads.C:
			n.Broadcast(n.makeLoadSummary())
		}
	}
}

func (n *node) makeDigest() linker.ProbeDigest {
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

func (n *node) makeLoadSummary() linker.LoadSummary {
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

// isConnected reports whether each node reaches all other nodes of its failure domain and all
// nodes together reach min(size, 3) nodes for each ordered pair of failure domains on average.
func (c *cluster) isConnected(size int) bool {
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

// totals holds sums over all nodes of a cluster.
type totals struct {
	sent, received, writes int64
	processor              time.Duration
	collectedAt            time.Time
}

func (c *cluster) collectTotals() (totals, error) {
	t := totals{collectedAt: time.Now(), processor: processorTime()}
	for _, n := range c.nodes {
		var rm metricdata.ResourceMetrics
		if err := n.reader.Collect(context.Background(), &rm); err != nil {
			return totals{}, err
		}
		t.sent += sumCounter(rm, "linker.sent")
		t.received += sumCounter(rm, "linker.received")
		t.writes += sumCounter(rm, "linker.sent.writes")
	}
	return t, nil
}

func sumCounter(rm metricdata.ResourceMetrics, name string) int64 {
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

// processorTime returns the user and system time that this process has used, or 0 if the
// kernel does not report them.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
