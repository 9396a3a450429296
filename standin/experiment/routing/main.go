// Routing measures how targets are chosen: the project's router against plain policies,
// in front of plain queues, on the request mixes in traces, with load reports that lag.
package main

import (
	"embed"
	"encoding/json"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"amaranthmill/router"
)

//go:embed traces/*.json
var traces embed.FS

// trace is one mix of requests and the groups and instances that carry it.
type trace struct {
	Name              string   `json:"name"`
	Groups            int      `json:"groups"`
	Instances         int      `json:"instances"`
	Slots             int      `json:"slots"`        // of a group
	PrefillRate       float64  `json:"prefillRate"`  // tokens a second of a group
	CachedBlocks      int      `json:"cachedBlocks"` // of a group
	RequestsPerSecond float64  `json:"requestsPerSecond"`
	Prompts           []prompt `json:"prompts"`
}

// prompt is one kind of prompt: a shared prefix out of several, and a tail of its own.
type prompt struct {
	Share        float64 `json:"share"`
	PrefixBlocks int     `json:"prefixBlocks"`
	Prefixes     int     `json:"prefixes"`
	TailBlocks   int     `json:"tailBlocks"`
	AnswerTokens int     `json:"answerTokens"`
}

// variant is one policy as a row of the table.
type variant struct {
	name string
	make func(t trace, seed uint64) policy
}

func variants(sweep bool) []variant {
	rows := []variant{
		{"random", newRandom},
		{"round robin", newRoundRobin},
		{"least in flight", newLeastInFlight},
		{"two random choices", newTwoChoices},
	}
	if !sweep {
		return append(rows, core("the router", router.Config{}), core("the router, no prefixes", router.Config{AffinityWeight: -1}))
	}
	for _, choices := range []int{4, 64} {
		for _, weight := range []float64{0.25, 0.5} {
			for _, free := range []float64{0.85, 0.95} {
				for _, half := range []time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second} {
					name := fmt.Sprintf("choices=%d weight=%g free=%g half=%v", choices, weight, free, half)
					rows = append(rows, core(name, router.Config{Candidates: choices, AffinityWeight: weight, LoadBoundRatio: 1.1, MinLoadBound: free, ReportHalfLife: half}))
				}
			}
		}
	}
	return rows
}

func main() {
	seeds := flag.Int("seeds", 5, "runs with the seeds 1 to this number")
	sweep := flag.Bool("sweep", false, "compare settings of the router as well")
	only := flag.String("trace", "", "run only this trace")
	flag.Parse()
	for _, t := range loadTraces(*only) {
		fmt.Printf("### %s: %d groups, %d instances, %g requests a second, seeds 1 to %d\n\n", t.Name, t.Groups, t.Instances, t.RequestsPerSecond, *seeds)
		fmt.Println("| policy | lag of reports | first token p50 | first token p95 | prompt found in cache | imbalance |")
		fmt.Println("|---|---|---|---|---|---|")
		for _, lag := range []time.Duration{0, time.Second, 5 * time.Second} {
			for _, v := range variants(*sweep) {
				var results []result
				for seed := range uint64(*seeds) {
					results = append(results, run(t, lag, v.make(t, seed+1), seed+1))
				}
				fmt.Printf("| %s | %v | %s |\n", v.name, lag, strings.Join(columns(results), " | "))
			}
		}
		fmt.Println()
	}
}

func loadTraces(only string) []trace {
	names, err := fs.Glob(traces, "traces/*.json")
	fail(err)
	var out []trace
	for _, name := range names {
		text, err := traces.ReadFile(name)
		fail(err)
		var t trace
		fail(json.Unmarshal(text, &t))
		if only == "" || t.Name == only {
			out = append(out, t)
		}
	}
	return out
}

func fail(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "routing:", err)
		os.Exit(1)
	}
}
