package main

import (
	"fmt"
	"time"
)

// headerBytes is the size of the IP header and the TCP header with time stamps. Each segment and
// each acknowledgement has both headers.
const headerBytes = 52

// piggybackPeers is the lowest number of peers at which probe digests wait for the next heartbeat
// and share its frame. Slopes are fitted only to clusters with at least as many peers.
const piggybackPeers = 10

// linkRow holds the resources that one node of a cluster uses for its sessions.
type linkRow struct {
	x                  float64 // number of peers or of other failure domains
	bytesPerSecond     float64 // sent and received, with TLS
	wireBytesPerSecond float64 // the same with the headers of a segment and an acknowledgement for each write
	writesPerSecond    float64
	processor          float64       // used share of one core
	memory             float64       // bytes
	spreadTime         time.Duration // until a new bundle reached the last node
	openTime           time.Duration // from the simultaneous start of all nodes until all sessions were open
	openProcessorTime  time.Duration // mean processor time of a node during openTime
}

// measureLinks runs a cluster and returns the mean resources of one node. x is the number of peers
// or other failure domains, for the row.
func measureLinks(o options, dir string, domains, size int, x float64) (linkRow, error) {
	memoryBefore := memoryInUse()
	c, err := startCluster(dir, domains, size)
	if err != nil {
		return linkRow{}, err
	}
	defer c.stop()
	time.Sleep(o.WarmUp)
	before, err := c.collectTotals()
	if err != nil {
		return linkRow{}, err
	}
	time.Sleep(o.Duration)
	after, err := c.collectTotals()
	if err != nil {
		return linkRow{}, err
	}
	nodes := float64(len(c.nodes))
	nodeSeconds := after.collectedAt.Sub(before.collectedAt).Seconds() * nodes
	row := linkRow{
		x:                 x,
		bytesPerSecond:    float64(after.sent-before.sent+after.received-before.received) / nodeSeconds,
		writesPerSecond:   float64(after.writes-before.writes) / nodeSeconds,
		processor:         (after.processor - before.processor).Seconds() / nodeSeconds,
		memory:            float64(memoryInUse()-memoryBefore) / nodes,
		spreadTime:        c.spreadBundle(20 << 10),
		openTime:          c.openTime,
		openProcessorTime: c.openProcessorTime / time.Duration(len(c.nodes)),
	}
	row.wireBytesPerSecond = row.bytesPerSecond + 4*headerBytes*row.writesPerSecond
	return row, nil
}

// spreadBundle gives the first node a new bundle of size bytes and returns the time
// until it reaches the last node, at most a minute.
func (c *cluster) spreadBundle(size int) time.Duration {
	first := c.nodes[0]
	begin := time.Now()
	first.bundle = make([]byte, size)
	first.version.Store(1)
	first.Broadcast(newBundleOffer(1, first.bundle))
	var last int64
	for _, n := range c.nodes[1:] {
		for n.version.Load() == 0 {
			if time.Since(begin) > time.Minute {
				return time.Minute
			}
			time.Sleep(time.Millisecond)
		}
		last = max(last, n.bundleReceivedAt.Load())
	}
	return time.Unix(0, last).Sub(begin)
}

// measureInsideDomain measures the sessions inside one failure domain for each size in o.
func measureInsideDomain(o options, dir string) error {
	fmt.Println("\n## Links inside a failure domain, a node")
	var rows []linkRow
	for _, size := range o.Sizes {
		row, err := measureLinks(o, dir, 1, size, float64(size-1))
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	printRows("peers", piggybackPeers, rows)
	return nil
}

// measureAcrossDomains measures the resources for sessions to other failure domains, for each
// number of failure domains in o.
func measureAcrossDomains(o options, dir string) error {
	fmt.Println("\n## Links with other failure domains, a node in a failure domain of", o.AcrossSize)
	var rows []linkRow
	for _, domains := range o.Domains {
		row, err := measureLinks(o, dir, domains, o.AcrossSize, float64(domains-1))
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	printRows("other domains", 0, rows)
	return nil
}

// printRows prints the rows, and the slopes over the rows whose x is at least minX.
func printRows(name string, minX float64, rows []linkRow) {
	fmt.Printf("| %s | bytes/s | with headers | writes/s | %% of a core | memory KiB | bundle everywhere | all start: open in | processor of a node |\n|---|---|---|---|---|---|---|---|---|\n", name)
	var x, wire, processor, mem []float64
	for _, r := range rows {
		fmt.Printf("| %.0f | %.0f | %.0f | %.1f | %.3f | %.0f | %s | %s | %s |\n",
			r.x, r.bytesPerSecond, r.wireBytesPerSecond, r.writesPerSecond, 100*r.processor, r.memory/1024, r.spreadTime.Round(time.Millisecond), r.openTime.Round(time.Millisecond), r.openProcessorTime.Round(time.Millisecond))
		if r.x < minX {
			continue
		}
		x = append(x, r.x)
		wire = append(wire, r.wireBytesPerSecond)
		processor = append(processor, 100*r.processor)
		mem = append(mem, r.memory/1024)
	}
	if len(x) < 2 {
		return
	}
	w, p, m := fitLine(x, wire), fitLine(x, processor), fitLine(x, mem)
	fmt.Printf("Slopes: bytes/s with headers %.0f + %.1f each; %% of a core %.4f + %.5f each; KiB %.0f + %.1f each.\n",
		w.intercept, w.slope, p.intercept, p.slope, m.intercept, m.slope)
}
