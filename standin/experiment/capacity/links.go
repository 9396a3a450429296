package main

import (
	"fmt"
	"time"
)

// headers is the bytes of IP and TCP headers with time stamps in each segment, and in
// each acknowledgement of one.
const headers = 52

// ridingPeers is the number of peers from which digests ride on the heartbeats.
const ridingPeers = 10

// linkRow is what one node of a cluster takes for its links.
type linkRow struct {
	x         float64 // peers or other failure domains
	bytes     float64 // sent and received a second, TLS included
	wire      float64 // the same with headers and an acknowledgement for each write
	writes    float64 // a second
	processor float64 // share of a core
	memory    float64 // bytes
	spread    time.Duration
	opening   time.Duration // until all sessions were open
	burst     time.Duration // of processor meanwhile
}

// measureLinks runs a cluster and returns what one node takes.
func measureLinks(o options, dir string, domains, size int, x float64) (linkRow, error) {
	empty := memory()
	c, err := startCluster(dir, domains, size)
	if err != nil {
		return linkRow{}, err
	}
	defer c.stop()
	time.Sleep(o.Warm)
	before, err := c.totals()
	if err != nil {
		return linkRow{}, err
	}
	time.Sleep(o.Duration)
	after, err := c.totals()
	if err != nil {
		return linkRow{}, err
	}
	nodes := float64(len(c.nodes))
	seconds := after.at.Sub(before.at).Seconds() * nodes
	row := linkRow{
		x:         x,
		bytes:     float64(after.sent-before.sent+after.received-before.received) / seconds,
		writes:    float64(after.writes-before.writes) / seconds,
		processor: (after.processor - before.processor).Seconds() / seconds,
		memory:    float64(memory()-empty) / nodes,
		spread:    c.spread(20 << 10),
		opening:   c.opening,
		burst:     c.openingProcessor / time.Duration(len(c.nodes)),
	}
	row.wire = row.bytes + 4*headers*row.writes
	return row, nil
}

// spread gives one node a new bundle and returns how long it takes to reach the last.
func (c *cluster) spread(size int) time.Duration {
	first := c.nodes[0]
	begin := time.Now()
	first.bundle = make([]byte, size)
	first.version.Store(1)
	first.Broadcast(bundleOffer(1, first.bundle))
	var last int64
	for _, n := range c.nodes[1:] {
		for n.version.Load() == 0 {
			if time.Since(begin) > time.Minute {
				return time.Minute
			}
			time.Sleep(time.Millisecond)
		}
		last = max(last, n.reached.Load())
	}
	return time.Unix(0, last).Sub(begin)
}

// insideDomain measures the links of one failure domain by its number of peers.
func insideDomain(o options, dir string) error {
	fmt.Println("\n## Links inside a failure domain, a node")
	var rows []linkRow
	for _, size := range o.Sizes {
		row, err := measureLinks(o, dir, 1, size, float64(size-1))
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	printRows("peers", ridingPeers, rows)
	return nil
}

// acrossDomains measures what the links to other failure domains add.
func acrossDomains(o options, dir string) error {
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

// printRows prints the rows and the slopes of those from least on.
func printRows(name string, least float64, rows []linkRow) {
	fmt.Printf("| %s | bytes/s | with headers | writes/s | %% of a core | memory KiB | bundle everywhere | all start: open in | processor of a node |\n|---|---|---|---|---|---|---|---|---|\n", name)
	var x, wire, processor, mem []float64
	for _, r := range rows {
		fmt.Printf("| %.0f | %.0f | %.0f | %.1f | %.3f | %.0f | %s | %s | %s |\n",
			r.x, r.bytes, r.wire, r.writes, 100*r.processor, r.memory/1024, r.spread.Round(time.Millisecond), r.opening.Round(time.Millisecond), r.burst.Round(time.Millisecond))
		if r.x < least {
			continue
		}
		x = append(x, r.x)
		wire = append(wire, r.wire)
		processor = append(processor, 100*r.processor)
		mem = append(mem, r.memory/1024)
	}
	if len(x) < 2 {
		return
	}
	w, p, m := fit(x, wire), fit(x, processor), fit(x, mem)
	fmt.Printf("Slopes: bytes/s with headers %.0f + %.1f each; %% of a core %.4f + %.5f each; KiB %.0f + %.1f each.\n",
		w.base, w.per, p.base, p.per, m.base, m.per)
}
