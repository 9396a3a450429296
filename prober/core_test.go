package prober_test

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/linker"
	"amaranthmill/prober"
	"amaranthmill/storeclient"
)

// session runs a Core by a script. It ticks every 100 ms up to each event, answers the probes that the
// core requests, and shows the changes of targets.
type session struct {
	core     *prober.Core
	now      time.Time
	listings map[string]storeclient.Listing
	answers  map[identifier.Endpoint]answer
	targets  map[string]string
	out      []string
	probes   map[identifier.Endpoint]int
	full     int // number of reports shared in full
	brief    int // number of reports shared without address and group
}

// answer is how an endpoint answers a probe.
type answer struct {
	status  prober.Status
	latency time.Duration
	silent  bool
	refuses bool
}

func newSession(*testing.T) scripter.Session {
	return &session{
		core: prober.NewCore(prober.Config{Instance: "a", FailureDomain: "alpine"}), now: scripter.Start,
		listings: map[string]storeclient.Listing{}, answers: map[identifier.Endpoint]answer{},
		targets: map[string]string{}, probes: map[identifier.Endpoint]int{},
	}
}

func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	s.out = nil
	for s.now.Before(now) {
		s.now = s.now.Add(100 * time.Millisecond)
		s.step(prober.Tick{})
	}
	switch ev.Name {
	case "list":
		s.list(ev)
	case "record":
		s.step(prober.RecordsSet{Records: []grouper.Record{{Groups: []grouper.Assignment{assignment(ev)}}}})
	case "engine":
		for _, e := range ev.List("e") {
			s.answers[identifier.Endpoint(e)] = engineAnswer(ev)
		}
	case "digest":
		s.step(prober.DigestReceived{From: "b", Digest: digest(ev)})
	case "peers":
		s.step(prober.PeersSet{Instances: instances(ev)})
	case "probes":
		s.out = append(s.out, fmt.Sprintf("%s probes %v shared full=%d brief=%d", s.now.Sub(scripter.Start), s.probes, s.full, s.brief))
		s.full, s.brief = 0, 0
		s.probes = map[identifier.Endpoint]int{}
	default:
		return nil, fmt.Errorf("unknown event %q", ev.Name)
	}
	return s.out, nil
}

func (s *session) list(ev scripter.Event) {
	for _, name := range ev.List("e") {
		s.listings[name] = storeclient.Listing{
			Name: name, Kind: storeclient.InstanceKind(ev.Str("kind")), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[1]}), 9000),
			FailureDomain: "alpine", FabricDomain: "fab", State: storeclient.InstanceState(ev.Str("state")), Service: "ledger",
		}
	}
	var all []storeclient.Listing
	for _, l := range s.listings {
		all = append(all, l)
	}
	s.step(prober.Listed{Listings: all})
}

// assignment parses group=g epoch=64 members=e0@1,e1@1 standby=e2@1. The epoch of the standby is 128.
func assignment(ev scripter.Event) grouper.Assignment {
	a := grouper.Assignment{
		Group: identifier.Group(ev.Str("group")), Epoch: identifier.Epoch(ev.Int("epoch")), BundleVersion: 1, Draining: ev.Bool("draining"),
	}
	for _, m := range ev.List("members") {
		a.Members = append(a.Members, member(m))
	}
	if ev.Has("standby") {
		a.Standby = &grouper.Standby{Member: member(ev.Str("standby")), Epoch: 128}
	}
	return a
}

func member(text string) grouper.Member {
	name, start, _ := strings.Cut(text, "@")
	n, _ := strconv.Atoi(start)
	return grouper.Member{Endpoint: identifier.Endpoint(name), ProcessStart: identifier.ProcessStart(n)}
}

func status(ev scripter.Event) prober.Status {
	return prober.Status{
		ProcessStart: identifier.ProcessStart(ev.Int("start")), Group: identifier.Group(ev.Str("group")),
		Epoch: identifier.Epoch(ev.Int("epoch")), BundleVersion: 1, Loaded: !ev.Bool("loading"), Leaving: ev.Bool("leaving"),
	}
}

func engineAnswer(ev scripter.Event) answer {
	return answer{status: status(ev), latency: ev.Duration("latency"), silent: ev.Bool("silent"), refuses: ev.Bool("refuses")}
}

// instances returns n instances of the failure domain, or 4 if the script line has no n.
func instances(ev scripter.Event) []identifier.Instance {
	n := 4
	if ev.Has("n") {
		n = ev.Int("n")
	}
	out := make([]identifier.Instance, n)
	for i := range out {
		out[i] = identifier.Instance(rune('a' + i))
	}
	return out
}

func digest(ev scripter.Event) linker.ProbeDigest {
	s := status(ev)
	return linker.ProbeDigest{Reports: []linker.ProbeReport{{
		Endpoint: identifier.Endpoint(ev.Str("e")), Address: ev.AddrPort("address"), ProcessStart: s.ProcessStart, Group: s.Group, Epoch: s.Epoch,
		BundleVersion: 1, Loaded: s.Loaded, Leaving: s.Leaving, Reachable: true, Age: ev.Duration("age"),
	}}}
}

// step applies e to the core and answers its probes at once. The send time of a probe is set back by
// the latency of the endpoint.
func (s *session) step(e prober.Event) {
	for _, a := range s.core.Step(s.now, e) {
		switch a := a.(type) {
		case prober.Probe:
			s.probes[a.Endpoint]++
			s.probe(a.Endpoint)
		case prober.Publish:
			s.show(a)
		case prober.Share:
			s.countShared(a.Digest)
		}
	}
}

func (s *session) countShared(d linker.ProbeDigest) {
	for _, r := range d.Reports {
		if r.Address.IsValid() {
			s.full++
		} else {
			s.brief++
		}
	}
}

func (s *session) probe(name identifier.Endpoint) {
	a := s.answers[name]
	if a.silent || a.refuses {
		s.step(prober.ProbeFailed{Endpoint: name, SentAt: s.now, Refused: a.refuses})
		return
	}
	s.step(prober.Probed{Endpoint: name, Status: a.status, SentAt: s.now.Add(-a.latency)})
}

func (s *session) show(p prober.Publish) {
	for _, t := range p.Targets {
		text := fmt.Sprintf("target %s epoch=%d ready=%t leaving=%t slow=%t", t.ID, t.Epoch, t.Ready, t.Leaving, t.Slow)
		if s.targets[t.ID] != text {
			s.targets[t.ID] = text
			s.out = append(s.out, fmt.Sprintf("%s %s", s.now.Sub(scripter.Start), text))
		}
	}
}

func TestSessions(t *testing.T) { scripter.Run(t, "testdata", newSession) }
