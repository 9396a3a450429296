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
	// propagationTimeout bounds the wait until a version is in force on every instance.
	propagationTimeout = 30 * time.Second
	pollInterval       = time.Millisecond
	// changeInterval keeps the changes within an instance's rate limit for calls to the platform.
	changeInterval = time.Second
)

// settings holds the values of the flags.
type settings struct {
	instances, withoutPlatform, changes int
	seed                                uint64
}

func main() {
	var s settings
	flag.IntVar(&s.instances, "instances", 4, "entry instances")
	flag.IntVar(&s.withoutPlatform, "cut", 0, "instances of them that do not reach the platform")
	flag.IntVar(&s.changes, "changes", 20, "versions accepted one after another")
	flag.Uint64Var(&s.seed, "seed", 1, "seed of jitter")
	flag.Parse()
	if err := measure(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet holds the instances and their platform stand-in.
type fleet struct {
	instances         []*instance
	platform          *httptest.Server
	receivedDocuments atomic.Int64
}

func measure(s settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fleet{platform: httptest.NewServer(platform.New(platform.Config{}).Handler())}
	if err := f.start(ctx, s); err != nil {
		return err
	}
	var times []time.Duration
	callsBefore, receivedBefore := f.countCalls(), int64(0)
	for v := range identifier.BundleVersion(s.changes) {
		if v == 1 { // not measured: watches and sessions between instances may not be open at the first version
			callsBefore, receivedBefore = f.countCalls(), f.receivedDocuments.Load()
		}
		time.Sleep(changeInterval)
		elapsed, err := f.changeBundle(ctx, v+1)
		if err != nil {
			return err
		}
		if v > 0 {
			times = append(times, elapsed)
		}
	}
	printReport(s, times, subtract(f.countCalls(), callsBefore), f.receivedDocuments.Load()-receivedBefore)
	return f.printTrailEntrySize(ctx)
}

// printTrailEntrySize prints the mean size of the entries on the last page of the audit trail.
func (f *fleet) printTrailEntrySize(ctx context.Context) error {
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

// start starts the instances. The last s.withoutPlatform of them get an address where no
// platform listens.
func (f *fleet) start(ctx context.Context, s settings) error {
	platformAddress := netip.MustParseAddrPort(f.platform.Listener.Addr().String())
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	for n := range s.instances {
		address := platformAddress
		if n >= s.instances-s.withoutPlatform {
			address = unreachable
		}
		i, err := newInstance(ctx, n, address, s.seed, &f.receivedDocuments)
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

// changeBundle proposes version v at the first instance and signs it off there. It returns the
// time from the sign-off until v is in force on every instance.
func (f *fleet) changeBundle(ctx context.Context, v identifier.BundleVersion) (time.Duration, error) {
	content, err := sampleBundle(bundleSizes[len(bundleSizes)-1], v, v-1)
	if err != nil {
		return 0, err
	}
	_, key := makeSigner()
	if _, err := f.instances[0].registrar.Propose(ctx, "ada", content); err != nil {
		return 0, err
	}
	start := time.Now()
	if _, err := f.instances[0].registrar.SignOff(ctx, v, signerName, bundler.Sign(key, bundler.DigestOf(content))); err != nil {
		return 0, err
	}
	for !f.isInForceEverywhere(v) {
		if time.Since(start) > propagationTimeout {
			return 0, fmt.Errorf("version %d is not in force everywhere after %s", v, propagationTimeout)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), nil
}

func (f *fleet) isInForceEverywhere(v identifier.BundleVersion) bool {
	return !slices.ContainsFunc(f.instances, func(i *instance) bool {
		version, _ := i.store.EncodedDocument()
		return version < v
	})
}

// countCalls returns the number of calls that the platform received, by kind. The map is empty
// if the platform does not answer.
func (f *fleet) countCalls() map[string]int {
	counts := map[string]int{}
	resp, err := http.Get(f.platform.URL + "/calls")
	if err != nil {
		return counts
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&counts) // the stand-in sends valid JSON
	return counts
}

func subtract(after, before map[string]int) map[string]int {
	for kind, n := range before {
		after[kind] -= n
	}
	return after
}

func printReport(s settings, times []time.Duration, calls map[string]int, received int64) {
	slices.Sort(times)
	n := float64(len(times))
	fmt.Printf("instances=%d cut=%d changes=%d seed=%d\n", s.instances, s.withoutPlatform, len(times), s.seed)
	fmt.Printf("sign-off to in force everywhere: median %s, longest %s\n", times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	for _, kind := range []string{"read", "write", "watch"} {
		fmt.Printf("platform %s calls a change: %.1f\n", kind, float64(calls[kind])/n)
	}
	fmt.Printf("documents from peers a change: %.1f\n", float64(received)/n)
}
