package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"amaranthmill/standin/load"
)

// Config configures a trial. Bin and Dir are required.
type Config struct {
	Bin         string // the folder of the programs amaranthmill, millctl and standin
	Dir         string // an empty folder for settings, keys and logs
	Scenario    string // one of Scenarios; "" is "path"
	KeepRunning bool   // leaves everything up until Stop is closed
	Stop        <-chan struct{}
	KeepLogs    bool // leaves the folder of Main after a run that passed
	Concurrency int  // streams at once; 0 is 24
	Out         io.Writer
}

// How long each part may take.
const (
	startLimit  = time.Minute
	repairLimit = time.Minute
	// successionLimit covers the time that instances leave to the holder of the repair lease.
	successionLimit = 2 * time.Minute
	loadDuration    = 6 * time.Second
)

// CheckError says which check of a trial did not hold.
type CheckError struct{ Check string }

// Error returns the check.
func (e *CheckError) Error() string { return "trial: " + e.Check }

// trial is one run.
type trial struct {
	cfg            Config
	fleet          *fleet
	total          load.Report
	disruption     disruption
	failureReasons map[string]int // of requests that were not answered
	answeredCalls  int            // booking calls answered
	startTime      time.Time
}

// Run runs a trial and returns the first check that did not hold, if any.
func Run(cfg Config) error {
	if cfg.Concurrency == 0 {
		cfg.Concurrency = 24
	}
	if cfg.Scenario == "" {
		cfg.Scenario = "path"
	}
	if scenarios[cfg.Scenario] == nil {
		return &CheckError{Check: fmt.Sprintf("no scenario %q; write one of %s", cfg.Scenario, strings.Join(Scenarios(), ", "))}
	}
	f, err := newFleet(cfg.Bin, cfg.Dir)
	if err != nil {
		return err
	}
	if cfg.Scenario == "poison" {
		f.engineArgs = []string{"--crashOnPoison"}
	}
	defer f.processes.KillAll()
	t := &trial{cfg: cfg, fleet: f, startTime: time.Now(), failureReasons: map[string]int{}}
	steps := append([]step{(*trial).startFleet, (*trial).rollOutBundle}, scenarios[cfg.Scenario]...)
	steps = append(steps, (*trial).stopRemaining, (*trial).summarize)
	if cfg.KeepRunning {
		steps = []step{(*trial).startFleet, (*trial).rollOutBundle, (*trial).serveRequests, (*trial).waitForStop}
	}
	for n, step := range steps {
		if err := step(t); err != nil {
			return &StepError{Step: methodName(step), Number: n + 1, Total: len(steps), FleetState: t.describeFleet(), Cause: err}
		}
	}
	return nil
}

func (t *trial) logf(format string, args ...any) {
	fmt.Fprintf(t.cfg.Out, "[%5.1fs] "+format+"\n", append([]any{time.Since(t.startTime).Seconds()}, args...)...)
}

// startFleet starts every process.
func (t *trial) startFleet() error {
	t.logf("starting the platform, %d engines in %d failure domains and a plain service", len(t.fleet.engines), len(failureDomains))
	if err := t.fleet.startEndpoints(); err != nil {
		return err
	}
	if err := t.fleet.makeKeys(); err != nil {
		return err
	}
	t.logf("starting %d entry instances", len(t.fleet.entries))
	if err := t.fleet.startEntries(); err != nil {
		return err
	}
	return waitFor(startLimit, "the entry instances and the list of engines are up", func() bool {
		out, err := t.fleet.millctl("ruth", "--address", t.fleet.entries[0].admin.String(), "--output", "json", "instances")
		return err == nil && strings.Count(string(out), `"kind": "engine"`) == len(t.fleet.engines) &&
			strings.Count(string(out), `"reachable": true`) == len(t.fleet.entries)
	})
}

// rollOutBundle puts the first bundle in force and waits until all groups serve.
func (t *trial) rollOutBundle() error {
	t.logf("abel proposes a bundle, vera signs it off")
	if err := t.acceptAndAwait(1, t.fleet.entries[0], nil); err != nil {
		return err
	}
	t.logf("the bundle is in force on all entry instances; groups load their model")
	if err := waitFor(startLimit, "all groups serve", func() bool { return t.countReadyGroups() == len(failureDomains)*groupsPerDomain }); err != nil {
		return err
	}
	t.logf("%d replica groups serve", t.countReadyGroups())
	return nil
}

// countReadyGroups returns how many groups are ready.
func (t *trial) countReadyGroups() int {
	groups, err := t.fleet.fetchGroups()
	if err != nil {
		return 0
	}
	n := 0
	for _, g := range groups {
		if g.Ready {
			n++
		}
	}
	return n
}

// waitFor asks until the condition holds.
func waitFor(timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return &CheckError{Check: fmt.Sprintf("not within %s: %s", timeout, description)}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// sendLoad sends streamed requests to all entry instances through the balancer's eyes.
func (t *trial) sendLoad(ctx context.Context, requests int, d time.Duration) *load.Report {
	cfg := load.Config{
		Key: t.fleet.keys["observatory"].Key, Model: "mill-guides", Adapter: "patrons", Prompt: "site rules",
		Concurrency: t.cfg.Concurrency, Requests: requests, Duration: d, AnswerTokens: 20, Timeout: 10 * time.Second,
	}
	for _, e := range t.fleet.entries {
		cfg.Targets = append(cfg.Targets, e.callers)
	}
	return load.Run(ctx, cfg)
}

func (t *trial) addReport(r *load.Report) {
	t.total.Sent += r.Sent
	t.total.Answered += r.Answered
	t.total.NotRun += r.NotRun
	t.total.Unknown += r.Unknown
	t.total.Cut += r.Cut
	t.total.Wrong += r.Wrong
	for reason, n := range r.Refused {
		t.failureReasons[reason] += n
	}
}

// serveRequests sends a load to the healthy fleet.
func (t *trial) serveRequests() error {
	r := t.sendLoad(context.Background(), 400, 0)
	t.addReport(r)
	t.logf("%d streamed requests: %d answered, first byte %s median, %s for 95 in 100", r.Sent, r.Answered, r.FirstByte.P50, r.FirstByte.P95)
	if r.Answered != r.Sent {
		return &CheckError{Check: fmt.Sprintf("a healthy fleet answers every request: %+v", r)}
	}
	return nil
}

// acceptAndAwait has a version of the bundle accepted and waits until it is in force on all
// entry instances but the one that is cut off.
func (t *trial) acceptAndAwait(version int, via, partitioned *entry) error {
	if err := t.fleet.acceptBundle(version, via); err != nil {
		return err
	}
	return waitFor(startLimit, fmt.Sprintf("version %d is in force", version), func() bool {
		versions, err := t.fleet.bundleVersions(via)
		for _, e := range t.fleet.entries {
			if err != nil || (e != partitioned && versions[e.name] != version) {
				return false
			}
		}
		return true
	})
}

// bundleVersion returns the bundleVersion that an entry instance has in force, or 0.
func (t *trial) bundleVersion(e *entry) int {
	versions, err := t.fleet.bundleVersions(e)
	if err != nil {
		return 0
	}
	return versions[e.name]
}

// confirmHoldTwice confirms a hold twice with one key, at two entry instances.
func (t *trial) confirmHoldTwice() error {
	for _, e := range t.fleet.entries[:2] {
		c := t.confirm(e, "hold-12", "")
		if c.status != http.StatusOK {
			return &CheckError{Check: "a booking call is answered: " + c.label()}
		}
		t.answeredCalls++
	}
	runs, err := t.fetchRunCounts()
	if err != nil {
		return err
	}
	n := runs[callName("hold-12")]
	t.logf("a hold confirmed twice with one Idempotency-Key, at two entry instances: the service ran it %d time(s)", n)
	if n != 1 {
		return &CheckError{Check: "a confirmation runs once"}
	}
	return nil
}

// fetchRunCounts asks the plain service how often it ran each call.
func (t *trial) fetchRunCounts() (map[string]int, error) {
	res, err := http.Get(fmt.Sprintf("http://%s/runs", t.fleet.service.address))
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	runs := map[string]int{}
	err = json.NewDecoder(res.Body).Decode(&runs)
	return runs, err
}

// waitForStop leaves everything up until it is told to stop.
func (t *trial) waitForStop() error {
	t.printInstructions()
	<-t.cfg.Stop
	return nil
}

// printInstructions says what a person may try while everything is up.
func (t *trial) printInstructions() {
	e := t.fleet.entries[0]
	fmt.Fprintf(t.cfg.Out, `
Everything is up; Ctrl-C stops it. Logs and settings: %s
Try:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"mill-guides","stream":true,"messages":[{"role":"user","content":"How is the seeing?"}]}'
  MILLCTL_TOKEN=%s %s/millctl --address %s groups
  MILLCTL_TOKEN=%s %s/millctl --address %s audit --verify
`, t.fleet.dir, e.callers, t.fleet.keys["observatory"].Key, t.fleet.keys["ruth"].Key, t.fleet.bin, e.admin, t.fleet.keys["ruth"].Key, t.fleet.bin, e.admin)
}

// Main runs a trial in a folder of its own, which it removes after a run that passed.
func Main(cfg Config) error {
	dir, err := os.MkdirTemp("", "amaranthmill-trial-")
	if err != nil {
		return err
	}
	cfg.Dir = dir
	if err := Run(cfg); err != nil {
		return errors.Join(err, fmt.Errorf("trial: logs are in %s", dir))
	}
	if cfg.KeepLogs {
		fmt.Fprintln(cfg.Out, "logs are in", dir)
		return nil
	}
	return os.RemoveAll(dir)
}
