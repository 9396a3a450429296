// Command overload compares admission by package limiter with plain queues. It runs a load from
// half the capacity to four times the capacity, and a load with an outage, with callers that send
// once and with callers that retry.
package main

import (
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"amaranthmill/internal/formatter"
	"amaranthmill/limiter"
)

//go:embed traces/load.json
var loadTrace []byte

// trace is the load and the capacity that serves it.
type trace struct {
	Slots    int                `json:"slots"`
	MeanHold formatter.Duration `json:"meanHold"`
	Deadline formatter.Duration `json:"deadline"`
	Accounts []account          `json:"accounts"`
	Factors  []float64          `json:"factors"` // offered load relative to the capacity
	Length   formatter.Duration `json:"length"`
	Outage   outage             `json:"outage"`
}

type account struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	Share    float64 `json:"share"` // fraction of the offered requests
}

// outage is an interval in which no running request makes progress.
type outage struct {
	Factor float64            `json:"factor"`
	From   formatter.Duration `json:"from"`
	To     formatter.Duration `json:"to"`
	Length formatter.Duration `json:"length"`
}

// variant is an admission policy and the name of its row in the table.
type variant struct {
	name        string
	maxAttempts int // attempts that a caller makes for one request
	make        func(sim *simulation) admitter
}

var variants = []variant{
	{"plain queue", 1, newFIFOQueue},
	{"plain queue, callers try thrice", 3, newFIFOQueue},
	{"the limiter", 1, newLimiterAdmitter(limiter.Config{})},
	{"the limiter, callers try thrice", 3, newLimiterAdmitter(limiter.Config{})},
	{"the limiter without turns for lower priorities, callers try thrice", 3, newLimiterAdmitter(limiter.Config{LowPriorityInterval: 1 << 30})},
}

func main() {
	seeds := flag.Int("seeds", 5, "runs with the seeds 1 to this number")
	flag.Parse()
	var t trace
	if err := json.Unmarshal(loadTrace, &t); err != nil {
		fmt.Fprintln(os.Stderr, "overload:", err)
		os.Exit(1)
	}
	fmt.Printf("Seeds 1 to %d, %d slots, %v a request, deadline %v. Each cell is the mean over the seeds with its least and greatest value.\n", *seeds, t.Slots, t.MeanHold, t.Deadline)
	fmt.Print("\n### Load in parts of capacity\n\n")
	fmt.Println("| load | admission | goodput | priority 5 on time | priority 3 | priority 2 | priority 1 | priority 0 | worst account answered | refused within (p95) |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, factor := range t.Factors {
		for _, v := range variants {
			row := formatRow(*seeds, func(seed uint64) []float64 { return run(t, factor, outage{}, t.Length.Std(), v, seed).loadMeasures() })
			fmt.Printf("| %g | %s | %s |\n", factor, v.name, strings.Join(row, " | "))
		}
	}
	fmt.Printf("\n### A stop of %v at %g of capacity\n\n", t.Outage.To.Std()-t.Outage.From.Std(), t.Outage.Factor)
	fmt.Println("| admission | seconds until 95 in 100 of priority 5 are on time again | of all | tries a request during the stop |")
	fmt.Println("|---|---|---|---|")
	for _, v := range variants {
		row := formatRow(*seeds, func(seed uint64) []float64 {
			return run(t, t.Outage.Factor, t.Outage, t.Outage.Length.Std(), v, seed).recoveryMeasures(t.Outage)
		})
		fmt.Printf("| %s | %s |\n", v.name, strings.Join(row, " | "))
	}
}

// formatRow formats each measure as its mean over the seeds with the lowest and the highest value.
func formatRow(seeds int, measure func(seed uint64) []float64) []string {
	var columns [][]float64
	for seed := range uint64(seeds) {
		for i, value := range measure(seed + 1) {
			if i == len(columns) {
				columns = append(columns, nil)
			}
			columns[i] = append(columns[i], value)
		}
	}
	var out []string
	for _, values := range columns {
		sum := 0.0
		for _, v := range values {
			sum += v
		}
		out = append(out, fmt.Sprintf("%.1f (%.1f to %.1f)", sum/float64(len(values)), slices.Min(values), slices.Max(values)))
	}
	return out
}

// elapsed returns the time from the start of a run to at.
func elapsed(at time.Time) time.Duration { return at.Sub(time.Unix(0, 0)) }
