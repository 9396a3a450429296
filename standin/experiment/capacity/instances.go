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

// enginesPerInstance is the ratio that the users require, 120 engines for 37 instances, rounded
// so that the engines form complete groups.
const enginesPerInstance = 3.25

// instanceRow holds the resources that one entry instance of a failure domain uses without
// requests from callers.
type instanceRow struct {
	instances, engines int
	linkBytes          float64            // sent and received between instances, bytes per second with headers
	probeBytes         float64            // the same, between engines and instances
	platformBytes      float64            // the same, between the platform and its clients
	processor          float64            // used share of one core
	memory             float64            // resident bytes
	platformCalls      map[string]float64 // calls per second of all instances, by kind
}

// measureInstances builds the program and measures entry instances as separate processes, for
// each number of instances in o.
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
	if err := f.launchEntries(filepath.Join(dir, "amaranthmill")); err != nil {
		return err
	}
	if err := f.waitForGroups(engines / groupSize); err != nil {
		return err
	}
	time.Sleep(o.WarmUp)
	before, err := f.collectCounts()
	if err != nil {
		return err
	}
	time.Sleep(o.Duration)
	after, err := f.collectCounts()
	if err != nil {
		return err
	}
	row := after.ratesSince(before)
	ready, err := f.minReadyGroups()
	if err != nil {
		return err
	}
	fmt.Printf("| %d | %d | %.0f | %.0f | %.0f | %.0f | %.2f | %.0f | %s |\n", n, engines, ready,
		row.linkBytes, row.probeBytes, row.platformBytes, 100*row.processor, after.memory/float64(n)/(1<<20), formatCalls(row.platformCalls))
	return nil
}

// waitForGroups waits until the first instance reports all groups as ready. After readyTimeout it
// gives up without an error; measureInstance prints how many groups are ready.
func (f *fleet) waitForGroups(groups int) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(time.Second) {
		ready, err := f.entries[0].sumMetric("mill_targets_ready", "")
		if err != nil || int(ready) == groups {
			return err
		}
	}
	return nil
}

// minReadyGroups returns the lowest number of ready groups that any instance reports.
func (f *fleet) minReadyGroups() (float64, error) {
	least := float64(len(f.entries)) * enginesPerInstance
	for _, e := range f.entries {
		ready, err := e.sumMetric("mill_targets_ready", "")
		if err != nil {
			return 0, err
		}
		least = min(least, ready)
	}
	return least, nil
}

func formatCalls(m map[string]float64) string {
	var out []string
	for _, k := range []string{"read", "write", "watch", "lease", "list"} {
		out = append(out, fmt.Sprintf("%s %.1f", k, m[k]))
	}
	return strings.Join(out, ", ")
}

// counts holds sums over all instances at countedAt.
type counts struct {
	countedAt                            time.Time
	instances                            float64
	linkBytes, probeBytes, platformBytes float64            // bytes with headers
	processor, memory                    float64            // seconds and bytes
	platformCalls                        map[string]float64 // received by the platform, by kind
}

func (f *fleet) collectCounts() (counts, error) {
	c := counts{countedAt: time.Now(), instances: float64(len(f.entries)), probeBytes: float64(f.engineTraffic.wireBytes()), platformBytes: float64(f.platformTraffic.wireBytes())}
	for _, e := range f.entries {
		sent, err := e.sumMetric("linker_sent_bytes", "")
		if err != nil {
			return c, err
		}
		received, err := e.sumMetric("linker_received_bytes", "")
		if err != nil {
			return c, err
		}
		writes, err := e.sumMetric("linker_sent_writes", "")
		if err != nil {
			return c, err
		}
		c.linkBytes += sent + received + 4*headerBytes*writes
		processor, memory, err := e.readUsage()
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
	return c, json.NewDecoder(res.Body).Decode(&c.platformCalls)
}

// ratesSince returns the mean rates of one instance between b and c. The rates of platformCalls are
// those of all instances together.
func (c counts) ratesSince(b counts) instanceRow {
	seconds := c.countedAt.Sub(b.countedAt).Seconds()
	instanceSeconds := seconds * c.instances
	row := instanceRow{
		linkBytes:     (c.linkBytes - b.linkBytes) / instanceSeconds,
		probeBytes:    (c.probeBytes - b.probeBytes) / instanceSeconds,
		platformBytes: (c.platformBytes - b.platformBytes) / instanceSeconds,
		processor:     (c.processor - b.processor) / instanceSeconds,
		platformCalls: map[string]float64{},
	}
	for k, v := range c.platformCalls {
		row.platformCalls[k] = (v - b.platformCalls[k]) / seconds
	}
	return row
}

// readUsage returns the processor time and the resident memory in bytes of the process of e.
func (e *entry) readUsage() (processor time.Duration, memory float64, err error) {
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
