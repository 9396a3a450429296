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

// variants are the measured policies; the plain ones come first.
var variants = []variant{
	{name: "wait for the member", policy: grouper.Policy{Strategy: grouper.StrategyWait, NoStandby: true, NoPreload: true, MaxConcurrentLoads: noLimit}},
	{name: "rebuild with any spare", policy: grouper.Policy{Strategy: grouper.StrategyRebuild, NoStandby: true, NoPreload: true, MaxConcurrentLoads: noLimit}},
	{name: "weighted", policy: grouper.Policy{}},
	{name: "weighted, no standby", policy: grouper.Policy{NoStandby: true}},
	{name: "weighted, spares not loaded", policy: grouper.Policy{NoPreload: true}},
	{name: "weighted, spares not loaded, no standby", policy: grouper.Policy{NoPreload: true, NoStandby: true}},
	{name: "weighted, loads unordered", policy: grouper.Policy{MaxConcurrentLoads: noLimit}},
	{name: "least possible", bound: true},
}

// curve are the weights between the two measures, downtime first.
var curve = [][2]float64{{1, 0}, {16, 1}, {8, 1}, {4, 1}, {1, 1}, {0, 1}}

// withCurve returns the plain variants and the policy at each weight of the curve.
func withCurve() []variant {
	out := slices.Clone(variants[:2])
	for _, w := range curve {
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
		vs := variants
		if u.batch > 0 {
			vs = withCurve()
		}
		results, err := measureUser(u, vs, opts)
		if err != nil {
			return err
		}
		printTable(u, vs, results)
	}
	return nil
}

// measureUser returns the measures by variant and seed.
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

// printTable writes a user's table: mean and range over the seeds.
func printTable(u user, variants []variant, results [][]measure) {
	fmt.Printf("\n%s: weights downtime %g, stranded %g; %d seeds; mean (least to most)\n\n", u.name,
		u.weights.GroupDowntime, u.weights.StrandedAccelerators, len(results[0]))
	fmt.Println("| policy | group downtime, min | of it of the lower priority | stranded accelerators, min |")
	fmt.Println("|---|---|---|---|")
	for i, v := range variants {
		down := column(results[i], func(m measure) time.Duration { return m.downtime })
		stranded := column(results[i], func(m measure) time.Duration { return m.stranded })
		batch := column(results[i], func(m measure) time.Duration { return m.batch })
		fmt.Printf("| %s | %s | %s | %s |\n", v.name, down, batch, stranded)
	}
}

// column writes the mean and the range of one measure in minutes.
func column(ms []measure, of func(measure) time.Duration) string {
	sum, least, most := 0.0, of(ms[0]).Minutes(), 0.0
	for _, m := range ms {
		x := of(m).Minutes()
		sum += x
		least, most = min(least, x), max(most, x)
	}
	return fmt.Sprintf("%.1f (%.1f to %.1f)", sum/float64(len(ms)), least, most)
}
