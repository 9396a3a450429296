package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// day is the time that a trace covers.
const day = 24 * time.Hour

// fault is one line of a trace. The target is the name of an engine or a fabric domain, or
// "platform".
type fault struct {
	start    time.Duration // from the start of the day
	kind     string        // pause, restart, replace, slow, dark, power or outage
	target   string
	duration time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s %s %s %s", f.start, f.kind, f.target, f.duration)
}

func tracePath(user string, seed uint64) string {
	return filepath.Join("experiment", "repair", "traces", fmt.Sprintf("%s-%d.txt", user, seed))
}

// readTrace reads the faults of a user's day, ordered by start.
func readTrace(user string, seed uint64) ([]fault, error) {
	file, err := os.Open(tracePath(user, seed))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var out []fault
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f, err := parseFault(lines.Text())
		if err != nil {
			return nil, err
		}
		out = append(out, f)
	}
	return out, nil
}

func parseFault(line string) (fault, error) {
	words := strings.Fields(line)
	if len(words) != 4 {
		return fault{}, fmt.Errorf("repair: trace line must have the fields \"start kind target duration\", got %q", line)
	}
	start, err := time.ParseDuration(words[0])
	if err != nil {
		return fault{}, err
	}
	duration, err := time.ParseDuration(words[3])
	return fault{start: start, kind: words[1], target: words[2], duration: duration}, err
}

// writeTrace generates a user's day of faults from a seed and writes it to its file.
func writeTrace(u user, seed uint64) error {
	faults := generateFaults(u, rand.New(rand.NewPCG(seed, 0)))
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return os.WriteFile(tracePath(u.name, seed), []byte(b.String()), 0o644)
}

// generateFaults draws a day with many faults: engines pause, restart, are replaced for hours, flap
// and straggle; one fabric domain is unreachable or loses power, which also ends the
// processes of its engines; and during a platform outage more engines restart or are replaced.
func generateFaults(u user, r *rand.Rand) []fault {
	engines := u.engineNames()
	var out []fault
	add := func(n int, kind string, low, high time.Duration) {
		for range n {
			out = append(out, fault{start: drawDuration(r, warmUp, day), kind: kind, target: engines[r.IntN(len(engines))], duration: drawDuration(r, low, high)})
		}
	}
	add(40, "pause", 3*time.Second, 40*time.Second)
	add(12, "restart", 30*time.Second, 4*time.Minute)
	add(6, "replace", time.Hour, 5*time.Hour)
	add(3, "slow", 20*time.Minute, time.Hour)
	for range 2 {
		out = append(out, generateFlaps(r, engines[r.IntN(len(engines))])...)
	}
	outage := fault{start: drawDuration(r, warmUp, day-time.Hour), kind: "outage", target: "platform", duration: 30 * time.Minute}
	out = append(out, outage)
	for i := range 4 {
		kind, duration := "restart", 2*time.Minute
		if i%2 == 1 {
			kind, duration = "replace", 2*time.Hour
		}
		out = append(out, fault{start: outage.start + drawDuration(r, 0, 25*time.Minute), kind: kind, target: engines[r.IntN(len(engines))], duration: duration})
	}
	fabricDomains := u.fabricDomainNames()
	domainKind := []string{"dark", "power"}[r.IntN(2)]
	out = append(out, fault{start: drawDuration(r, warmUp, day-time.Hour), kind: domainKind, target: fabricDomains[r.IntN(len(fabricDomains))], duration: drawDuration(r, 15*time.Minute, 40*time.Minute)})
	slices.SortStableFunc(out, func(a, b fault) int { return int(a.start - b.start) })
	return out
}

// generateFlaps draws 8 pauses or restarts of one engine, 3 to 12 minutes apart.
func generateFlaps(r *rand.Rand, engine string) []fault {
	var out []fault
	start := drawDuration(r, warmUp, day-2*time.Hour)
	for range 8 {
		kind := []string{"pause", "restart"}[r.IntN(2)]
		out = append(out, fault{start: start, kind: kind, target: engine, duration: drawDuration(r, 5*time.Second, time.Minute)})
		start += drawDuration(r, 3*time.Minute, 12*time.Minute)
	}
	return out
}

// drawDuration draws a duration in whole seconds.
func drawDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(r.Int64N(int64(high-low)))).Truncate(time.Second)
}
