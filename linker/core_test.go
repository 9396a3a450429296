package linker

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
)

func TestSessionScripts(t *testing.T) {
	scripter.Run(t, "testdata/session", func(*testing.T) scripter.Session {
		self := Peer{Instance: "e1", FailureDomain: "east"}
		return &scriptedCore{core: newCore(self, rand.NewPCG(1, 1)), sequences: map[sessionID]uint64{}, lastTick: scripter.Start}
	})
}

// scriptedCore runs a core under a session script. The event "run" advances the time in ticks
// up to the time of its line. The peers of the sessions in "alive" answer each heartbeat, those
// in "deaf" send heartbeats that echo nothing, and all others stay silent.
type scriptedCore struct {
	core      *core
	sequences map[sessionID]uint64 // last sequence number that the peer of the session sent
	lastTick  time.Time
	version   identifier.BundleVersion // of the peers that answer
}

func (s *scriptedCore) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	if ev.Name == "run" {
		return s.run(now, ev), nil
	}
	e, err := parseEvent(ev)
	if err != nil {
		return nil, err
	}
	if ev.Name == "tick" {
		s.lastTick = now
	}
	var out []string
	for _, a := range s.core.Step(now, e) {
		out = append(out, describe(a))
	}
	return out, nil
}

func (s *scriptedCore) run(until time.Time, ev scripter.Event) []string {
	var out []string
	s.version = max(s.version, identifier.BundleVersion(ev.Int("version")))
	for now := s.lastTick.Add(tickInterval); !now.After(until); now = now.Add(tickInterval) {
		s.lastTick = now
		pending := s.core.Step(now, tick{})
		for len(pending) > 0 {
			a := pending[0]
			pending = pending[1:]
			beat, ok := a.(sendHeartbeat)
			status, _ := a.(setStatus)
			if !ok && (status.status.Instance == "" || status.reason != "") {
				out = append(out, now.Sub(scripter.Start).String()+" "+describe(a))
			}
			if !ok {
				continue
			}
			pending = append(pending, s.answer(now, ev, beat)...)
		}
	}
	return out
}

// answer steps the core with the heartbeat that the peer sends back, if it sends one.
func (s *scriptedCore) answer(now time.Time, ev scripter.Event, beat sendHeartbeat) []action {
	id := strconv.FormatUint(uint64(beat.session), 10)
	echo := uint64(0)
	switch {
	case slices.Contains(ev.List("alive"), id):
		echo = beat.sequence
	case !slices.Contains(ev.List("deaf"), id):
		return nil
	}
	s.sequences[beat.session]++
	return s.core.Step(now, heartbeatReceived{session: beat.session, sequence: s.sequences[beat.session], echo: echo, version: s.version})
}

// parsePeer parses name@failureDomain. All peers have the same address.
func parsePeer(text string) Peer {
	name, domain, _ := strings.Cut(text, "@")
	return Peer{
		Instance:      identifier.Instance(name),
		FailureDomain: identifier.FailureDomain(domain),
		Address:       netip.MustParseAddrPort("10.0.0.1:7000"),
	}
}

func parseEvent(ev scripter.Event) (event, error) {
	id := sessionID(ev.Int("session"))
	version := identifier.BundleVersion(ev.Int("version"))
	name := identifier.Instance(ev.Str("instance"))
	switch ev.Name {
	case "peersSet":
		var e peersSet
		for _, p := range ev.List("peers") {
			e.peers = append(e.peers, parsePeer(p))
		}
		return e, nil
	case "sessionOpened":
		return sessionOpened{
			session:     id,
			peer:        parsePeer(ev.Str("peer")),
			incarnation: uint64(ev.Int("incarnation")),
			attempt:     uint64(ev.Int("attempt")),
			dialed:      ev.Bool("dialed"),
		}, nil
	case "sessionEnded":
		return sessionEnded{session: id}, nil
	case "dialFailed":
		return dialFailed{instance: name}, nil
	case "heartbeatReceived":
		return heartbeatReceived{session: id, sequence: uint64(ev.Int("sequence")), echo: uint64(ev.Int("echo")), version: version}, nil
	case "peerRetired":
		return peerRetired{session: id, leaving: ev.Bool("leaving")}, nil
	case "versionSet":
		return versionSet{version: version}, nil
	case "sessionRequested":
		return sessionRequested{instance: name}, nil
	case "tick":
		return tick{}, nil
	case "stop":
		return stop{}, nil
	default:
		return nil, fmt.Errorf("no event %q", ev.Name)
	}
}

func describe(a action) string {
	switch a := a.(type) {
	case dialPeer:
		return fmt.Sprintf("dial peer=%s attempt=%d", a.peer.Instance, a.attempt)
	case useSession:
		return fmt.Sprintf("use session=%d", a.session)
	case retireSession:
		return fmt.Sprintf("retire session=%d leaving=%t", a.session, a.leaving)
	case closeSession:
		return fmt.Sprintf("close session=%d reason=%s", a.session, a.reason)
	case sendHeartbeat:
		return fmt.Sprintf("heartbeat session=%d sequence=%d echo=%d version=%d", a.session, a.sequence, a.echo, a.version)
	case requestBundle:
		return fmt.Sprintf("requestBundle session=%d version=%d", a.session, a.version)
	case setStatus:
		s := a.status
		return fmt.Sprintf("status peer=%s reachable=%t leaving=%t version=%d reason=%s",
			s.Instance, s.Reachable, s.Leaving, s.BundleVersion, a.reason)
	case removePeer:
		return fmt.Sprintf("removePeer peer=%s", a.instance)
	case failSessionRequest:
		return fmt.Sprintf("failRequest peer=%s", a.instance)
	case setRelay:
		return fmt.Sprintf("relay domain=%s relays=%t", a.domain, a.isRelay)
	default:
		return fmt.Sprintf("%T", a)
	}
}
