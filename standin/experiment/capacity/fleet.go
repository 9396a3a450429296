package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/standin/authority"
	"amaranthmill/standin/engine"
	"amaranthmill/standin/platform"
)

// Sizes, names and times of the fleet, which is one failure domain.
const (
	failureDomain          = "alpine"
	groupSize              = 4
	enginesPerFabricDomain = 24 // engines of one rack, which is a fabric domain
	clockTick              = 10 * time.Millisecond
	readyTimeout           = time.Minute
)

// object is a JSON object.
type object = map[string]any

// entry is an entry instance that runs as a separate process.
type entry struct {
	name                      string
	adminAddress, peerAddress netip.AddrPort
	callerAddress             netip.AddrPort
	cmd                       *exec.Cmd
}

// fleet is one failure domain. Its entry instances are separate processes; its engines and the
// platform stand-in run in this process.
type fleet struct {
	dir             string
	platform        string
	platformTraffic traffic // between the platform and its clients
	engineTraffic   traffic // between the engines and their clients
	entries         []*entry
	fabricDomains   []string
	cleanups        []func()
}

func startFleet(dir string, instances, engines int) (*fleet, error) {
	f := &fleet{dir: dir}
	if err := f.startPlatform(); err != nil {
		return f, err
	}
	for i := range engines {
		if err := f.startEngine(i); err != nil {
			return f, err
		}
	}
	signer, err := f.putBundle(engines / groupSize)
	if err != nil {
		return f, err
	}
	for i := 0; i < engines; i += enginesPerFabricDomain {
		f.fabricDomains = append(f.fabricDomains, fabricDomainOf(i))
	}
	return f, f.prepareEntries(instances, signer)
}

func (f *fleet) stop() {
	for _, e := range f.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
		}
	}
	for _, stop := range f.cleanups {
		stop()
	}
}

// serveCounted serves the handler that h returns for the address, on a free port of the
// loopback interface, and adds its traffic to t.
func (f *fleet) serveCounted(h func(netip.AddrPort) http.Handler, t *traffic) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	s := &http.Server{Handler: h(address)}
	go func() { _ = s.Serve(countingListener{Listener: l, traffic: t}) }()
	f.cleanups = append(f.cleanups, func() { _ = s.Close() })
	return address, nil
}

func (f *fleet) startPlatform() error {
	p := platform.New(platform.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	f.cleanups = append(f.cleanups, cancel)
	go func() { _ = p.Run(ctx) }()
	address, err := f.serveCounted(func(netip.AddrPort) http.Handler { return p.Handler() }, &f.platformTraffic)
	f.platform = "http://" + address.String()
	return err
}

func (f *fleet) startEngine(i int) error {
	name := fmt.Sprintf("engine-%03d", i)
	platformAddress, err := netip.ParseAddrPort(strings.TrimPrefix(f.platform, "http://"))
	if err != nil {
		return err
	}
	address, err := f.serveCounted(func(a netip.AddrPort) http.Handler {
		return engine.New(engine.Config{Name: name, Address: a, Platform: platformAddress, ChecksFence: true}).Handler()
	}, &f.engineTraffic)
	if err != nil {
		return err
	}
	return f.put("/instances/"+name, object{
		"name": name, "kind": "engine", "address": address, "failureDomain": failureDomain,
		"fabricDomain": fabricDomainOf(i), "state": "live", "accelerators": 1,
	})
}

func fabricDomainOf(engine int) string { return fmt.Sprintf("rack-%d", engine/enginesPerFabricDomain) }

func (f *fleet) put(path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, f.platform+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("capacity: PUT %s: %s", path, res.Status)
	}
	return nil
}

// putBundle writes a signed bundle with the given number of groups to the platform's store as
// the current bundle, and returns the signer's public key.
func (f *fleet) putBundle(groups int) (string, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return "", err
	}
	content, err := json.Marshal(object{
		"version": 1, "previous": 0, "author": "abel", "note": "capacity",
		"pools": []object{{
			"name": "guides", "base": "guide-70b", "version": "2026-11", "groupSize": groupSize, "priority": 5,
			"groups": []object{{"failureDomain": failureDomain, "count": groups}},
		}},
		"models":   []object{{"name": "mill-guides", "pool": "guides", "deadline": "20s"}},
		"services": []object{},
		"accounts": []object{},
		"repair":   object{"groupDowntime": 2, "strandedAccelerators": 1},
	})
	if err != nil {
		return "", err
	}
	document, err := bundler.EncodeDocument(content, "vera", bundler.Sign(private, bundler.DigestOf(content)))
	if err != nil {
		return "", err
	}
	return bundler.EncodePublicKey(public), f.put("/kv/bundles/current?revision=0", object{"value": document})
}

func (f *fleet) prepareEntries(n int, signer string) error {
	a, err := authority.New()
	if err != nil {
		return err
	}
	var members []authority.Identity
	for i := range n {
		e := &entry{name: fmt.Sprintf("entry-%02d", i)}
		for _, port := range []*netip.AddrPort{&e.adminAddress, &e.peerAddress, &e.callerAddress} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			*port = l.Addr().(*net.TCPAddr).AddrPort()
			defer l.Close()
		}
		f.entries = append(f.entries, e)
		members = append(members, authority.Identity{Instance: e.name, FailureDomain: failureDomain})
	}
	if err := a.Write(f.dir, members); err != nil {
		return err
	}
	for _, e := range f.entries {
		if err := f.writeSettings(e, signer); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) writeSettings(e *entry, signer string) error {
	var peers []object
	for _, p := range f.entries {
		if p != e {
			peers = append(peers, object{"instance": p.name, "failureDomain": failureDomain, "address": p.peerAddress})
		}
	}
	b, err := json.Marshal(object{
		"instance": e.name, "failureDomain": failureDomain,
		"listen":   object{"callers": e.callerAddress, "administration": e.adminAddress, "peers": e.peerAddress},
		"platform": object{"address": strings.TrimPrefix(f.platform, "http://")},
		"peers":    peers,
		"tls": object{
			"certificate": filepath.Join(f.dir, e.name+".pem"), "key": filepath.Join(f.dir, e.name+".key"),
			"authorities": filepath.Join(f.dir, "authorities.pem"),
		},
		"fenceChecked": f.fabricDomains,
		"signers":      []object{{"name": "vera", "publicKey": signer}},
		"operators":    []object{{"name": "ruth", "roles": []string{"reader"}, "tokenDigest": strings.Repeat("0", 64)}},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.dir, e.name+".json"), b, 0o600)
}

// launchEntries starts the processes and waits until all are ready. The processes write their
// output to one log file each in f.dir.
func (f *fleet) launchEntries(program string) error {
	for _, e := range f.entries {
		log, err := os.Create(filepath.Join(f.dir, e.name+".log"))
		if err != nil {
			return err
		}
		e.cmd = exec.Command(program, filepath.Join(f.dir, e.name+".json"))
		e.cmd.Stdout, e.cmd.Stderr = log, log
		if err := e.cmd.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, e := range f.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return errors.New("capacity: an instance did not become ready: " + e.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

func (e *entry) isReady() bool {
	res, err := http.Get("http://" + e.adminAddress.String() + "/readyz")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// sumMetric reads the metrics of e and returns the sum of the samples whose lines start with name
// and contain text.
func (e *entry) sumMetric(name, text string) (float64, error) {
	res, err := http.Get("http://" + e.adminAddress.String() + "/metrics")
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	var sum float64
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, name) || !strings.Contains(line, text) {
			continue
		}
		fields := strings.Fields(line)
		v, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}
