package grouper_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/modeler"
	"amaranthmill/internal/scripter"
)

// step is the time between two ticks in session scripts and property tests.
const step = 100 * time.Millisecond

// session runs a fleet up to the time of each script event, and prints decisions and changes
// of targets.
type session struct {
	fleet        *modeler.Fleet
	pools        []bundler.Pool
	out          []string
	targetStates map[string]string
}

func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	s.out = nil
	for s.fleet != nil && s.fleet.Now.Before(now) {
		s.fleet.Run(step, step)
		s.showTargets()
	}
	if ev.Name == "fleet" {
		s.fleet = modeler.New(now, fleetConfig(ev, s.showDecision))
		return nil, nil
	}
	if err := s.applyEvent(ev); err != nil {
		return nil, err
	}
	return s.out, nil
}

func fleetConfig(ev scripter.Event, note func(*modeler.Instance, grouper.Note)) modeler.Config {
	fences := ev.Bool("fencing")
	cfg := modeler.Config{
		FailureDomain: "alpine", Instances: ev.Int("instances"), LoadTime: ev.Duration("load"), OnNote: note,
		Engines: engines(ev.Int("engines"), max(1, ev.Int("fabrics")), fences),
	}
	cfg.Policy.FencingEndpoints = func(identifier.Endpoint) bool { return fences }
	cfg.Policy.NoStandby = ev.Bool("noStandby")
	return cfg
}

func engines(n, fabrics int, fences bool) []*modeler.Engine {
	var out []*modeler.Engine
	for i := range n {
		out = append(out, &modeler.Engine{
			Name: identifier.Endpoint(fmt.Sprintf("e%d", i)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9000),
			FabricDomain: identifier.FabricDomain(fmt.Sprintf("fab%d", i*fabrics/n)), ProcessStart: 1, Running: true, Reachable: true, ChecksFence: fences,
		})
	}
	return out
}

func (s *session) applyEvent(ev scripter.Event) error {
	if ev.Has("e") && ev.Name != "show" {
		for _, name := range ev.List("e") {
			if err := changeEngine(s.fleet.Engine(identifier.Endpoint(name)), ev); err != nil {
				return err
			}
		}
		return nil
	}
	switch ev.Name {
	case "pool":
		s.pools = append(s.pools, bundler.Pool{
			Name: identifier.Pool(ev.Str("name")), Base: "m", Version: ev.Str("model"), GroupSize: ev.Int("size"), Priority: ev.Int("priority"),
			Groups: []bundler.Placement{{FailureDomain: "alpine", Count: ev.Int("count")}},
		})
	case "bundle":
		s.fleet.SetBundle(&bundler.Bundle{
			Version: identifier.BundleVersion(ev.Int("version")), Pools: s.pools,
			Repair: bundler.RepairWeights{GroupDowntime: float64(ev.Int("downtime")), StrandedAccelerators: float64(ev.Int("stranded"))},
		})
		s.pools = nil
	case "platform":
		s.fleet.Platform.Down = ev.Bool("down")
	case "show":
		s.showRecords()
	default:
		return fmt.Errorf("unknown event %q", ev.Name)
	}
	return nil
}

func changeEngine(e *modeler.Engine, ev scripter.Event) error {
	switch ev.Name {
	case "stop":
		e.Stop()
	case "start":
		e.Start()
	case "cut":
		e.Reachable = false
	case "join":
		e.Reachable = true
	case "leaving":
		e.Leaving = true
	case "inFlight":
		e.InFlight = ev.Int("n")
	default:
		return fmt.Errorf("unknown event %q", ev.Name)
	}
	return nil
}

func (s *session) printf(format string, args ...any) {
	at := s.fleet.Now.Sub(scripter.Start).Round(step)
	s.out = append(s.out, fmt.Sprintf("%s ", at)+fmt.Sprintf(format, args...))
}

func (s *session) showDecision(_ *modeler.Instance, n grouper.Note) {
	s.printf("%s %s %s", n.Decision, n.Group, n.Endpoint)
}

// showTargets prints changes of the first instance's targets.
func (s *session) showTargets() {
	states := map[string]string{}
	for _, t := range s.fleet.Instances[0].Targets {
		state := "lost"
		if t.Ready {
			state = "ready"
		}
		if t.Leaving {
			state += ",leaving"
		}
		states[t.ID] = state
		if s.targetStates[t.ID] != state {
			s.printf("target %s %s epoch=%d %v", t.ID, state, t.Epoch, t.Members)
		}
	}
	for id := range s.targetStates {
		if _, ok := states[id]; !ok {
			s.printf("target %s gone", id)
		}
	}
	s.targetStates = states
}

// showRecords prints the platform's records.
func (s *session) showRecords() {
	for _, stored := range s.fleet.Platform.List() {
		for _, a := range stored.Record.Groups {
			members := make([]identifier.Endpoint, len(a.Members))
			for i, m := range a.Members {
				members[i] = m.Endpoint
			}
			standby := identifier.Endpoint("none")
			if a.Standby != nil {
				standby = a.Standby.Endpoint
			}
			s.printf("record %s epoch=%d %v standby=%s", a.Group, a.Epoch, members, standby)
		}
	}
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session { return &session{} })
}
