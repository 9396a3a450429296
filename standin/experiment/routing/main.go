// Command routing compares the choice of targets by package router with that of plain policies.
// Simulated replica groups with plain queues serve the request mixes in traces/, and load reports
// reach the policies with a lag.
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

// trace is a mix of requests, with the instances that route it and the groups that serve it.
type trace struct {
	Name              string   `json:"name"`
	Groups            int      `json:"groups"`
	Instances         int      `json:"instances"`
	Slots             int      `json:"slots"`        // of a group
	PrefillRate       float64  `json:"prefillRate"`  // prompt tokens per second of a group
	CachedBlocks      int      `json:"cachedBlocks"` // of a group
	RequestsPerSecond float64  `json:"requestsPerSecond"`
	Prompts           []prompt `json:"prompts"`
}

// prompt is one kind of prompt. Each prompt has a prefix that is drawn from a number of shared
// prefixes, and a unique tail.
type prompt struct {
	Share        float64 `json:"share"`
	PrefixBlocks int     `json:"prefixBlocks"`
	Prefixes     int     `json:"prefixes"`
	TailBlocks   int     `json:"tailBlocks"`
	AnswerTokens int     `json:"answerTokens"`
}

// variant is a policy and the name of its row in the table.
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
		return append(rows, routerVariant("the router", router.Config{}), routerVariant("the router, no prefixes", router.Config{AffinityWeight: -1}))
	}
	for _, choices := range []int{4, 64} {
		for _, weight := range []float64{0.25, 0.5} {
			for _, minLoad := range []float64{0.85, 0.95} {
				for _, halfLife := range []time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second} {
					name := fmt.Sprintf("choices=%d weight=%g free=%g half=%v", choices, weight, minLoad, halfLife)
					rows = append(rows, routerVariant(name, router.Config{Candidates: choices, AffinityWeight: weight, LoadBoundRatio: 1.1, MinLoadBound: minLoad, ReportHalfLife: halfLife}))
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
				fmt.Printf("| %s | %v | %s |\n", v.name, lag, strings.Join(formatColumns(results), " | "))
			}
		}
		fmt.Println()
	}
}

func loadTraces(only string) []trace {
	names, err := fs.Glob(traces, "traces/*.json")
	exitOnError(err)
	var out []trace
	for _, name := range names {
		text, err := traces.ReadFile(name)
		exitOnError(err)
		var t trace
		exitOnError(json.Unmarshal(text, &t))
		if only == "" || t.Name == only {
			out = append(out, t)
		}
	}
	return out
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "routing:", err)
		os.Exit(1)
	}
}
