package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"amaranthmill/bundler"
	"amaranthmill/grouper"
)

type options struct {
	Seeds    int  `long:"seeds" default:"5" description:"number of traces a user, from seed 1"`
	Workers  int  `long:"workers" default:"4" description:"days that run at the same time"`
	Generate bool `long:"generate" description:"write the traces anew and stop"`
}

// variants lists the measured policies. The first two are the plain policies.
var variants = []variant{
	{name: "wait for the member", policy: grouper.Policy{Strategy: grouper.StrategyWait, NoStandby: true, NoPreload: true, MaxConcurrentLoads: unlimitedLoads}},
	{name: "rebuild with any spare", policy: grouper.Policy{Strategy: grouper.StrategyRebuild, NoStandby: true, NoPreload: true, MaxConcurrentLoads: unlimitedLoads}},
	{name: "weighted", policy: grouper.Policy{}},
	{name: "weighted, no standby", policy: grouper.Policy{NoStandby: true}},
	{name: "weighted, spares not loaded", policy: grouper.Policy{NoPreload: true}},
	{name: "weighted, spares not loaded, no standby", policy: grouper.Policy{NoPreload: true, NoStandby: true}},
	{name: "weighted, loads unordered", policy: grouper.Policy{MaxConcurrentLoads: unlimitedLoads}},
	{name: "least possible", lowerBoundOnly: true},
}

// curveWeights lists pairs of weights: group downtime, then stranded accelerators.
var curveWeights = [][2]float64{{1, 0}, {16, 1}, {8, 1}, {4, 1}, {1, 1}, {0, 1}}

// curveVariants returns the plain policies, and the weighted policy for each pair of curveWeights.
func curveVariants() []variant {
	out := slices.Clone(variants[:2])
	for _, w := range curveWeights {
		out = append(out, variant{
			name:    fmt.Sprintf("weighted, weights %g to %g", w[0], w[1]),
			weights: &bundler.RepairWeights{GroupDowntime: w[0], StrandedAccelerators: w[1]},
		})
	}
	return out
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	for _, u := range users {
		if opts.Generate {
			for seed := range uint64(opts.Seeds) {
				if err := writeTrace(u, seed+1); err != nil {
					return err
				}
			}
			continue
		}
		selected := variants
		if u.batchCount > 0 {
			selected = curveVariants()
		}
		results, err := measureUser(u, selected, opts)
		if err != nil {
			return err
		}
		printTable(u, selected, results)
	}
	return nil
}

// measureUser runs each variant with each seed and returns the measures, indexed by variant and
// then by seed index.
func measureUser(u user, variants []variant, opts options) ([][]measure, error) {
	out := make([][]measure, len(variants))
	slots := make(chan struct{}, opts.Workers)
	var wg sync.WaitGroup
	for i, v := range variants {
		out[i] = make([]measure, opts.Seeds)
		for s := range opts.Seeds {
			trace, err := readTrace(u.name, uint64(s+1))
			if err != nil {
				return nil, err
			}
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				out[i][s] = runDay(u, v, trace)
			})
		}
	}
	wg.Wait()
	return out, nil
}

// printTable prints the table of a fleet. Each cell has the mean and the range over the seeds.
func printTable(u user, variants []variant, results [][]measure) {
	fmt.Printf("\n%s: weights downtime %g, stranded %g; %d seeds; mean (least to most)\n\n", u.name,
		u.weights.GroupDowntime, u.weights.StrandedAccelerators, len(results[0]))
	fmt.Println("| policy | group downtime, min | of it of the lower priority | stranded accelerators, min |")
	fmt.Println("|---|---|---|---|")
	for i, v := range variants {
		down := formatColumn(results[i], func(m measure) time.Duration { return m.downtime })
		stranded := formatColumn(results[i], func(m measure) time.Duration { return m.stranded })
		batchDown := formatColumn(results[i], func(m measure) time.Duration { return m.batchDowntime })
		fmt.Printf("| %s | %s | %s | %s |\n", v.name, down, batchDown, stranded)
	}
}

// formatColumn formats the mean and the range of one measure in minutes.
func formatColumn(measures []measure, value func(measure) time.Duration) string {
	sum, lowest, highest := 0.0, value(measures[0]).Minutes(), 0.0
	for _, m := range measures {
		x := value(m).Minutes()
		sum += x
		lowest, highest = min(lowest, x), max(highest, x)
	}
	return fmt.Sprintf("%.1f (%.1f to %.1f)", sum/float64(len(measures)), lowest, highest)
}
