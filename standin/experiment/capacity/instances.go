package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// enginesPerInstance is that of letter 1, rounded to whole groups: 120 engines before 37 nodes.
const enginesPerInstance = 3.25

// instanceRow is what one entry instance takes in a failure domain of its size, without
// requests.
type instanceRow struct {
	instances, engines int
	links              float64 // bytes a second with headers
	probes             float64 // the same
	calls              float64 // the same, with the platform
	processor          float64 // share of a core
	memory             float64 // resident bytes
	perKind            map[string]float64
}

// measureInstances runs whole entry instances as processes at several sizes.
func measureInstances(o options, dir string) error {
	build := exec.Command("go", "build", "-o", filepath.Join(dir, "amaranthmill"), "amaranthmill/cmd/amaranthmill")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return err
	}
	fmt.Println("\n## Entry instances of one failure domain as processes, each, without requests")
	fmt.Println("| instances | engines | groups ready where fewest | links bytes/s | probes bytes/s | platform bytes/s | % of a core | resident MiB | platform calls/s of all, by kind |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, n := range o.Instances {
		if err := measureInstance(o, dir, n); err != nil {
			return err
		}
	}
	return nil
}

func measureInstance(o options, dir string, n int) error {
	engines := int(float64(n)*enginesPerInstance) / groupSize * groupSize
	f, err := startFleet(dir, n, engines)
	defer f.stop()
	if err != nil {
		return err
	}
	if err := f.runEntries(filepath.Join(dir, "amaranthmill")); err != nil {
		return err
	}
	if err := f.waitForGroups(engines / groupSize); err != nil {
		return err
	}
	time.Sleep(o.Warm)
	before, err := f.count()
	if err != nil {
		return err
	}
	time.Sleep(o.Duration)
	after, err := f.count()
	if err != nil {
		return err
	}
	row := after.minus(before)
	serving, err := f.leastServing()
	if err != nil {
		return err
	}
	fmt.Printf("| %d | %d | %.0f | %.0f | %.0f | %.0f | %.2f | %.0f | %s |\n", n, engines, serving,
		row.links, row.probes, row.calls, 100*row.processor, after.memory/float64(n)/(1<<20), kinds(row.perKind))
	return nil
}

// waitForGroups waits until the first instance has seen all groups serve, or for a while.
func (f *fleet) waitForGroups(groups int) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(time.Second) {
		ready, err := f.entries[0].metric("mill_targets_ready", "")
		if err != nil || int(ready) == groups {
			return err
		}
	}
	return nil
}

// leastServing returns the groups ready at the instance that sees the fewest.
func (f *fleet) leastServing() (float64, error) {
	least := float64(len(f.entries)) * enginesPerInstance
	for _, e := range f.entries {
		ready, err := e.metric("mill_targets_ready", "")
		if err != nil {
			return 0, err
		}
		least = min(least, ready)
	}
	return least, nil
}

func kinds(m map[string]float64) string {
	var out []string
	for _, k := range []string{"read", "write", "watch", "lease", "list"} {
		out = append(out, fmt.Sprintf("%s %.1f", k, m[k]))
	}
	return strings.Join(out, ", ")
}

// counts are sums over all instances at one time.
type counts struct {
	at                   time.Time
	instances            float64
	links, probes, calls float64 // bytes with headers
	processor, memory    float64 // seconds and bytes
	perKind              map[string]float64
}

func (f *fleet) count() (counts, error) {
	c := counts{at: time.Now(), instances: float64(len(f.entries)), probes: float64(f.probes.wire()), calls: float64(f.calls.wire())}
	for _, e := range f.entries {
		sent, err := e.metric("linker_sent_bytes", "")
		if err != nil {
			return c, err
		}
		received, err := e.metric("linker_received_bytes", "")
		if err != nil {
			return c, err
		}
		writes, err := e.metric("linker_sent_writes", "")
		if err != nil {
			return c, err
		}
		c.links += sent + received + 4*headers*writes
		processor, memory, err := e.usage()
		if err != nil {
			return c, err
		}
		c.processor += processor.Seconds()
		c.memory += memory
	}
	res, err := http.Get(f.platform + "/calls")
	if err != nil {
		return c, err
	}
	defer res.Body.Close()
	return c, json.NewDecoder(res.Body).Decode(&c.perKind)
}

// minus returns the rates of one instance, and those of the platform's calls of all.
func (c counts) minus(b counts) instanceRow {
	seconds := c.at.Sub(b.at).Seconds()
	per := seconds * c.instances
	row := instanceRow{
		links:     (c.links - b.links) / per,
		probes:    (c.probes - b.probes) / per,
		calls:     (c.calls - b.calls) / per,
		processor: (c.processor - b.processor) / per,
		perKind:   map[string]float64{},
	}
	for k, v := range c.perKind {
		row.perKind[k] = (v - b.perKind[k]) / seconds
	}
	return row
}

// usage returns the processor time and the resident memory of an instance's process.
func (e *entry) usage() (processor time.Duration, memory float64, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(e.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	var ticks int64
	for _, field := range fields[11:13] { // user and system time
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(ticks) * clockTick, float64(pages) * float64(os.Getpagesize()), err
}
