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
	Bin         string // folder with the programs amaranthmill, millctl and standin
	Dir         string // empty folder for settings, keys and logs
	Scenario    string // one of Scenarios; "" means "path"
	KeepRunning bool   // instead of a scenario, serves requests once and keeps all processes running until Stop is closed
	Stop        <-chan struct{}
	KeepLogs    bool // keeps the folder that Main creates, also after a trial that passed
	Concurrency int  // concurrent streams; 0 means 24
	Out         io.Writer
}

// Timeouts of the waits, and the duration of a load.
const (
	startLimit  = time.Minute
	repairLimit = time.Minute
	// successionLimit includes the time that a standby leaves to the holder of the repair lease
	// before it replaces the lost member itself.
	successionLimit = 2 * time.Minute
	loadDuration    = 6 * time.Second
)

// CheckError reports that a check of a trial failed. Check says what was expected or what went wrong.
type CheckError struct{ Check string }

// Error returns Check with the prefix of the package.
func (e *CheckError) Error() string { return "trial: " + e.Check }

// trial is the state of one trial.
type trial struct {
	cfg            Config
	fleet          *fleet
	total          load.Report
	disruption     disruption
	failureReasons map[string]int // number of unanswered model requests by reason
	answeredCalls  int            // answered booking calls
	startTime      time.Time
}

// Run runs a trial and returns the error of the first step that fails.
func Run(cfg Config) error {
	if cfg.Concurrency == 0 {
		cfg.Concurrency = 24
	}
	if cfg.Scenario == "" {
		cfg.Scenario = "path"
	}
	if scenarios[cfg.Scenario] == nil {
		return &CheckError{Check: fmt.Sprintf("unknown scenario %q; the scenarios are %s", cfg.Scenario, strings.Join(Scenarios(), ", "))}
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

// logf prints a line with the time since the start of the trial.
func (t *trial) logf(format string, args ...any) {
	fmt.Fprintf(t.cfg.Out, "[%5.1fs] "+format+"\n", append([]any{time.Since(t.startTime).Seconds()}, args...)...)
}

// startFleet starts every process and waits until all entry instances are reachable and all
// engines are listed.
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
	return waitFor(startLimit, "all entry instances are reachable and all engines are listed", func() bool {
		out, err := t.fleet.millctl("ruth", "--address", t.fleet.entries[0].admin.String(), "--output", "json", "instances")
		return err == nil && strings.Count(string(out), `"kind": "engine"`) == len(t.fleet.engines) &&
			strings.Count(string(out), `"reachable": true`) == len(t.fleet.entries)
	})
}

// rollOutBundle puts the first bundle in force and waits until all groups serve.
func (t *trial) rollOutBundle() error {
	t.logf("operator abel proposes a bundle, operator vera signs it")
	if err := t.acceptAndAwait(1, t.fleet.entries[0], nil); err != nil {
		return err
	}
	t.logf("the bundle is in force on all entry instances; groups load their model")
	if err := waitFor(startLimit, "all groups serve", func() bool { return t.countReadyGroups() == len(failureDomains)*groupsPerDomain }); err != nil {
		return err
	}
	t.logf("%d replica groups are ready", t.countReadyGroups())
	return nil
}

// countReadyGroups returns the number of ready groups, or 0 if the groups cannot be fetched.
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

// waitFor polls condition until it holds. After timeout it returns a CheckError with the description.
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

// sendLoad sends streamed requests to the ready entry instances in turn, as a load balancer does.
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

// addReport adds the counts of r to the totals of the trial.
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

// serveRequests sends a load while there is no fault, and checks that every request is answered.
func (t *trial) serveRequests() error {
	r := t.sendLoad(context.Background(), 400, 0)
	t.addReport(r)
	t.logf("%d streamed requests: %d answered, first byte after %s (median), %s (95th percentile)", r.Sent, r.Answered, r.FirstByte.P50, r.FirstByte.P95)
	if r.Answered != r.Sent {
		return &CheckError{Check: fmt.Sprintf("not every request was answered without a fault: %+v", r)}
	}
	return nil
}

// acceptAndAwait gets a version of the bundle accepted by the entry instance via, and waits
// until the version is in force on all entry instances except partitioned, which may be nil.
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

// bundleVersion returns the bundle version in force on an entry instance, or 0 if it cannot be
// fetched.
func (t *trial) bundleVersion(e *entry) int {
	versions, err := t.fleet.bundleVersions(e)
	if err != nil {
		return 0
	}
	return versions[e.name]
}

// confirmHoldTwice confirms a booking hold twice with the same Idempotency-Key, at two entry
// instances, and checks that the service runs the call once.
func (t *trial) confirmHoldTwice() error {
	for _, e := range t.fleet.entries[:2] {
		c := t.confirm(e, "hold-12", "")
		if c.status != http.StatusOK {
			return &CheckError{Check: "a booking call was not answered: " + c.label()}
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
		return &CheckError{Check: "a confirmation did not run exactly once"}
	}
	return nil
}

// fetchRunCounts fetches from the plain service how often it ran each call.
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

// waitForStop keeps all processes running until Stop is closed.
func (t *trial) waitForStop() error {
	t.printInstructions()
	<-t.cfg.Stop
	return nil
}

// printInstructions prints commands that can be tried while all processes run.
func (t *trial) printInstructions() {
	e := t.fleet.entries[0]
	fmt.Fprintf(t.cfg.Out, `
All processes are running; Ctrl-C stops them. Logs and settings: %s
Try:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"mill-guides","stream":true,"messages":[{"role":"user","content":"How is the seeing?"}]}'
  MILLCTL_TOKEN=%s %s/millctl --address %s groups
  MILLCTL_TOKEN=%s %s/millctl --address %s audit --verify
`, t.fleet.dir, e.callers, t.fleet.keys["observatory"].Key, t.fleet.keys["ruth"].Key, t.fleet.bin, e.admin, t.fleet.keys["ruth"].Key, t.fleet.bin, e.admin)
}

// Main runs a trial in a new temporary folder. If the trial passes, Main removes the folder
// unless KeepLogs is set.
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
