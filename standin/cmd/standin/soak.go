package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"amaranthmill/standin/soak"
)

type soakCommand struct {
	First       uint64        `long:"first" default:"1" description:"the first seed"`
	Seeds       uint64        `long:"seeds" default:"10" description:"how many seeds"`
	Jobs        int           `long:"jobs" default:"2" description:"seeds at once"`
	Instances   int           `long:"instances" default:"3" description:"instances of each run"`
	Engines     int           `long:"engines" default:"6" description:"engines of each of two domains"`
	Callers     int           `long:"callers" default:"12" description:"callers of each run"`
	Crashing    bool          `long:"crashing" description:"send copies of a request that crashes the engines that run it"`
	Silences    bool          `long:"silences" description:"make engines silent for a while"`
	Part        bool          `long:"crashing-part" description:"send requests that share one part of their prompts, which crashes the engines that answer them; --crashing is then ignored"`
	Limits      bool          `long:"limits" description:"make engines name in their answers the requests per second that they take"`
	Cuts        bool          `long:"cuts" description:"cut the paths between instances and all engines for a time"`
	Leaving     bool          `long:"leaving" description:"make engines say in their answers that they leave, or that they want no requests for a time"`
	Evacuations bool          `long:"evacuations" description:"evacuate failure domains for a time"`
	Length      time.Duration `long:"length" default:"8s" description:"how long faults come"`
	Logs        string        `long:"logs" description:"a folder in which the logs of runs that failed are kept"`
	Verbose     bool          `long:"verbose" description:"print the faults of each run"`
	Restores    bool          `long:"restores" description:"restore the store from copies that are some seconds old"`
	Drills      bool          `long:"drills" description:"in place of the other faults, restore the store in series while versions of the configuration follow one another, and judge each version at each instance"`
	Cold        bool          `long:"cold" description:"make engines cold after their start and at other times, when they take few requests per second"`
	Large       bool          `long:"large-configuration" description:"let the configuration grow to 1,640 routes and change ten times per second, beside the faults and after the last one"`
}

// Execute runs the seeds with the program amaranthmill in the folder of this one. It keeps the logs
// only if a seed fails.
func (c *soakCommand) Execute([]string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	base, err := os.MkdirTemp(c.Logs, "soak")
	if err != nil {
		return err
	}
	seeds := make(chan uint64)
	var mu sync.Mutex
	var failed []string
	var wg sync.WaitGroup
	for range c.Jobs {
		wg.Go(func() {
			for seed := range seeds {
				passed := c.runSeed(filepath.Join(filepath.Dir(self), "amaranthmill"), base, seed, &mu)
				mu.Lock()
				if !passed {
					failed = append(failed, fmt.Sprint(seed))
				}
				mu.Unlock()
			}
		})
	}
	for n := range c.Seeds {
		seeds <- c.First + n
	}
	close(seeds)
	wg.Wait()
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d seeds failed: %s; their logs are in %s", len(failed), c.Seeds, strings.Join(failed, " "), base)
	}
	fmt.Printf("%d seeds, no broken promise\n", c.Seeds)
	return os.RemoveAll(base)
}

// runSeed runs one seed, prints the results and reports whether all guarantees were kept.
func (c *soakCommand) runSeed(binary, base string, seed uint64, mu *sync.Mutex) bool {
	dir := filepath.Join(base, fmt.Sprint(seed))
	if err := os.Mkdir(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := soak.Run(soak.Config{
		Binary: binary, Dir: dir, Seed: seed, Instances: c.Instances, Engines: c.Engines, Callers: c.Callers, Crashing: c.Crashing, CrashingPart: c.Part, Silences: c.Silences, Leaving: c.Leaving, Limits: c.Limits, Cold: c.Cold, Restores: c.Restores, Drills: c.Drills, Cuts: c.Cuts, Evacuations: c.Evacuations, Large: c.Large, Length: c.Length,
	})
	mu.Lock()
	defer mu.Unlock()
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d answered whole, %d refused, %d runs that crash their engine, %d requests by which a version was judged, %d promises broken\n",
		seed, len(report.Steps), report.Sent, report.Answered, report.NotRun, report.Crashes, report.Judged, len(report.Violations))
	if c.Verbose || len(report.Violations) > 0 {
		for _, s := range report.Steps {
			fmt.Printf("  %s\n", s)
		}
	}
	for _, b := range report.Violations {
		fmt.Printf("  broken: %s\n", b)
	}
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(dir) // a folder that cannot be removed stays below the temporary folder base
	}
	return len(report.Violations) == 0
}
