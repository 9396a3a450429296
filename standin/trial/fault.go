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

// requestCounts is what an engine says of the requests of one membership.
type requestCounts struct {
	Group      string    `json:"group"`
	Epoch      uint64    `json:"epoch"`
	Answered   int       `json:"answered"`
	LastAnswer time.Time `json:"lastAnswer"`
	LastAsked  time.Time `json:"lastAsked"`
}

// breakGroup kills a member of a group under load and waits for the repair.
func (t *trial) breakGroup() error {
	g, err := t.pickReadyGroup()
	if err != nil {
		return err
	}
	victim := t.fleet.findEngine(g.Members[len(g.Members)-1])
	ctx, cancel := context.WithCancel(context.Background())
	sampled := make(chan disruption, 1)
	go func() { sampled <- t.fleet.sampleDisruption(ctx) }()
	loadDone := make(chan struct{})
	go func() {
		t.addReport(t.sendLoad(context.Background(), 0, loadDuration))
		close(loadDone)
	}()
	time.Sleep(loadDuration / 4)
	t.logf("killing %s, a member of group %s", victim.name, g.Group)
	victim.process.Kill()
	killed := time.Now()
	err = waitFor(repairLimit, "the broken group serves again", func() bool { return t.countReadyGroups() == len(failureDomains)*groupsPerDomain && t.isRepaired(g) })
	t.logf("the group serves again after %s", time.Since(killed).Round(100*time.Millisecond))
	<-loadDone
	cancel()
	t.disruption = <-sampled
	if err != nil {
		return err
	}
	return t.checkNoLateAnswer(g, killed)
}

// pickReadyGroup returns a group that serves.
func (t *trial) pickReadyGroup() (group, error) {
	groups, err := t.fleet.fetchGroups()
	if err != nil {
		return group{}, err
	}
	for _, g := range groups {
		if g.Ready {
			return g, nil
		}
	}
	return group{}, &CheckError{Check: "a group serves"}
}

// isRepaired reports whether the group has a later epoch and serves.
func (t *trial) isRepaired(before group) bool {
	groups, err := t.fleet.fetchGroups()
	if err != nil {
		return false
	}
	for _, g := range groups {
		if g.Group == before.Group {
			return g.Ready && g.Epoch > before.Epoch
		}
	}
	return false
}

// readyGroupFrom returns a group of a failure domain that serves, as one instance there sees it.
func (t *trial) readyGroupFrom(via *entry) (group, error) {
	groups, err := t.fleet.groupsFrom(via)
	if err != nil {
		return group{}, err
	}
	for _, g := range groups {
		if g.Ready {
			return g, nil
		}
	}
	return group{}, &CheckError{Check: "a group serves in " + via.domain}
}

// groupByName returns a group by its name, as one instance sees it.
func (t *trial) groupByName(via *entry, name string) (group, error) {
	groups, err := t.fleet.groupsFrom(via)
	if err != nil {
		return group{}, err
	}
	for _, g := range groups {
		if g.Group == name {
			return g, nil
		}
	}
	return group{}, &CheckError{Check: "there is a group " + name}
}

// checkNoLateAnswer asks the group's first member whether it answered anything after the kill.
func (t *trial) checkNoLateAnswer(g group, killed time.Time) error {
	res, err := http.Get(fmt.Sprintf("http://%s/served", t.fleet.findEngine(g.Members[0]).address))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var all []requestCounts
	if err := json.NewDecoder(res.Body).Decode(&all); err != nil {
		return err
	}
	for _, s := range all {
		if s.Group != g.Group || s.Epoch != g.Epoch {
			continue
		}
		t.logf("the broken group answered %d requests before the kill; the last request reached it %s after", s.Answered, s.LastAsked.Sub(killed).Round(time.Millisecond))
		if s.LastAnswer.After(killed) {
			return &CheckError{Check: fmt.Sprintf("no answer of a broken group: one %s after the kill", s.LastAnswer.Sub(killed))}
		}
	}
	return nil
}

// stopEntry stops an entry instance under load.
func (t *trial) stopEntry() error {
	e := t.fleet.entries[len(t.fleet.entries)-1]
	loadDone := make(chan struct{})
	before := t.total
	go func() {
		t.addReport(t.sendLoad(context.Background(), 0, loadDuration))
		close(loadDone)
	}()
	time.Sleep(loadDuration / 4)
	t.logf("stopping %s under load", e.name)
	code, err := e.process.Terminate()
	if err != nil {
		return err
	}
	<-loadDone
	cut := t.total.Cut - before.Cut
	t.logf("%s exited with code %d; requests cut off: %d", e.name, code, cut)
	if code != 0 || cut != 0 {
		return &CheckError{Check: "a planned stop cuts off no request and exits with code 0"}
	}
	return nil
}

// stopRemaining stops the other entry instances.
func (t *trial) stopRemaining() error {
	t.logf("stopping the entry instances")
	codes := make(chan int)
	running := 0
	for _, e := range t.fleet.entries {
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
			return &CheckError{Check: fmt.Sprintf("every entry instance stops with code 0: got %d", code)}
		}
	}
	return nil
}

// summarize prints what came of all requests and checks that none was wrong or cut off.
func (t *trial) summarize() error {
	r := t.total
	t.logf("done")
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
`, r.Sent, r.Answered, r.NotRun, r.Unknown, r.Cut, r.Wrong, t.answeredCalls, t.disruption.GroupDowntime.Seconds(), t.disruption.StrandedAccelerators.Seconds())
	for _, reason := range slices.Sorted(maps.Keys(t.failureReasons)) {
		fmt.Fprintf(t.cfg.Out, "  not answered: %-20s %d\n", reason, t.failureReasons[reason])
	}
	if r.Wrong > 0 || r.Cut > 0 {
		return &CheckError{Check: "every answer is whole and the caller's own, and no request is cut off"}
	}
	return nil
}
