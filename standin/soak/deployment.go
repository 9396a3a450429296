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

// instance is one process and its links.
type instance struct {
	number   int
	settings string
	callers  *relayer.Link
	store    *relayer.Link

	mu      sync.Mutex // held while the process changes
	process *spawner.Process
}

// reach puts a link before an engine.
func (s *soak) reach(id, address string) (string, error) {
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
	return l.Address().String(), nil
}

// add starts an empty engine of a domain, or an endpoint of the plain service for none.
func (s *soak) add(domain string) {
	s.mu.Lock()
	s.added++
	id := fmt.Sprintf("e%d", s.added)
	s.mu.Unlock()
	e, err := s.platform.AddEngine(id, "here", domain, events)
	if err != nil {
		s.record.fault("engine %s: %v", id, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, e)
}

// engine returns an engine that lives, by number, or the first one of all. It may be one of the plain service.
func (s *soak) engine(n int) *hosted.Engine {
	return s.alive(n, func(*hosted.Engine) bool { return true })
}

// plainEngine returns an endpoint of the plain service that lives, by number, or the first engine of all.
func (s *soak) plainEngine(n int) *hosted.Engine {
	return s.alive(n, func(e *hosted.Engine) bool { return e.Domain == "" })
}

func (s *soak) alive(n int, fits func(*hosted.Engine) bool) *hosted.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var alive []*hosted.Engine
	for _, e := range s.engines {
		if !e.IsDead() && fits(e) {
			alive = append(alive, e)
		}
	}
	if len(alive) == 0 {
		return s.engines[0]
	}
	return alive[n%len(alive)]
}

func (s *soak) instance(n int) *instance { return s.instances[n%len(s.instances)] }

// link returns a link, and the instance that is in trouble if it is.
func (s *soak) link(l Link) (*relayer.Link, int) {
	switch l.Kind {
	case ToCallers:
		i := s.instance(l.Number)
		return i.callers, i.number
	case ToStore:
		i := s.instance(l.Number)
		return i.store, i.number
	default:
		e := s.engine(l.Number)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.links[e.ID], allInstances
	}
}

// newInstance writes the settings of an instance, makes its links and starts it.
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
	text, err := hosted.Settings(fmt.Sprintf("entry-%d", n), ports, i.store.Address(), stopLimit)
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

// start starts an instance's process.
func (s *soak) start(i *instance) {
	p, err := s.processes.Start(fmt.Sprintf("entry-%d", i.number), s.cfg.Binary, "--hosted", i.settings)
	if err != nil {
		s.record.fault("instance %d: %v", i.number, err)
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
