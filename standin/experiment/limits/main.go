// Command limits measures policies that divide a client account's limit over several instances.
// For each policy it prints the requests that were admitted beyond the limit, the requests that
// were refused although a single instance would have admitted them, and the messages sent.
// Its output is the same on every run with the same flags.
package main

import (
	"flag"
	"fmt"
	"time"

	"amaranthmill/limitsharer"
)

// policy is one way to divide a limit. If settings is nil, the shares are equal and never change.
type policy struct {
	name              string
	settings          *limitsharer.Config
	undivided         bool // every instance admits the whole limit
	removeUnreachable bool // an unreachable instance loses its share
}

// never is a MaxDivergence that no demand reaches, because it is longer than any run.
const never = 1000 * time.Hour

// periodic returns settings that announce every demand once per interval, whether or not it has
// changed.
func periodic(interval time.Duration) *limitsharer.Config {
	return &limitsharer.Config{MaxDivergence: never, RefreshInterval: interval}
}

// bounded returns settings that announce a demand when it diverges by maxDivergence.
func bounded(maxDivergence time.Duration) *limitsharer.Config {
	return &limitsharer.Config{MaxDivergence: maxDivergence}
}

var policies = []policy{
	{name: "undivided (control)", undivided: true},
	{name: "equal shares"},
	{name: "periodic, 1 s", settings: periodic(time.Second)},
	{name: "periodic, 2 s", settings: periodic(2 * time.Second)},
	{name: "periodic, 5 s", settings: periodic(5 * time.Second)},
	{name: "bounded divergence, 1 s (adopted)", settings: bounded(time.Second)},
	{name: "bounded divergence, 2 s", settings: bounded(2 * time.Second)},
	{name: "the adopted one, lost instances removed", settings: bounded(time.Second), removeUnreachable: true},
}

func main() {
	seeds := flag.Int("seeds", 5, "runs of each line, with the seeds 1 to this number")
	flag.Parse()
	fmt.Println("| case | instances | policy | over-admitted, % of admitted | falsely refused, % of asked | messages a second an instance |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, sc := range scenarios {
		for _, n := range []int{4, 37} {
			for _, p := range policies {
				printRow(sc, n, p, *seeds)
			}
		}
	}
}

// printRow prints one row: the mean and the range of each measure over the seeds.
func printRow(sc scenario, n int, p policy, seeds int) {
	var overAdmitted, falselyRefused, messages spread
	for seed := 1; seed <= seeds; seed++ {
		t := run(sc, n, p, uint64(seed))
		overAdmitted.add(100 * float64(t.overAdmitted) / float64(t.admitted))
		falselyRefused.add(100 * float64(t.singleAdmitted-t.admitted+t.overAdmitted) / float64(t.requests))
		messages.add(float64(t.messages) / float64(n) / runLength.Seconds())
	}
	fmt.Printf("| %s | %d | %s | %s | %s | %s |\n", sc.name, n, p.name, overAdmitted, falselyRefused, messages)
}

// spread collects values and formats their mean with the lowest and the highest value.
type spread struct {
	sum, least, greatest float64
	count                int
}

func (s *spread) add(v float64) {
	if s.count == 0 {
		s.least, s.greatest = v, v
	}
	s.sum += v
	s.least = min(s.least, v)
	s.greatest = max(s.greatest, v)
	s.count++
}

func (s spread) String() string {
	return fmt.Sprintf("%.2f (%.2f to %.2f)", s.sum/float64(s.count), s.least, s.greatest)
}
