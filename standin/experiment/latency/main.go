// Command latency sends the same load directly to an engine stand-in and through an entry
// instance, and prints a table that compares the latencies. Load, engine and entry instance run
// in separate processes.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"amaranthmill/standin/load"
	"amaranthmill/standin/trial"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Concurrency []int         `long:"concurrency" default:"10" default:"50" default:"200" description:"streams at once; may be repeated"`
	Duration    time.Duration `long:"duration" default:"10s" description:"of each run"`
	Tokens      int           `long:"tokens" default:"50" description:"of each answer"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	if err := measure(o); err != nil {
		fmt.Fprintln(os.Stderr, "latency:", err)
		os.Exit(1)
	}
}

func measure(o options) error {
	dir, err := os.MkdirTemp("", "amaranthmill-latency-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "amaranthmill/cmd/amaranthmill", "amaranthmill/cmd/millctl", "amaranthmill/standin/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return err
	}
	rows, err := trial.MeasureLatency(trial.LatencyConfig{Bin: dir, Dir: dir, Concurrency: o.Concurrency, Duration: o.Duration, Tokens: o.Tokens})
	if err != nil {
		return err
	}
	fmt.Println("| streams | path | answered | other | first byte p50 | p95 | p99 | between tokens p50 | p95 | p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		printRow(r.Concurrency, "straight", r.Direct)
		printRow(r.Concurrency, "through", r.ViaEntry)
	}
	return nil
}

// printRow prints the row of a load of n concurrent streams.
func printRow(n int, path string, r *load.Report) {
	fmt.Printf("| %d | %s | %d | %d | %s | %s | %s | %s | %s | %s |\n", n, path, r.Answered, r.Sent-r.Answered,
		r.FirstByte.P50, r.FirstByte.P95, r.FirstByte.P99, r.BetweenEach.P50, r.BetweenEach.P95, r.BetweenEach.P99)
}
