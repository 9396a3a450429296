package trial

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"amaranthmill/standin/load"
)

// LatencyConfig configures MeasureLatency. Bin, Dir and Concurrency are required.
type LatencyConfig struct {
	Bin, Dir    string
	Concurrency []int
	Duration    time.Duration // of each run
	Tokens      int           // of each answer
}

// Latency holds the reports of the two runs at one concurrency.
type Latency struct {
	Concurrency      int
	Direct, ViaEntry *load.Report
}

// MeasureLatency sends the same load directly to the first member of a replica group and
// through an entry instance, one after the other at each concurrency.
func MeasureLatency(cfg LatencyConfig) ([]Latency, error) {
	f, err := newFleet(cfg.Bin, cfg.Dir)
	if err != nil {
		return nil, err
	}
	f.engineArgs = []string{"--capacity", "1024", "--tokenInterval", "20ms"}
	defer f.processes.KillAll()
	t := &trial{cfg: Config{Out: io.Discard}, fleet: f, startTime: time.Now(), failureReasons: map[string]int{}}
	for _, step := range []func() error{t.startFleet, t.rollOutBundle} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	groups, err := f.fetchGroups()
	if err != nil {
		return nil, err
	}
	base := load.Config{
		Key: f.keys["observatory"].Key, Model: "mill-guides", Adapter: "patrons", Prompt: "latency", AnswerTokens: cfg.Tokens,
		Duration: cfg.Duration, Timeout: time.Minute,
	}
	var out []Latency
	for _, n := range cfg.Concurrency {
		l := Latency{Concurrency: n}
		direct, viaEntry := base, base
		direct.Concurrency, viaEntry.Concurrency = n, n
		direct.Targets, direct.Epoch = []netip.AddrPort{f.findEngine(groups[0].Members[0]).address}, fmt.Sprint(groups[0].Epoch)
		viaEntry.Targets = []netip.AddrPort{f.entries[0].callers}
		l.Direct = load.Run(context.Background(), direct)
		l.ViaEntry = load.Run(context.Background(), viaEntry)
		out = append(out, l)
	}
	return out, nil
}
