package hosted_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthmill/standin/hosted"
	"amaranthmill/standin/relayer"
	"amaranthmill/standin/spawner"
)

// fixtureConfig holds the sizes of a fixture.
type fixtureConfig struct {
	instances, engines int // at least two groups of two engines each are formed
	plainEndpoints     int // beside the first one
	retrySlack         int
	hasLinks           bool // the instances reach each engine over a link
	hasStoreLinks      bool // each instance reaches the store over a link of its own
	memoryMB           int  // of an instance's machine; zero for the default
	descriptors        int  // that an instance may open; zero for no limit of the test

	limits func(*hosted.Limits) // changes the limits of callers; nil leaves the default
}

// fixture is a platform with instances, engines and an endpoint of the plain service.
type fixture struct {
	t         *testing.T
	platform  *hosted.Platform
	instances []*instance
	cfg       fixtureConfig
	requests  int                      // sent by plainEndpoints or hold
	links     map[string]*relayer.Link // to engines, by engine ID, and to the store, by the name of the instance
}

// instance is a process of the program.
type instance struct {
	name, callers, readiness string
	peers                    netip.AddrPort
	source                   netip.Addr // from which it connects, if the fixture has links to the engines
	command                  *exec.Cmd
	mu                       sync.Mutex
	output                   bytes.Buffer
	exit                     chan error
}

// Write appends the standard output and standard error of the process to the log.
func (i *instance) Write(p []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.output.Write(p)
}

func (i *instance) log() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.output.String()
}

// newFixture returns a fixture with six engines, which are more than two groups need.
func newFixture(t *testing.T, instances int) *fixture {
	return startFixture(t, fixtureConfig{instances: instances, engines: 6, retrySlack: hosted.RetrySlack})
}

func startFixture(t *testing.T, cfg fixtureConfig) *fixture {
	p, err := hosted.Start([]hosted.Model{{Name: "small", GroupSize: 2}})
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, platform: p, cfg: cfg, links: map[string]*relayer.Link{}}
	t.Cleanup(f.close)
	if cfg.limits != nil {
		cfg.limits(&p.Limits)
		p.Configure(2, hosted.APIKey)
	}
	if cfg.hasLinks {
		p.ListedAddress = f.addLink
	}
	for i := range cfg.engines {
		f.add(fmt.Sprintf("e%d", i), "d1")
	}
	for i := range 1 + cfg.plainEndpoints {
		f.add(fmt.Sprintf("ledger-%d", i+1), "")
	}
	for i := range cfg.instances {
		f.start(fmt.Sprintf("entry-%d", i+1))
	}
	for _, i := range f.instances {
		f.await("readiness of "+i.name, func() bool { return getStatus("http://"+i.readiness+"/ready") == http.StatusOK })
	}
	f.await("two groups", func() bool { return f.countHeads() >= 2 })
	for _, i := range f.instances {
		f.await("a stream at "+i.name, func() bool {
			resp, err := f.request(i, http.MethodPost, "/guides/first", "first", hosted.APIKey)
			return err == nil && readCompleteStream(resp, func(int) {}) == nil
		})
	}
	return f
}

func (f *fixture) add(id, domain string) *hosted.Engine {
	e, err := f.platform.AddEngine(id, "here", domain, 40)
	if err != nil {
		f.t.Fatal(err)
	}
	return e
}

// addLink creates a link to an engine's address and returns the link's address.
func (f *fixture) addLink(id, address string) (string, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	if f.links[id], err = relayer.New(to); err != nil {
		return "", err
	}
	return f.links[id].Address().String(), nil
}

func (f *fixture) close() {
	for _, i := range f.instances {
		_ = i.command.Process.Kill()
		<-i.exit
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", i.name, i.log())
		}
	}
	f.platform.Close()
	for _, l := range f.links {
		l.Close()
	}
}

// start starts an instance on free ports of loopback.
func (f *fixture) start(name string) *instance {
	ports, err := spawner.FreePorts(hosted.PortsPerInstance)
	if err != nil {
		f.t.Fatal(err)
	}
	i := &instance{name: name, callers: ports[0].String(), readiness: ports[1].String(), peers: ports[2], exit: make(chan error, 1)}
	i.source = netip.AddrFrom4([4]byte{127, 0, 0, byte(firstSource + len(f.instances))})
	settings := hosted.InstanceSettings{Name: name, Ports: ports, Store: f.storeAddress(name), StopLimit: 8 * time.Second, RetrySlack: f.cfg.retrySlack, MemoryMB: f.cfg.memoryMB}
	if f.cfg.hasLinks {
		settings.Source = i.source
	}
	text, err := settings.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.t.TempDir(), name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	i.command = exec.Command(binary, "--hosted", path)
	if n := f.cfg.descriptors; n > 0 {
		i.command = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, fmt.Sprint(n), binary, "--hosted", path)
	}
	i.command.Stdout, i.command.Stderr = i, i
	if err := i.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { i.exit <- i.command.Wait() }()
	f.instances = append(f.instances, i)
	return i
}

// storeAddress returns the address at which an instance reaches the store.
func (f *fixture) storeAddress(name string) netip.AddrPort {
	store := netip.MustParseAddrPort(f.platform.Address())
	if !f.cfg.hasStoreLinks {
		return store
	}
	link, err := relayer.New(store)
	if err != nil {
		f.t.Fatal(err)
	}
	f.links[name] = link
	return link.Address()
}

// await waits until ok returns true, and fails the test after waitLimit.
func (f *fixture) await(what string, ok func() bool) {
	f.t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); <-tick.C {
		if ok() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

func getStatus(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// countHeads returns the number of groups that serve, which is the number of open heads.
func (f *fixture) countHeads() int {
	n := 0
	for _, e := range f.platform.Engines() {
		if e.IsHead() {
			n++
		}
	}
	return n
}

func (f *fixture) request(i *instance, method, path, id, key string) (*http.Response, error) {
	r, err := http.NewRequest(method, "http://"+i.callers+path, nil)
	if err != nil {
		return nil, err
	}
	setRequestHeader(r, id, key)
	return http.DefaultClient.Do(r)
}

// setRequestHeader sets the host and the header fields of a request of a caller.
func setRequestHeader(r *http.Request, id, key string) {
	r.Host = hosted.Host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Remaining", "8000")
	r.Header.Set("X-Model", "small")
	r.Header.Set("X-Token-Counts", "100,200")
	r.Header.Set("Authorization", "Token "+key)
}

// readCompleteStream reads a stream to its end and checks that each event occurs once and in
// order. It calls onEvent with the number of events read so far.
func readCompleteStream(resp *http.Response, onEvent func(n int)) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	in := bufio.NewReader(resp.Body)
	n := 0
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if strings.TrimSpace(id) != fmt.Sprint(n) {
				return fmt.Errorf("event %s after %d", id, n-1)
			}
			n++
			onEvent(n)
		}
	}
	if n != 40 {
		return fmt.Errorf("%d events", n)
	}
	return nil
}

// killMember kills a running engine that is not the head of an open group.
func (f *fixture) killMember() {
	for _, e := range f.platform.Engines() {
		if e.Domain != "" && !e.IsHead() && !e.IsDead() {
			e.Kill()
			return
		}
	}
}
