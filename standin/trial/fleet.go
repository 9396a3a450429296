package trial

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"amaranthmill/standin/relayer"
	"amaranthmill/standin/spawner"

	"amaranthmill/standin/authority"
)

// The size of the trial's fleet.
const (
	groupsPerDomain      = 2
	groupSize            = 2
	idleEnginesPerDomain = 1
)

var failureDomains = []string{"fort-davis", "alpine", "marfa"}

// entry is one entry instance with the addresses on which it listens.
type entry struct {
	name, domain          string
	callers, admin, peers netip.AddrPort
	process               *spawner.Process
	platformLink          *relayer.Link            // carries its connections to the platform
	peerLinks             map[string]*relayer.Link // carry its connections to the other entry instances, by name
}

// endpoint is one engine or plain service.
type endpoint struct {
	name, domain string
	address      netip.AddrPort
	process      *spawner.Process
}

// fleet holds the processes of a trial, their addresses and their keys.
type fleet struct {
	bin, dir        string
	processes       spawner.Processes
	platformAddress netip.AddrPort
	entries         []*entry
	engines         []*endpoint
	service         *endpoint
	keys            map[string]credential // tokens of operators and the bearer key of the client account
	publicKey       string
	engineArgs      []string       // additional arguments of every engine
	callers         map[string]any // limits of callers in the settings of every entry instance; nil means the defaults
}

// credential is a bearer key or token with its digest, as millctl prints it.
type credential struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// newFleet assigns names and addresses. It starts no process.
func newFleet(bin, dir string) (*fleet, error) {
	f := &fleet{bin: bin, dir: dir, processes: spawner.Processes{Dir: dir}, keys: map[string]credential{}}
	perDomain := groupsPerDomain*groupSize + idleEnginesPerDomain
	ports, err := spawner.FreePorts(2 + len(failureDomains)*perDomain + 3*4)
	if err != nil {
		return nil, err
	}
	next := func() netip.AddrPort {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	f.platformAddress = next()
	f.service = &endpoint{name: "pad-ledger-1", domain: failureDomains[0], address: next()}
	for _, domain := range failureDomains {
		for i := range perDomain {
			f.engines = append(f.engines, &endpoint{name: fmt.Sprintf("engine-%s-%d", domain, i+1), domain: domain, address: next()})
		}
	}
	for i := range 4 {
		f.entries = append(f.entries, &entry{
			name: fmt.Sprintf("entry-%d", i+1), domain: failureDomains[i%len(failureDomains)],
			callers: next(), admin: next(), peers: next(),
		})
	}
	return f, nil
}

// startEndpoints starts the platform, the engines and the plain service.
func (f *fleet) startEndpoints() error {
	standin := filepath.Join(f.bin, "standin")
	if _, err := f.processes.Start("platform", standin, "platform", "--listen", f.platformAddress.String(), "--weightsPerSecond", "20"); err != nil {
		return err
	}
	var err error
	for _, e := range f.engines {
		args := append([]string{
			"engine", "--name", e.name, "--listen", e.address.String(), "--platform", f.platformAddress.String(),
			"--failureDomain", e.domain, "--fabricDomain", e.domain + "-rack", "--checksFence",
		}, f.engineArgs...)
		e.process, err = f.processes.Start(e.name, standin, args...)
		if err != nil {
			return err
		}
	}
	s := f.service
	s.process, err = f.processes.Start(s.name, standin, "service", "--name", s.name, "--service", "pad-ledger",
		"--listen", s.address.String(), "--platform", f.platformAddress.String(), "--failureDomain", s.domain)
	return err
}

// startEntries creates the certificates, links and settings files and starts the entry instances.
func (f *fleet) startEntries() error {
	a, err := authority.New()
	if err != nil {
		return err
	}
	var members []authority.Identity
	for _, e := range f.entries {
		members = append(members, authority.Identity{Instance: e.name, FailureDomain: e.domain})
	}
	if err := a.Write(f.dir, members); err != nil {
		return err
	}
	if err := f.createLinks(); err != nil {
		return err
	}
	for _, e := range f.entries {
		if err := f.writeSettings(e, f.settingsPath(e)); err != nil {
			return err
		}
		if err := f.startEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) settingsPath(e *entry) string { return filepath.Join(f.dir, e.name+".json") }

// startEntry starts an entry instance. Its settings file must exist.
func (f *fleet) startEntry(e *entry) error {
	var err error
	e.process, err = f.processes.Start(e.name, filepath.Join(f.bin, "amaranthmill"), f.settingsPath(e))
	return err
}

// writeSettings writes the settings file of one entry instance.
func (f *fleet) writeSettings(e *entry, path string) error {
	type object = map[string]any
	var peers []object
	for _, p := range f.entries {
		if p != e {
			peers = append(peers, object{"instance": p.name, "failureDomain": p.domain, "address": e.peerLinks[p.name].Address()})
		}
	}
	operator := func(name, role string) object {
		return object{"name": name, "roles": []string{role}, "tokenDigest": f.keys[name].Digest}
	}
	settings := object{
		"instance": e.name, "failureDomain": e.domain,
		"listen":   object{"callers": e.callers, "administration": e.admin, "peers": e.peers},
		"platform": object{"address": e.platformLink.Address()},
		"peers":    peers,
		"tls": object{
			"certificate": filepath.Join(f.dir, e.name+".pem"), "key": filepath.Join(f.dir, e.name+".key"),
			"authorities": filepath.Join(f.dir, "authorities.pem"),
		},
		"signers":      []object{{"name": "vera", "publicKey": f.publicKey}},
		"operators":    []object{operator("abel", "author"), operator("vera", "signer"), operator("ruth", "reader")},
		"fenceChecked": []string{"fort-davis-rack", "alpine-rack", "marfa-rack"},
	}
	if f.callers != nil {
		settings["callers"] = f.callers
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}

// createLinks creates the links between the entry instances and to the platform.
func (f *fleet) createLinks() error {
	var err error
	for _, e := range f.entries {
		if e.platformLink, err = relayer.New(f.platformAddress); err != nil {
			return err
		}
		e.peerLinks = map[string]*relayer.Link{}
		for _, p := range f.entries {
			if e.peerLinks[p.name], err = relayer.New(p.peers); err != nil {
				return err
			}
		}
	}
	return nil
}

// entriesIn returns the entry instances of a failure domain.
func (f *fleet) entriesIn(domain string) []*entry {
	var out []*entry
	for _, e := range f.entries {
		if e.domain == domain {
			out = append(out, e)
		}
	}
	return out
}

// partition cuts every link of entry instances that leaves or enters a failure domain.
func (f *fleet) partition(domain string) { f.forEachLink(domain, (*relayer.Link).Cut) }

// reconnect restores every link that partition cuts.
func (f *fleet) reconnect(domain string) { f.forEachLink(domain, (*relayer.Link).Restore) }

// forEachLink applies a function to every link of entry instances that leaves or enters a failure domain.
func (f *fleet) forEachLink(domain string, apply func(*relayer.Link)) {
	for _, e := range f.entries {
		if e.domain == domain {
			apply(e.platformLink)
		}
		for _, p := range f.entries {
			if (e.domain == domain) != (p.domain == domain) {
				apply(e.peerLinks[p.name])
			}
		}
	}
}
