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

// scenario is a way to make the calls.
type scenario struct {
	name       string
	duplicates bool   // each key arrives at every instance at once
	fault      string // set at the platform before the calls, as it takes it
	mended     time.Duration
}

var scenarios = []scenario{
	{name: "one arrival a key"},
	{name: "at every instance at once", duplicates: true},
	{name: "the same, answers lost", duplicates: true, fault: `{"loseAnswers":20}`},
	{name: "the same, slow by 100 ms", duplicates: true, fault: `{"delay":"100ms"}`},
	{name: "the same, down for 2 s", duplicates: true, fault: `{"down":true}`, mended: 2 * time.Second},
}

// tally is what came of the calls.
type tally struct {
	requests, ran, twice, open int
	calls                      map[string]int // at the platform, by kind
}

// trial is one run: the platform, the claimers, and the service that counts what it runs.
type trial struct {
	sc       scenario
	platform *httptest.Server
	claimers []*claimer.Claimer

	mu       sync.Mutex
	runs     map[claimer.Key]int
	requests int
}

// run makes the calls, each again until it has a definite answer or a minute has passed.
func run(ctx context.Context, sc scenario, keys, instances int) (tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := start(ctx, sc, instances)
	defer t.platform.Close()
	if err := t.setFault(sc.fault); err != nil {
		return tally{}, err
	}
	if sc.mended > 0 {
		time.AfterFunc(sc.mended, func() { _ = t.setFault(`{}`) })
	}
	ctx, cancelCalls := context.WithTimeout(ctx, time.Minute)
	defer cancelCalls()
	open := t.call(ctx, keys)
	counts, err := t.platformCalls()
	sum := tally{requests: t.requests, open: open, calls: counts}
	for _, n := range t.runs {
		sum.ran++
		if n > 1 {
			sum.twice++
		}
	}
	return sum, err
}

// start starts the platform and the claimers.
func start(ctx context.Context, sc scenario, instances int) *trial {
	p := platform.New(platform.Config{})
	t := &trial{sc: sc, platform: httptest.NewServer(p.Handler()), runs: map[claimer.Key]int{}}
	t.platform.Config.ErrorLog = nil
	address := netip.MustParseAddrPort(t.platform.Listener.Addr().String())
	for i := range instances {
		name := identifier.Instance(fmt.Sprintf("entry-%d", i))
		k := storeclient.New(storeclient.Config{Address: address, Instance: name, ReadsPerSecond: 10_000, WritesPerSecond: 10_000, Burst: 10_000})
		c := claimer.New(claimer.Config{Store: k, Instance: name})
		go func() { _ = c.Run(ctx) }()
		t.claimers = append(t.claimers, c)
	}
	return t
}

// call makes the calls of all keys at once and returns how many arrivals got no definite answer.
func (t *trial) call(ctx context.Context, keys int) int {
	var wg sync.WaitGroup
	open := 0
	for n := range keys {
		key := claimer.Key{Account: "post", IdempotencyKey: fmt.Sprintf("renewal-%d", n)}
		for i, c := range t.claimers {
			if !t.sc.duplicates && i != n%len(t.claimers) {
				continue
			}
			wg.Go(func() {
				if !t.until(ctx, c, key) {
					t.mu.Lock()
					defer t.mu.Unlock()
					open++
				}
			})
		}
	}
	wg.Wait()
	return open
}

// until repeats one arrival until it is answered for good.
func (t *trial) until(ctx context.Context, c *claimer.Claimer, key claimer.Key) bool {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.requests++
		t.mu.Unlock()
		switch d := c.Claim(ctx, key, claimer.DigestOf("POST", "/renewals", nil)).(type) {
		case claimer.Granted:
			t.serve(ctx, c, key, d)
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

// serve runs a granted call at the counting service and stores its result.
func (t *trial) serve(ctx context.Context, c *claimer.Claimer, key claimer.Key, g claimer.Granted) {
	var result claimer.Result = claimer.NotRun{}
	if g.MaySend(time.Now()) {
		t.mu.Lock()
		t.runs[key]++
		t.mu.Unlock()
		result = claimer.Answered{Status: http.StatusCreated}
	}
	_ = c.Settle(ctx, g.Token, result) // a result that is not stored is tried anew, and the next arrival shows it
}

// setFault sets what goes wrong at the platform.
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

// platformCalls returns the calls that the platform saw, by kind.
func (t *trial) platformCalls() (map[string]int, error) {
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
