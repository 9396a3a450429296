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

// step is one part of a scenario, with the check that it must pass.
type step func(*trial) error

// scenarios are the steps after all groups serve, by name.
var scenarios = map[string][]step{
	"path":    {(*trial).serveRequests, (*trial).bookHold, (*trial).breakGroup, (*trial).stopEntry},
	"outage":  {(*trial).serveRequests, (*trial).surviveOutage},
	"cut":     {(*trial).cutDomain},
	"freeze":  {(*trial).freezeKeeper},
	"poison":  {(*trial).resendPoison},
	"doubled": {(*trial).doubleCalls},
}

// Scenarios returns the names of the scenarios in order.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// during runs f while a load of model requests goes on, and returns its error once both ended.
func (t *trial) during(d time.Duration, f func() error) error {
	var wg sync.WaitGroup
	wg.Go(func() { t.add(t.load(context.Background(), 0, d)) })
	time.Sleep(d / 5)
	err := f()
	wg.Wait()
	return err
}

// setPlatform makes the platform unreachable for everyone, or reachable again.
func (t *trial) setPlatform(down bool) error {
	body, err := json.Marshal(map[string]any{"down": down, "delay": "0s"})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/fault", t.f.platform), bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// surviveOutage breaks a group while the platform is down. Model requests go on, the group
// is repaired by its standby, and calls that need a claim are refused as not run.
func (t *trial) surviveOutage() error {
	g, err := t.pick()
	if err != nil {
		return err
	}
	t.say("the platform goes down")
	if err := t.setPlatform(true); err != nil {
		return err
	}
	err = t.during(loadTime, func() error {
		if err := t.expectRefusal(); err != nil {
			return err
		}
		t.say("killing a member of group %s", g.Group)
		t.f.engine(g.Members[len(g.Members)-1]).process.Kill()
		return within(successionLimit, "the standby takes the member's place with the platform down", func() bool { return t.repaired(g) })
	})
	if err != nil {
		return err
	}
	t.say("the group serves again with the platform down")
	if err := t.restartEntry(); err != nil {
		return err
	}
	if err := t.setPlatform(false); err != nil {
		return err
	}
	t.say("the platform is back")
	return within(repairLimit, "a booking call is answered again", func() bool { return t.confirm(t.f.entries[0], "after-outage", "").status == http.StatusOK })
}

// restartEntry kills an entry instance and starts it again. With the platform down it has
// its bundle from a peer.
func (t *trial) restartEntry() error {
	e := t.f.entries[len(t.f.entries)-1]
	e.process.Kill()
	if err := t.f.startEntry(e); err != nil {
		return err
	}
	err := within(startLimit, "an entry instance that starts in an outage has the bundle from a peer", func() bool {
		res, err := http.Get(fmt.Sprintf("http://%s/readyz", e.callers))
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK && t.version(e) == 1
	})
	if err == nil {
		t.say("%s, killed and started again, is ready with the bundle of a peer", e.name)
	}
	return err
}

// expectRefusal checks that a call that needs a claim is refused as not run, with when to
// come back, at once.
func (t *trial) expectRefusal() error {
	var c confirmation
	err := within(startLimit, "a booking call is refused while the platform is down", func() bool {
		c = t.confirm(t.f.entries[0], "during-outage", "")
		return c.status == http.StatusServiceUnavailable
	})
	if err != nil {
		return err
	}
	t.say("a booking call is refused: %d, outcome %s, come back in %d s", c.status, c.Outcome, c.RetryAfter)
	if c.Outcome != "notRun" || c.RetryAfter == 0 {
		return &FailedError{Check: "a call that cannot be claimed is refused as not run, with when to come back"}
	}
	return nil
}

// cutDomain cuts a failure domain off, puts a new bundle in force elsewhere and mends the cut.
func (t *trial) cutDomain() error {
	domain := failureDomains[len(failureDomains)-1]
	inside := t.f.entriesOf(domain)[0]
	t.say("cutting %s off from the platform and the other failure domains", domain)
	t.f.cutOff(domain)
	err := t.during(loadTime, func() error {
		return t.rollOutVersion(2, t.f.entries[0], inside)
	})
	if err != nil {
		return err
	}
	t.say("version 2 is in force outside; %s still has %d and serves", inside.name, t.version(inside))
	if t.version(inside) != 1 {
		return &FailedError{Check: "an instance that is cut off keeps its bundle"}
	}
	t.f.mend(domain)
	mended := time.Now()
	if err := within(startLimit, "version 2 is in force in the failure domain that came back", func() bool { return t.version(inside) == 2 }); err != nil {
		return err
	}
	t.say("version 2 is in force in %s %s after the cut was mended", domain, time.Since(mended).Round(100*time.Millisecond))
	return nil
}

// freezeKeeper stops the process that keeps a failure domain's groups, breaks a group and
// lets the process go on after another one has repaired it.
func (t *trial) freezeKeeper() error {
	domain := failureDomains[0]
	pair := t.f.entriesOf(domain)
	frozen, other := pair[0], pair[1]
	g, err := t.groupOf(other)
	if err != nil {
		return err
	}
	t.say("freezing %s", frozen.name)
	if err := frozen.process.Freeze(); err != nil {
		return err
	}
	victim := t.f.engine(g.Members[len(g.Members)-1])
	t.say("killing %s, a member of group %s", victim.name, g.Group)
	victim.process.Kill()
	err = within(2*repairLimit, "the other instance repairs the group", func() bool {
		now, err := t.groupNamed(other, g.Group)
		return err == nil && now.Ready && now.Epoch > g.Epoch
	})
	if err != nil {
		return err
	}
	if err := frozen.process.Thaw(); err != nil {
		return err
	}
	t.say("%s goes on; the load goes to all", frozen.name)
	if err := t.during(loadTime, func() error { return nil }); err != nil {
		return err
	}
	return t.checkMemberships()
}

// checkMemberships asks every engine for its membership and checks them against each other.
func (t *trial) checkMemberships() error {
	groups, err := t.f.groups()
	if err != nil {
		return err
	}
	of := map[string]string{}
	for _, g := range groups {
		for _, m := range g.Members {
			if of[m] != "" {
				return &FailedError{Check: fmt.Sprintf("no engine in two groups: %s is in %s and %s", m, of[m], g.Group)}
			}
			of[m] = g.Group
		}
	}
	t.say("%d engines, each in one group", len(of))
	return nil
}

// resendPoison sends a request that crashes each engine that runs it, again and again and
// at every entry instance, beside a load of innocent requests.
func (t *trial) resendPoison() error {
	outcomes := map[string]int{}
	err := t.during(loadTime, func() error {
		for i := range 12 {
			status, problem := t.complete(t.f.entries[i%len(t.f.entries)], "a poison request")
			outcomes[fmt.Sprintf("%d %s", status, problem.Reason)]++
		}
		return nil
	})
	if err != nil {
		return err
	}
	dead := 0
	for _, e := range t.f.engines {
		if !e.process.IsRunning() {
			dead++
		}
	}
	t.say("12 tries of one poison request: %v; engines crashed: %d", outcomes, dead)
	if dead > 2 {
		return &FailedError{Check: "at most two replica groups are lost to one poison request"}
	}
	status, _ := t.complete(t.f.entries[0], "an innocent request")
	if status != http.StatusOK {
		return &FailedError{Check: fmt.Sprintf("an innocent request is answered afterwards: %d", status)}
	}
	return nil
}

// doubleCalls sends each of many confirmations at all entry instances at the same moment,
// some of them to an endpoint that runs the call and drops the connection. Each caller
// comes back with the same key when it is told to.
func (t *trial) doubleCalls() error {
	const keys = 40
	results := make(chan doubled, keys*len(t.f.entries))
	var wg sync.WaitGroup
	for k := range keys {
		key, fault := fmt.Sprintf("hold-%d", k), ""
		if k%4 == 0 {
			fault = "?fault=drop"
		}
		for _, e := range t.f.entries {
			wg.Go(func() { results <- doubled{key: key, dropped: fault != "", c: t.confirmPatiently(e, key, fault)} })
		}
	}
	wg.Wait()
	close(results)
	return t.checkDoubled(keys, results)
}

// doubled is the last answer to one caller of a confirmation.
type doubled struct {
	key     string
	dropped bool // the endpoint drops the connection after it ran the call
	c       confirmation
}

// checkDoubled checks that no confirmation ran twice, that none that ran was refused as
// not run, and that every caller whose endpoint answers got the answer.
func (t *trial) checkDoubled(keys int, results <-chan doubled) error {
	runs, err := t.runs()
	if err != nil {
		return err
	}
	outcomes := map[string]int{}
	for r := range results {
		outcomes[r.c.kind()]++
		n := runs[runName(r.key)]
		switch {
		case n > 1:
			return &FailedError{Check: fmt.Sprintf("a confirmation runs at most once: %s ran %d times", r.key, n)}
		case r.c.Outcome == "notRun" && n > 0 && r.c.RetryAfter == 0:
			return &FailedError{Check: fmt.Sprintf("a call refused for good as not run did not run: %s", r.key)}
		case !r.dropped && r.c.status != http.StatusOK:
			return &FailedError{Check: fmt.Sprintf("a call whose endpoint answers is answered: %s: %s", r.key, r.c.kind())}
		case r.dropped && r.c.status == http.StatusOK:
			return &FailedError{Check: fmt.Sprintf("a lost answer is not made up: %s", r.key)}
		}
	}
	t.say("%d confirmations, each sent at %d entry instances at once: %v", keys, len(t.f.entries), outcomes)
	return nil
}

func runName(key string) string {
	return strings.Join([]string{http.MethodPost, "/holds/12/confirm", key}, " ")
}
