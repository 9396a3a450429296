// Command limits measures policies that divide a client account's limit over several
// instances: requests admitted beyond the limit, requests refused that a single instance would have
// admitted, and messages.
// Its output is the same on every run with the same flags.
package main

import (
	"flag"
	"fmt"
	"time"

	"amaranthmill/limitsharer"
)

// policy is one way to divide a limit. A nil settings divides it equally for good.
type policy struct {
	name       string
	settings   *limitsharer.Config
	undivided  bool // every instance admits the whole limit
	removeLost bool // instances out of reach lose their shares
}

// never is longer than any run.
const never = 1000 * time.Hour

// periodic announces every demand at each period, whatever it is.
func periodic(every time.Duration) *limitsharer.Config {
	return &limitsharer.Config{MaxDivergence: never, RefreshInterval: every}
}

// bounded announces a demand when it diverges by the bound.
func bounded(by time.Duration) *limitsharer.Config {
	return &limitsharer.Config{MaxDivergence: by}
}

var policies = []policy{
	{name: "undivided (control)", undivided: true},
	{name: "equal shares"},
	{name: "periodic, 1 s", settings: periodic(time.Second)},
	{name: "periodic, 2 s", settings: periodic(2 * time.Second)},
	{name: "periodic, 5 s", settings: periodic(5 * time.Second)},
	{name: "bounded divergence, 1 s (adopted)", settings: bounded(time.Second)},
	{name: "bounded divergence, 2 s", settings: bounded(2 * time.Second)},
	{name: "the adopted one, lost instances removed", settings: bounded(time.Second), removeLost: true},
}

func main() {
	seeds := flag.Int("seeds", 5, "runs of each line, with the seeds 1 to this number")
	flag.Parse()
	fmt.Println("| case | instances | policy | over-admitted, % of admitted | falsely refused, % of asked | messages a second an instance |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, sc := range scenarios {
		for _, n := range []int{4, 37} {
			for _, p := range policies {
				report(sc, n, p, *seeds)
			}
		}
	}
}

// report prints the mean and the spread of one line over the seeds.
func report(sc scenario, n int, p policy, seeds int) {
	var over, refused, messages spread
	for seed := 1; seed <= seeds; seed++ {
		t := run(sc, n, p, uint64(seed))
		over.add(100 * float64(t.overAdmitted) / float64(t.admitted))
		refused.add(100 * float64(t.possible-t.admitted+t.overAdmitted) / float64(t.asked))
		messages.add(float64(t.messages) / float64(n) / length.Seconds())
	}
	fmt.Printf("| %s | %d | %s | %s | %s | %s |\n", sc.name, n, p.name, over, refused, messages)
}

// spread is the mean of some figures with the least and the greatest.
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
