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

// requestCounts is what an engine reports about the requests of one group epoch.
type requestCounts struct {
	Group      string    `json:"group"`
	Epoch      uint64    `json:"epoch"`
	Answered   int       `json:"answered"`
	LastAnswer time.Time `json:"lastAnswer"`
	LastAsked  time.Time `json:"lastAsked"`
}

// breakGroup kills a member of a group under load, waits for the repair and checks that the broken
// group answered nothing after the kill.
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

// pickReadyGroup returns a group that is ready.
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
	return group{}, &CheckError{Check: "no group is ready"}
}

// isRepaired reports whether the group is ready and has a later epoch than before.
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

// readyGroupFrom returns a ready group of the failure domain of via, as via reports it.
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
	return group{}, &CheckError{Check: "no group is ready in " + via.domain}
}

// groupByName returns the group with a name, as via reports it.
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
	return group{}, &CheckError{Check: "there is no group " + name}
}

// checkNoLateAnswer checks with the group's first member that the group in its old epoch answered
// nothing after the kill.
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
		t.logf("the broken group answered %d requests before the kill; its last request arrived %s after the kill", s.Answered, s.LastAsked.Sub(killed).Round(time.Millisecond))
		if s.LastAnswer.After(killed) {
			return &CheckError{Check: fmt.Sprintf("the broken group answered a request %s after the kill", s.LastAnswer.Sub(killed))}
		}
	}
	return nil
}

// stopEntry stops an entry instance under load and checks that this cuts off no request.
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
		return &CheckError{Check: "a planned stop cut off requests or exited with a code other than 0"}
	}
	return nil
}

// stopRemaining stops the entry instances that still run and checks their exit codes.
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
			return &CheckError{Check: fmt.Sprintf("an entry instance did not exit with code 0: got %d", code)}
		}
	}
	return nil
}

// summarize prints the outcomes of all requests and checks that no answer was wrong or cut off.
func (t *trial) summarize() error {
	r := t.total
	t.logf("done")
	fmt.Fprintf(t.cfg.Out, `
summary
  streamed requests     %6d
    answered completely %6d
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
		return &CheckError{Check: "an answer was incomplete or not the caller's own, or a request was cut off"}
	}
	return nil
}
