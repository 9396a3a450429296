package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/standin/platform"
)

const (
	failureDomains = 3
	// everywhereWithin is how long the measurement waits for a version.
	everywhereWithin = 30 * time.Second
	pollEvery        = time.Millisecond
	// changeEvery keeps the changes within an instance's budget of calls.
	changeEvery = time.Second
)

// settings are the flags.
type settings struct {
	instances, cut, changes int
	seed                    uint64
}

func main() {
	var s settings
	flag.IntVar(&s.instances, "instances", 4, "entry instances")
	flag.IntVar(&s.cut, "cut", 0, "instances of them that do not reach the platform")
	flag.IntVar(&s.changes, "changes", 20, "versions accepted one after another")
	flag.Uint64Var(&s.seed, "seed", 1, "seed of jitter")
	flag.Parse()
	if err := measure(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet is the instances and their platform.
type fleet struct {
	instances []*instance
	service   *httptest.Server
	received  atomic.Int64
}

func measure(s settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fleet{service: httptest.NewServer(platform.New(platform.Config{}).Handler())}
	if err := f.start(ctx, s); err != nil {
		return err
	}
	var times []time.Duration
	before, received := f.calls(), int64(0)
	for v := range identifier.BundleVersion(s.changes) {
		if v == 1 { // the first version finds watches and links that are not up yet
			before, received = f.calls(), f.received.Load()
		}
		time.Sleep(changeEvery)
		took, err := f.change(ctx, v+1)
		if err != nil {
			return err
		}
		if v > 0 {
			times = append(times, took)
		}
	}
	report(s, times, subtract(f.calls(), before), f.received.Load()-received)
	return f.reportTrail(ctx)
}

// reportTrail prints how large the entries of the audit trail are.
func (f *fleet) reportTrail(ctx context.Context) error {
	page, err := f.instances[0].trail.Last(ctx)
	if err != nil {
		return err
	}
	text, err := json.Marshal(page)
	if err != nil {
		return err
	}
	fmt.Printf("audit trail bytes an entry: %d\n", len(text)/len(page.Entries))
	return nil
}

// start runs the instances; the last ones are those that do not reach the platform.
func (f *fleet) start(ctx context.Context, s settings) error {
	reached := netip.MustParseAddrPort(f.service.Listener.Addr().String())
	nobody := netip.MustParseAddrPort("127.0.0.1:1")
	for n := range s.instances {
		address := reached
		if n >= s.instances-s.cut {
			address = nobody
		}
		i, err := newInstance(ctx, n, address, s.seed, &f.received)
		if err != nil {
			return err
		}
		f.instances = append(f.instances, i)
	}
	var peers []linker.Peer
	for _, i := range f.instances {
		peers = append(peers, i.peer)
	}
	for _, i := range f.instances {
		i.linker.SetPeers(peers)
	}
	return nil
}

// change has a version accepted at the first instance and waits until it is in force everywhere.
func (f *fleet) change(ctx context.Context, v identifier.BundleVersion) (time.Duration, error) {
	content, err := sample(sizes[len(sizes)-1], v, v-1)
	if err != nil {
		return 0, err
	}
	_, key := signer()
	if _, err := f.instances[0].registrar.Propose(ctx, "ada", content); err != nil {
		return 0, err
	}
	start := time.Now()
	if _, err := f.instances[0].registrar.SignOff(ctx, v, signerName, bundler.Sign(key, bundler.DigestOf(content))); err != nil {
		return 0, err
	}
	for !f.everywhere(v) {
		if time.Since(start) > everywhereWithin {
			return 0, fmt.Errorf("version %d is not in force everywhere after %s", v, everywhereWithin)
		}
		time.Sleep(pollEvery)
	}
	return time.Since(start), nil
}

func (f *fleet) everywhere(v identifier.BundleVersion) bool {
	return !slices.ContainsFunc(f.instances, func(i *instance) bool {
		version, _ := i.store.EncodedDocument()
		return version < v
	})
}

// calls reads the platform's count of its calls.
func (f *fleet) calls() map[string]int {
	counts := map[string]int{}
	resp, err := http.Get(f.service.URL + "/calls")
	if err != nil {
		return counts
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&counts) // the stand-in's answer decodes
	return counts
}

func subtract(after, before map[string]int) map[string]int {
	for kind, n := range before {
		after[kind] -= n
	}
	return after
}

func report(s settings, times []time.Duration, calls map[string]int, received int64) {
	slices.Sort(times)
	n := float64(len(times))
	fmt.Printf("instances=%d cut=%d changes=%d seed=%d\n", s.instances, s.cut, len(times), s.seed)
	fmt.Printf("sign-off to in force everywhere: median %s, longest %s\n", times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	for _, kind := range []string{"read", "write", "watch"} {
		fmt.Printf("platform %s calls a change: %.1f\n", kind, float64(calls[kind])/n)
	}
	fmt.Printf("documents from peers a change: %.1f\n", float64(received)/n)
}
