package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// step is one part of a scenario. It returns an error if it fails or if a check of it fails.
type step func(*trial) error

// scenarios maps the name of a scenario to its steps, which run once all groups are ready.
var scenarios = map[string][]step{
	"path":    {(*trial).serveRequests, (*trial).confirmHoldTwice, (*trial).breakGroup, (*trial).stopEntry},
	"outage":  {(*trial).serveRequests, (*trial).surviveOutage},
	"cut":     {(*trial).partitionDomain},
	"freeze":  {(*trial).freezeInstance},
	"poison":  {(*trial).resendPoison},
	"doubled": {(*trial).sendDuplicates},
}

// Scenarios returns the sorted names of the scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// runUnderLoad runs f during a load of model requests that lasts d. f starts after a fifth of d.
// runUnderLoad returns the error of f once both have ended.
func (t *trial) runUnderLoad(d time.Duration, f func() error) error {
	var wg sync.WaitGroup
	wg.Go(func() { t.addReport(t.sendLoad(context.Background(), 0, d)) })
	time.Sleep(d / 5)
	err := f()
	wg.Wait()
	return err
}

// setPlatformDown makes the platform unreachable for every client, or reachable again.
func (t *trial) setPlatformDown(down bool) error {
	body, err := json.Marshal(map[string]any{"down": down, "delay": "0s"})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/fault", t.fleet.platformAddress), bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// surviveOutage kills a member of a group while the platform is down. Model requests are still
// served, the standby replaces the member, and calls that need a claim are refused as not run.
func (t *trial) surviveOutage() error {
	g, err := t.pickReadyGroup()
	if err != nil {
		return err
	}
	t.logf("taking the platform down")
	if err := t.setPlatformDown(true); err != nil {
		return err
	}
	err = t.runUnderLoad(loadDuration, func() error {
		if err := t.expectRefusal(); err != nil {
			return err
		}
		t.logf("killing a member of group %s", g.Group)
		t.fleet.findEngine(g.Members[len(g.Members)-1]).process.Kill()
		return waitFor(successionLimit, "the standby replaces the killed member while the platform is down", func() bool { return t.isRepaired(g) })
	})
	if err != nil {
		return err
	}
	t.logf("the group serves again with the platform down")
	if err := t.restartEntry(); err != nil {
		return err
	}
	if err := t.setPlatformDown(false); err != nil {
		return err
	}
	t.logf("the platform is reachable again")
	return waitFor(repairLimit, "a booking call is answered again", func() bool { return t.confirm(t.fleet.entries[0], "after-outage", "").status == http.StatusOK })
}

// restartEntry kills an entry instance and starts it again while the platform is down, so that
// the instance has to get its bundle from a peer.
func (t *trial) restartEntry() error {
	e := t.fleet.entries[len(t.fleet.entries)-1]
	e.process.Kill()
	if err := t.fleet.startEntry(e); err != nil {
		return err
	}
	err := waitFor(startLimit, "an entry instance that starts during the outage gets the bundle from a peer", func() bool {
		res, err := http.Get(fmt.Sprintf("http://%s/readyz", e.callers))
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK && t.bundleVersion(e) == 1
	})
	if err == nil {
		t.logf("%s, killed and started again, is ready with the bundle of a peer", e.name)
	}
	return err
}

// expectRefusal checks that a call that needs a claim is refused as not run, with the time
// after which to retry.
func (t *trial) expectRefusal() error {
	var last confirmation
	err := waitFor(startLimit, "a booking call is refused while the platform is down", func() bool {
		last = t.confirm(t.fleet.entries[0], "during-outage", "")
		return last.status == http.StatusServiceUnavailable
	})
	if err != nil {
		return err
	}
	t.logf("a booking call is refused: %d, outcome %s, retry after %d s", last.status, last.Outcome, last.RetryAfter)
	if last.Outcome != "notRun" || last.RetryAfter == 0 {
		return &CheckError{Check: "a call that cannot be claimed was not refused as not run, with a retry time"}
	}
	return nil
}

// partitionDomain disconnects a failure domain, rolls out a new bundle in the others and checks that
// the disconnected instance keeps its version and gets the new one after the reconnection.
func (t *trial) partitionDomain() error {
	domain := failureDomains[len(failureDomains)-1]
	partitioned := t.fleet.entriesIn(domain)[0]
	t.logf("disconnecting %s from the platform and the other failure domains", domain)
	t.fleet.partition(domain)
	err := t.runUnderLoad(loadDuration, func() error {
		return t.acceptAndAwait(2, t.fleet.entries[0], partitioned)
	})
	if err != nil {
		return err
	}
	t.logf("version 2 is in force in the other failure domains; %s still has %d and serves", partitioned.name, t.bundleVersion(partitioned))
	if t.bundleVersion(partitioned) != 1 {
		return &CheckError{Check: "a disconnected instance did not keep its bundle"}
	}
	t.fleet.reconnect(domain)
	reconnectedAt := time.Now()
	if err := waitFor(startLimit, "version 2 is in force in the reconnected failure domain", func() bool { return t.bundleVersion(partitioned) == 2 }); err != nil {
		return err
	}
	t.logf("version 2 is in force in %s %s after the reconnection", domain, time.Since(reconnectedAt).Round(100*time.Millisecond))
	return nil
}

// freezeInstance suspends an entry instance of a failure domain, which may hold the repair lease, kills
// a member of a group there and resumes the instance after another one has repaired the group.
func (t *trial) freezeInstance() error {
	domain := failureDomains[0]
	instances := t.fleet.entriesIn(domain)
	frozen, other := instances[0], instances[1]
	g, err := t.readyGroupFrom(other)
	if err != nil {
		return err
	}
	t.logf("freezing %s", frozen.name)
	if err := frozen.process.Freeze(); err != nil {
		return err
	}
	victim := t.fleet.findEngine(g.Members[len(g.Members)-1])
	t.logf("killing %s, a member of group %s", victim.name, g.Group)
	victim.process.Kill()
	err = waitFor(2*repairLimit, "the other instance repairs the group", func() bool {
		current, err := t.groupByName(other, g.Group)
		return err == nil && current.Ready && current.Epoch > g.Epoch
	})
	if err != nil {
		return err
	}
	if err := frozen.process.Thaw(); err != nil {
		return err
	}
	t.logf("%s resumes; the load goes to all entry instances", frozen.name)
	if err := t.runUnderLoad(loadDuration, func() error { return nil }); err != nil {
		return err
	}
	return t.checkMemberships()
}

// checkMemberships checks that no engine is a member of two groups, as reported by one entry
// instance of each failure domain.
func (t *trial) checkMemberships() error {
	groups, err := t.fleet.fetchGroups()
	if err != nil {
		return err
	}
	groupByEngine := map[string]string{}
	for _, g := range groups {
		for _, m := range g.Members {
			if groupByEngine[m] != "" {
				return &CheckError{Check: fmt.Sprintf("an engine is in two groups: %s is in %s and %s", m, groupByEngine[m], g.Group)}
			}
			groupByEngine[m] = g.Group
		}
	}
	t.logf("%d engines, each in one group", len(groupByEngine))
	return nil
}

// resendPoison repeatedly sends a request that crashes each engine that runs it, to all entry
// instances in turn, during a load of ordinary requests.
func (t *trial) resendPoison() error {
	outcomes := map[string]int{}
	err := t.runUnderLoad(loadDuration, func() error {
		for i := range 12 {
			status, problem := t.sendCompletion(t.fleet.entries[i%len(t.fleet.entries)], "a poison request")
			outcomes[fmt.Sprintf("%d %s", status, problem.Reason)]++
		}
		return nil
	})
	if err != nil {
		return err
	}
	crashed := 0
	for _, e := range t.fleet.engines {
		if !e.process.IsRunning() {
			crashed++
		}
	}
	t.logf("12 attempts of one poison request: %v; engines crashed: %d", outcomes, crashed)
	if crashed > 2 {
		return &CheckError{Check: "one poison request crashed more than two engines; it may break at most two replica groups"}
	}
	status, _ := t.sendCompletion(t.fleet.entries[0], "an innocent request")
	if status != http.StatusOK {
		return &CheckError{Check: fmt.Sprintf("an ordinary request was not answered afterwards: status %d", status)}
	}
	return nil
}

// sendDuplicates sends each of many confirmations to all entry instances at the same time. For
// every fourth confirmation the endpoint runs the call and drops the connection. Each caller
// retries with the same key if the answer has a retry time.
func (t *trial) sendDuplicates() error {
	const keys = 40
	results := make(chan duplicateResult, keys*len(t.fleet.entries))
	var wg sync.WaitGroup
	for k := range keys {
		key, fault := fmt.Sprintf("hold-%d", k), ""
		if k%4 == 0 {
			fault = "?fault=drop"
		}
		for _, e := range t.fleet.entries {
			wg.Go(func() {
				results <- duplicateResult{key: key, answerDropped: fault != "", answer: t.confirmWithRetries(e, key, fault)}
			})
		}
	}
	wg.Wait()
	close(results)
	return t.checkDuplicates(keys, results)
}

// duplicateResult is the last answer that one caller of a confirmation received.
type duplicateResult struct {
	key           string
	answerDropped bool // the endpoint drops the connection after it has run the call
	answer        confirmation
}

// checkDuplicates checks that no confirmation ran twice, that no confirmation that ran was refused
// for good as not run, that every caller whose endpoint answers got an answer, and that no caller
// got an answer that the endpoint dropped.
func (t *trial) checkDuplicates(keys int, results <-chan duplicateResult) error {
	runs, err := t.fetchRunCounts()
	if err != nil {
		return err
	}
	outcomes := map[string]int{}
	for r := range results {
		outcomes[r.answer.label()]++
		n := runs[callName(r.key)]
		switch {
		case n > 1:
			return &CheckError{Check: fmt.Sprintf("a confirmation ran more than once: %s ran %d times", r.key, n)}
		case r.answer.Outcome == "notRun" && n > 0 && r.answer.RetryAfter == 0:
			return &CheckError{Check: fmt.Sprintf("a call that was refused for good as not run did run: %s", r.key)}
		case !r.answerDropped && r.answer.status != http.StatusOK:
			return &CheckError{Check: fmt.Sprintf("a call whose endpoint answers was not answered: %s: %s", r.key, r.answer.label())}
		case r.answerDropped && r.answer.status == http.StatusOK:
			return &CheckError{Check: fmt.Sprintf("a call was answered although the endpoint dropped the answer: %s", r.key)}
		}
	}
	t.logf("%d confirmations, each sent at %d entry instances at once: %v", keys, len(t.fleet.entries), outcomes)
	return nil
}

// callName returns the name under which the plain service counts the confirmations with a key.
func callName(key string) string {
	return strings.Join([]string{http.MethodPost, "/holds/12/confirm", key}, " ")
}
