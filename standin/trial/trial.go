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
	Stay        bool   // leaves everything up until Stop is closed
	Stop        <-chan struct{}
	Keep        bool // leaves the folder of Main after a run that passed
	Concurrency int  // streams at once; 0 is 24
	Out         io.Writer
}

// How long each part may take.
const (
	startLimit  = time.Minute
	repairLimit = time.Minute
	// successionLimit covers the time that instances leave to the holder of the repair lease.
	successionLimit = 2 * time.Minute
	loadTime        = 6 * time.Second
)

// FailedError says which check of a trial did not hold.
type FailedError struct{ Check string }

// Error returns the check.
func (e *FailedError) Error() string { return "trial: " + e.Check }

// trial is one run.
type trial struct {
	cfg     Config
	f       *fleet
	total   load.Report
	m       measures
	reasons map[string]int // of requests that were not answered
	holds   int            // booking calls answered
	start   time.Time
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
		return &FailedError{Check: fmt.Sprintf("no scenario %q; write one of %s", cfg.Scenario, strings.Join(Scenarios(), ", "))}
	}
	f, err := newFleet(cfg.Bin, cfg.Dir)
	if err != nil {
		return err
	}
	if cfg.Scenario == "poison" {
		f.engineArgs = []string{"--crashOnPoison"}
	}
	defer f.processes.KillAll()
	t := &trial{cfg: cfg, f: f, start: time.Now(), reasons: map[string]int{}}
	steps := append([]step{(*trial).bringUp, (*trial).rollOut}, scenarios[cfg.Scenario]...)
	steps = append(steps, (*trial).stopRest, (*trial).summarize)
	if cfg.Stay {
		steps = []step{(*trial).bringUp, (*trial).rollOut, (*trial).serveRequests, (*trial).stay}
	}
	for n, step := range steps {
		if err := step(t); err != nil {
			return &StepError{Step: nameOf(step), Number: n + 1, Of: len(steps), Seen: t.seen(), Cause: err}
		}
	}
	return nil
}

func (t *trial) say(format string, args ...any) {
	fmt.Fprintf(t.cfg.Out, "[%5.1fs] "+format+"\n", append([]any{time.Since(t.start).Seconds()}, args...)...)
}

// bringUp starts every process.
func (t *trial) bringUp() error {
	t.say("starting the platform, %d engines in %d failure domains and a plain service", len(t.f.engines), len(failureDomains))
	if err := t.f.startEndpoints(); err != nil {
		return err
	}
	if err := t.f.makeKeys(); err != nil {
		return err
	}
	t.say("starting %d entry instances", len(t.f.entries))
	if err := t.f.startEntries(); err != nil {
		return err
	}
	return within(startLimit, "the entry instances and the list of engines are up", func() bool {
		out, err := t.f.millctl("ruth", "--address", t.f.entries[0].admin.String(), "--output", "json", "instances")
		return err == nil && strings.Count(string(out), `"kind": "engine"`) == len(t.f.engines) &&
			strings.Count(string(out), `"reachable": true`) == len(t.f.entries)
	})
}

// rollOut puts the first bundle in force and waits until all groups serve.
func (t *trial) rollOut() error {
	t.say("abel proposes a bundle, vera signs it off")
	if err := t.rollOutVersion(1, t.f.entries[0], nil); err != nil {
		return err
	}
	t.say("the bundle is in force on all entry instances; groups load their model")
	if err := within(startLimit, "all groups serve", func() bool { return t.serving() == len(failureDomains)*groupsPerDomain }); err != nil {
		return err
	}
	t.say("%d replica groups serve", t.serving())
	return nil
}

// serving returns how many groups are ready.
func (t *trial) serving() int {
	groups, err := t.f.groups()
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

// within asks until the condition holds.
func within(limit time.Duration, what string, holds func() bool) error {
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			return &FailedError{Check: fmt.Sprintf("not within %s: %s", limit, what)}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// load sends streamed requests to all entry instances through the balancer's eyes.
func (t *trial) load(ctx context.Context, requests int, d time.Duration) *load.Report {
	cfg := load.Config{
		Key: t.f.keys["observatory"].Key, Model: "mill-guides", Adapter: "patrons", Prompt: "site rules",
		Concurrency: t.cfg.Concurrency, Requests: requests, Duration: d, AnswerTokens: 20, Timeout: 10 * time.Second,
	}
	for _, e := range t.f.entries {
		cfg.Targets = append(cfg.Targets, e.callers)
	}
	return load.Run(ctx, cfg)
}

func (t *trial) add(r *load.Report) {
	t.total.Sent += r.Sent
	t.total.Answered += r.Answered
	t.total.NotRun += r.NotRun
	t.total.Unknown += r.Unknown
	t.total.Cut += r.Cut
	t.total.Wrong += r.Wrong
	for reason, n := range r.Refused {
		t.reasons[reason] += n
	}
}

// serveRequests sends a load to the healthy fleet.
func (t *trial) serveRequests() error {
	r := t.load(context.Background(), 400, 0)
	t.add(r)
	t.say("%d streamed requests: %d answered, first byte %s median, %s for 95 in 100", r.Sent, r.Answered, r.FirstByte.P50, r.FirstByte.P95)
	if r.Answered != r.Sent {
		return &FailedError{Check: fmt.Sprintf("a healthy fleet answers every request: %+v", r)}
	}
	return nil
}

// rollOutVersion has a version of the bundle accepted and waits until it is in force on all
// entry instances but the one that is cut off.
func (t *trial) rollOutVersion(version int, at, cutOff *entry) error {
	if err := t.f.accept(version, at); err != nil {
		return err
	}
	return within(startLimit, fmt.Sprintf("version %d is in force", version), func() bool {
		versions, err := t.f.versions(at)
		for _, e := range t.f.entries {
			if err != nil || (e != cutOff && versions[e.name] != version) {
				return false
			}
		}
		return true
	})
}

// version returns the version that an entry instance has in force, or 0.
func (t *trial) version(e *entry) int {
	versions, err := t.f.versions(e)
	if err != nil {
		return 0
	}
	return versions[e.name]
}

// bookHold confirms a hold twice with one key, at two entry instances.
func (t *trial) bookHold() error {
	for _, e := range t.f.entries[:2] {
		c := t.confirm(e, "hold-12", "")
		if c.status != http.StatusOK {
			return &FailedError{Check: "a booking call is answered: " + c.kind()}
		}
		t.holds++
	}
	runs, err := t.runs()
	if err != nil {
		return err
	}
	n := runs[runName("hold-12")]
	t.say("a hold confirmed twice with one Idempotency-Key, at two entry instances: the service ran it %d time(s)", n)
	if n != 1 {
		return &FailedError{Check: "a confirmation runs once"}
	}
	return nil
}

// runs asks the plain service how often it ran each call.
func (t *trial) runs() (map[string]int, error) {
	res, err := http.Get(fmt.Sprintf("http://%s/runs", t.f.service.address))
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	runs := map[string]int{}
	err = json.NewDecoder(res.Body).Decode(&runs)
	return runs, err
}

// stay leaves everything up until it is told to stop.
func (t *trial) stay() error {
	t.explain()
	<-t.cfg.Stop
	return nil
}

// explain says what a person may try while everything is up.
func (t *trial) explain() {
	e := t.f.entries[0]
	fmt.Fprintf(t.cfg.Out, `
Everything is up; Ctrl-C stops it. Logs and settings: %s
Try:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"mill-guides","stream":true,"messages":[{"role":"user","content":"How is the seeing?"}]}'
  MILLCTL_TOKEN=%s %s/millctl --address %s groups
  MILLCTL_TOKEN=%s %s/millctl --address %s audit --verify
`, t.f.dir, e.callers, t.f.keys["observatory"].Key, t.f.keys["ruth"].Key, t.f.bin, e.admin, t.f.keys["ruth"].Key, t.f.bin, e.admin)
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
	if cfg.Keep {
		fmt.Fprintln(cfg.Out, "logs are in", dir)
		return nil
	}
	return os.RemoveAll(dir)
}
