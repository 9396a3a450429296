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

// day is how long a trace lasts.
const day = 24 * time.Hour

// fault is one line of a trace. Target is an engine's or fabric domain's name, or "platform".
type fault struct {
	at     time.Duration
	kind   string // pause, restart, replace, slow, dark, power or outage
	target string
	lasts  time.Duration
}

func (f fault) String() string { return fmt.Sprintf("%s %s %s %s", f.at, f.kind, f.target, f.lasts) }

func tracePath(user string, seed uint64) string {
	return filepath.Join("experiment", "repair", "traces", fmt.Sprintf("%s-%d.txt", user, seed))
}

// readTrace reads the faults of a user's day in order of time.
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
		return fault{}, fmt.Errorf("repair: want \"at kind target lasts\", got %q", line)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return fault{}, err
	}
	lasts, err := time.ParseDuration(words[3])
	return fault{at: at, kind: words[1], target: words[2], lasts: lasts}, err
}

// writeTrace generates a user's day of faults for a seed.
func writeTrace(u user, seed uint64) error {
	faults := generate(u, rand.New(rand.NewPCG(seed, 0)))
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return os.WriteFile(tracePath(u.name, seed), []byte(b.String()), 0o644)
}

// generate draws a bad day: engines that pause, restart, die for hours, flap and straggle, a
// fabric domain that goes dark with or without its processes, and a platform outage in which
// members are lost too.
func generate(u user, r *rand.Rand) []fault {
	engines := u.engineNames()
	var out []fault
	add := func(n int, kind string, low, high time.Duration) {
		for range n {
			out = append(out, fault{at: between(r, warmUp, day), kind: kind, target: engines[r.IntN(len(engines))], lasts: between(r, low, high)})
		}
	}
	add(40, "pause", 3*time.Second, 40*time.Second)
	add(12, "restart", 30*time.Second, 4*time.Minute)
	add(6, "replace", time.Hour, 5*time.Hour)
	add(3, "slow", 20*time.Minute, time.Hour)
	for range 2 {
		out = append(out, flaps(r, engines[r.IntN(len(engines))])...)
	}
	outage := fault{at: between(r, warmUp, day-time.Hour), kind: "outage", target: "platform", lasts: 30 * time.Minute}
	out = append(out, outage)
	for i := range 4 {
		kind, lasts := "restart", 2*time.Minute
		if i%2 == 1 {
			kind, lasts = "replace", 2*time.Hour
		}
		out = append(out, fault{at: outage.at + between(r, 0, 25*time.Minute), kind: kind, target: engines[r.IntN(len(engines))], lasts: lasts})
	}
	fabrics := u.fabricNames()
	dark := []string{"dark", "power"}[r.IntN(2)]
	out = append(out, fault{at: between(r, warmUp, day-time.Hour), kind: dark, target: fabrics[r.IntN(len(fabrics))], lasts: between(r, 15*time.Minute, 40*time.Minute)})
	slices.SortStableFunc(out, func(a, b fault) int { return int(a.at - b.at) })
	return out
}

// flaps makes one engine pause and restart over and over within an hour or two.
func flaps(r *rand.Rand, engine string) []fault {
	var out []fault
	at := between(r, warmUp, day-2*time.Hour)
	for range 8 {
		kind := []string{"pause", "restart"}[r.IntN(2)]
		out = append(out, fault{at: at, kind: kind, target: engine, lasts: between(r, 5*time.Second, time.Minute)})
		at += between(r, 3*time.Minute, 12*time.Minute)
	}
	return out
}

// between draws a time of whole seconds.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(r.Int64N(int64(high-low)))).Truncate(time.Second)
}
