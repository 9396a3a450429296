package soak

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"

	"amaranthmill/standin/hosted"
	"amaranthmill/standin/relayer"
	"amaranthmill/standin/spawner"
)

// instance is an instance's process and its links.
type instance struct {
	number   int
	settings string        // path of the settings file
	callers  *relayer.Link // from callers to the instance
	store    *relayer.Link // from the instance to the store

	mu      sync.Mutex // held while the process is stopped, frozen or replaced
	process *spawner.Process
}

// addLink creates a link to an engine's address and returns the link's address.
func (s *soak) addLink(id, address string) (string, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	l, err := relayer.New(to)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[id] = l
	for _, cut := range s.cuts {
		cut(l)
	}
	return l.Address().String(), nil
}

// addEngine starts an engine without weights in a fabric domain, or an endpoint of the plain
// service if domain is empty.
func (s *soak) addEngine(domain string) {
	s.mu.Lock()
	s.enginesAdded++
	id, zone := fmt.Sprintf("e%d", s.enginesAdded), s.zoneOf(domain)
	s.mu.Unlock()
	e, err := s.platform.AddEngine(id, zone, domain, events)
	if err != nil {
		s.record.addViolation("engine %s: %v", id, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, e)
}

// liveEngine returns a running engine or plain endpoint by number, or the first one that was
// started if none runs.
func (s *soak) liveEngine(n int) *hosted.Engine {
	return s.pickLive(n, func(*hosted.Engine) bool { return true })
}

// livePlainEndpoint returns a running endpoint of the plain service by number, or the first
// engine that was started if no such endpoint runs.
func (s *soak) livePlainEndpoint(n int) *hosted.Engine {
	return s.pickLive(n, func(e *hosted.Engine) bool { return e.Domain == "" })
}

// pickLive returns a running engine or endpoint that matches, by number, or the first one
// that was started if none matches.
func (s *soak) pickLive(n int, matches func(*hosted.Engine) bool) *hosted.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var alive []*hosted.Engine
	for _, e := range s.engines {
		if !e.IsDead() && matches(e) {
			alive = append(alive, e)
		}
	}
	if len(alive) == 0 {
		return s.engines[0]
	}
	return alive[n%len(alive)]
}

// instance returns an instance by number, modulo the count of instances.
func (s *soak) instance(n int) *instance { return s.instances[n%len(s.instances)] }

// link returns a link and the number of the instance that a fault of the link disrupts, or
// allEngines.
func (s *soak) link(l Link) (*relayer.Link, int) {
	switch l.Kind {
	case ToCallers:
		i := s.instance(l.Number)
		return i.callers, i.number
	case ToStore:
		i := s.instance(l.Number)
		return i.store, i.number
	default:
		e := s.liveEngine(l.Number)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.links[e.ID], allEngines
	}
}

// newInstance creates an instance's links, writes its settings file and starts it.
func (s *soak) newInstance(n int) error {
	ports, err := spawner.FreePorts(hosted.PortsPerInstance)
	if err != nil {
		return err
	}
	i := &instance{number: n, settings: filepath.Join(s.cfg.Dir, fmt.Sprintf("entry-%d.json", n))}
	if i.callers, err = relayer.New(ports[0]); err != nil {
		return err
	}
	if i.store, err = relayer.New(netip.MustParseAddrPort(s.platform.Address())); err != nil {
		return err
	}
	text, err := hosted.InstanceSettings{Name: fmt.Sprintf("entry-%d", n), Ports: ports, Store: i.store.Address(), Source: sourceOf(n), StopLimit: stopLimit, RetrySlack: s.cfg.retrySlack(), Cold: s.platform.Cold, LinkMbps: s.cfg.linkMbps(n)}.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.settings, text, 0o600); err != nil {
		return err
	}
	s.instances = append(s.instances, i)
	s.start(i)
	return nil
}

// start starts an instance's process. It records a violation if that fails.
func (s *soak) start(i *instance) {
	if i.process != nil {
		s.editSettings(i, `"firstStart":true`, `"firstStart":false`)
	}
	p, err := s.processes.Start(fmt.Sprintf("entry-%d", i.number), s.cfg.Binary, "--hosted", i.settings)
	if err != nil {
		s.record.addViolation("instance %d: %v", i.number, err)
		return
	}
	i.process = p
}

func (s *soak) close() {
	s.processes.KillAll()
	for _, i := range s.instances {
		i.callers.Close()
		i.store.Close()
	}
	for _, l := range s.links {
		l.Close()
	}
}
