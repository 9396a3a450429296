package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"amaranthmill/claimer"
	"amaranthmill/internal/identifier"
	"amaranthmill/standin/platform"
	"amaranthmill/storeclient"
)

// scenario says which claimers receive each key and which fault the platform has.
type scenario struct {
	name            string
	duplicates      bool   // each key is sent to all claimers concurrently
	fault           string // JSON body of PUT /fault, sent to the platform before the calls; none if empty
	clearFaultAfter time.Duration
}

var scenarios = []scenario{
	{name: "one arrival a key"},
	{name: "at every instance at once", duplicates: true},
	{name: "the same, answers lost", duplicates: true, fault: `{"loseAnswers":20}`},
	{name: "the same, slow by 100 ms", duplicates: true, fault: `{"delay":"100ms"}`},
	{name: "the same, down for 2 s", duplicates: true, fault: `{"down":true}`, clearFaultAfter: 2 * time.Second},
}

// tally holds the counts of one scenario.
type tally struct {
	requests, keysRun, keysRunTwice, unanswered int
	platformCalls                               map[string]int // received by the platform, by kind
}

// trial is one run of a scenario: the platform, the claimers, and the counts of a simulated
// service that runs the granted calls.
type trial struct {
	sc       scenario
	platform *httptest.Server
	claimers []*claimer.Claimer

	mu       sync.Mutex
	runs     map[claimer.Key]int
	requests int
}

// runScenario makes the calls of sc. Each call is repeated until it gets a definite answer or
// a minute has passed.
func runScenario(ctx context.Context, sc scenario, keys, instances int) (tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := startTrial(ctx, sc, instances)
	defer t.platform.Close()
	if err := t.setFault(sc.fault); err != nil {
		return tally{}, err
	}
	if sc.clearFaultAfter > 0 {
		time.AfterFunc(sc.clearFaultAfter, func() { _ = t.setFault(`{}`) })
	}
	ctx, cancelCalls := context.WithTimeout(ctx, time.Minute)
	defer cancelCalls()
	unanswered := t.makeCalls(ctx, keys)
	counts, err := t.countPlatformCalls()
	sum := tally{requests: t.requests, unanswered: unanswered, platformCalls: counts}
	for _, n := range t.runs {
		sum.keysRun++
		if n > 1 {
			sum.keysRunTwice++
		}
	}
	return sum, err
}

// startTrial starts the platform and the claimers.
func startTrial(ctx context.Context, sc scenario, instances int) *trial {
	p := platform.New(platform.Config{})
	t := &trial{sc: sc, platform: httptest.NewServer(p.Handler()), runs: map[claimer.Key]int{}}
	t.platform.Config.ErrorLog = nil
	address := netip.MustParseAddrPort(t.platform.Listener.Addr().String())
	for i := range instances {
		name := identifier.Instance(fmt.Sprintf("entry-%d", i))
		client := storeclient.New(storeclient.Config{Address: address, Instance: name, ReadsPerSecond: 10_000, WritesPerSecond: 10_000, Burst: 10_000})
		c := claimer.New(claimer.Config{Store: client, Instance: name})
		go func() { _ = c.Run(ctx) }()
		t.claimers = append(t.claimers, c)
	}
	return t
}

// makeCalls makes the calls with all keys concurrently and returns how many of them got no
// definite answer. A duplicate counts as a call of its own.
func (t *trial) makeCalls(ctx context.Context, keys int) int {
	var wg sync.WaitGroup
	unanswered := 0
	for n := range keys {
		key := claimer.Key{Account: "post", IdempotencyKey: fmt.Sprintf("renewal-%d", n)}
		for i, c := range t.claimers {
			if !t.sc.duplicates && i != n%len(t.claimers) {
				continue
			}
			wg.Go(func() {
				if !t.repeatUntilAnswered(ctx, c, key) {
					t.mu.Lock()
					defer t.mu.Unlock()
					unanswered++
				}
			})
		}
	}
	wg.Wait()
	return unanswered
}

// repeatUntilAnswered claims key at c, and runs the call if it is granted, until c replays a
// stored result or ctx ends. It reports whether c replayed a result.
func (t *trial) repeatUntilAnswered(ctx context.Context, c *claimer.Claimer, key claimer.Key) bool {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.requests++
		t.mu.Unlock()
		switch d := c.Claim(ctx, key, claimer.DigestOf("POST", "/renewals", nil)).(type) {
		case claimer.Granted:
			t.runCall(ctx, c, key, d)
		case claimer.Replay:
			return true
		case claimer.Open:
			time.Sleep(d.RetryAfter)
		case claimer.Unavailable:
			time.Sleep(d.RetryAfter)
		}
	}
	return false
}

// runCall counts a granted call as run, if it may still be sent, and stores its result.
func (t *trial) runCall(ctx context.Context, c *claimer.Claimer, key claimer.Key, g claimer.Granted) {
	var result claimer.Result = claimer.NotRun{}
	if g.MaySend(time.Now()) {
		t.mu.Lock()
		t.runs[key]++
		t.mu.Unlock()
		result = claimer.Answered{Status: http.StatusCreated}
	}
	_ = c.Settle(ctx, g.Token, result) // the claimer retries a result that it could not store, and the next claim shows the outcome
}

// setFault sets the platform's fault to a JSON document; an empty string changes nothing.
func (t *trial) setFault(fault string) error {
	if fault == "" {
		return nil
	}
	req, err := http.NewRequest(http.MethodPut, t.platform.URL+"/fault", strings.NewReader(fault))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// countPlatformCalls returns the number of calls that the platform received, by kind.
func (t *trial) countPlatformCalls() (map[string]int, error) {
	resp, err := http.Get(t.platform.URL + "/calls")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(resp.Body); err != nil {
		return nil, err
	}
	counts := map[string]int{}
	return counts, json.Unmarshal(text.Bytes(), &counts)
}
