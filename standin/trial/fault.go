package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// served is what an engine says of the requests of one membership.
type served struct {
	Group      string    `json:"group"`
	Epoch      uint64    `json:"epoch"`
	Answered   int       `json:"answered"`
	LastAnswer time.Time `json:"lastAnswer"`
	LastAsked  time.Time `json:"lastAsked"`
}

// breakGroup kills a member of a group under load and waits for the repair.
func (t *trial) breakGroup() error {
	g, err := t.pick()
	if err != nil {
		return err
	}
	victim := t.f.engine(g.Members[len(g.Members)-1])
	ctx, cancel := context.WithCancel(context.Background())
	sampled := make(chan measures, 1)
	go func() { sampled <- t.f.sample(ctx) }()
	loaded := make(chan struct{})
	go func() {
		t.add(t.load(context.Background(), 0, loadTime))
		close(loaded)
	}()
	time.Sleep(loadTime / 4)
	t.say("killing %s, a member of group %s", victim.name, g.Group)
	victim.process.Kill()
	killed := time.Now()
	err = within(repairLimit, "the broken group serves again", func() bool { return t.serving() == len(failureDomains)*groupsPerDomain && t.repaired(g) })
	t.say("the group serves again after %s", time.Since(killed).Round(100*time.Millisecond))
	<-loaded
	cancel()
	t.m = <-sampled
	if err != nil {
		return err
	}
	return t.checkBroken(g, killed)
}

// pick returns a group that serves.
func (t *trial) pick() (group, error) {
	groups, err := t.f.groups()
	if err != nil {
		return group{}, err
	}
	for _, g := range groups {
		if g.Ready {
			return g, nil
		}
	}
	return group{}, &FailedError{Check: "a group serves"}
}

// repaired reports whether the group has a later epoch and serves.
func (t *trial) repaired(was group) bool {
	groups, err := t.f.groups()
	if err != nil {
		return false
	}
	for _, g := range groups {
		if g.Group == was.Group {
			return g.Ready && g.Epoch > was.Epoch
		}
	}
	return false
}

// groupOf returns a group of a failure domain that serves, as one instance there sees it.
func (t *trial) groupOf(at *entry) (group, error) {
	groups, err := t.f.groupsAt(at)
	if err != nil {
		return group{}, err
	}
	for _, g := range groups {
		if g.Ready {
			return g, nil
		}
	}
	return group{}, &FailedError{Check: "a group serves in " + at.domain}
}

// groupNamed returns a group by its name, as one instance sees it.
func (t *trial) groupNamed(at *entry, name string) (group, error) {
	groups, err := t.f.groupsAt(at)
	if err != nil {
		return group{}, err
	}
	for _, g := range groups {
		if g.Group == name {
			return g, nil
		}
	}
	return group{}, &FailedError{Check: "there is a group " + name}
}

// checkBroken asks the group's first member whether it answered anything after the kill.
func (t *trial) checkBroken(g group, killed time.Time) error {
	res, err := http.Get(fmt.Sprintf("http://%s/served", t.f.engine(g.Members[0]).address))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var all []served
	if err := json.NewDecoder(res.Body).Decode(&all); err != nil {
		return err
	}
	for _, s := range all {
		if s.Group != g.Group || s.Epoch != g.Epoch {
			continue
		}
		t.say("the broken group answered %d requests before the kill; the last request reached it %s after", s.Answered, s.LastAsked.Sub(killed).Round(time.Millisecond))
		if s.LastAnswer.After(killed) {
			return &FailedError{Check: fmt.Sprintf("no answer of a broken group: one %s after the kill", s.LastAnswer.Sub(killed))}
		}
	}
	return nil
}

// stopEntry stops an entry instance under load.
func (t *trial) stopEntry() error {
	e := t.f.entries[len(t.f.entries)-1]
	loaded := make(chan struct{})
	before := t.total
	go func() {
		t.add(t.load(context.Background(), 0, loadTime))
		close(loaded)
	}()
	time.Sleep(loadTime / 4)
	t.say("stopping %s under load", e.name)
	code, err := e.process.Terminate()
	if err != nil {
		return err
	}
	<-loaded
	cut := t.total.Cut - before.Cut
	t.say("%s exited with code %d; requests cut off: %d", e.name, code, cut)
	if code != 0 || cut != 0 {
		return &FailedError{Check: "a planned stop cuts off no request and exits with code 0"}
	}
	return nil
}

// stopRest stops the other entry instances.
func (t *trial) stopRest() error {
	t.say("stopping the entry instances")
	codes := make(chan int)
	running := 0
	for _, e := range t.f.entries {
		if !e.process.IsRunning() {
			continue
		}
		running++
		go func() {
			code, err := e.process.Terminate()
			if err != nil {
				code = -1
			}
			codes <- code
		}()
	}
	for range running {
		if code := <-codes; code != 0 {
			return &FailedError{Check: fmt.Sprintf("every entry instance stops with code 0: got %d", code)}
		}
	}
	return nil
}

// summarize prints what came of all requests and checks that none was wrong or cut off.
func (t *trial) summarize() error {
	r := t.total
	t.say("done")
	fmt.Fprintf(t.cfg.Out, `
summary
  streamed requests     %6d
    answered whole      %6d
    refused, "not run"  %6d
    unknown             %6d
    cut off             %6d
    wrong               %6d
  booking calls         %6d answered, 1 run
  group downtime        %6.1f s
  stranded accelerators %6.1f accelerator seconds
`, r.Sent, r.Answered, r.NotRun, r.Unknown, r.Cut, r.Wrong, t.holds, t.m.GroupDowntime.Seconds(), t.m.StrandedAccelerators.Seconds())
	for _, reason := range slices.Sorted(maps.Keys(t.reasons)) {
		fmt.Fprintf(t.cfg.Out, "  not answered: %-20s %d\n", reason, t.reasons[reason])
	}
	if r.Wrong > 0 || r.Cut > 0 {
		return &FailedError{Check: "every answer is whole and the caller's own, and no request is cut off"}
	}
	return nil
}
