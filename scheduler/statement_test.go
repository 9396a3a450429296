package scheduler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// statementModel tracks what the processes of endpoints have said, by plain rules, and the targets
// as a list shows them.
type statementModel struct {
	t       *rapid.T
	core    *scheduler.Scheduler
	now     time.Time
	targets map[identifier.Endpoint]scheduler.Target
	leaving map[identifier.Process]bool
	closed  map[identifier.Process]time.Time
	running []scheduler.Send
	hops    []scheduler.Send // attempts through a peer
	probes  []*scheduler.Target
	lastRef scheduler.Ref
	wakeAt  time.Time
}

// step submits e and checks that no request and no probe goes to a process that leaves or is closed.
func (m *statementModel) step(e scheduler.Event) {
	for _, a := range m.core.Step(m.now, e) {
		switch a := a.(type) {
		case scheduler.WakeAt:
			m.wakeAt = a.At
		case scheduler.Probe:
			m.check("probe", a.Target.Process())
			m.probes = append(m.probes, a.Target)
		case scheduler.Send:
			if a.Peer != "" {
				m.hops = append(m.hops, a)
				continue
			}
			m.check(fmt.Sprintf("request %d", a.Ref), a.Target.Process())
			m.running = append(m.running, a)
		}
	}
}

// check fails if what is sent to a process should not be, because the process leaves or is closed, or the
// one with the latest start of which the endpoint has said so does.
func (m *statementModel) check(what string, listed identifier.Process) {
	last := listed
	for start := listed.Start; start <= lastStart; start++ {
		if p := (identifier.Process{Endpoint: listed.Endpoint, Start: start}); m.leaving[p] || !m.closed[p].IsZero() {
			last = p
		}
	}
	for _, p := range []identifier.Process{listed, last} {
		if m.leaving[p] {
			m.t.Fatalf("%s: %s sent to %v, and %v leaves", m.now.Sub(scripter.Start), what, listed, p)
		}
		if m.now.Before(m.closed[p]) {
			m.t.Fatalf("%s: %s sent to %v, and %v is closed until %s", m.now.Sub(scripter.Start), what, listed, p, m.closed[p].Sub(scripter.Start))
		}
	}
}

// endProbe ends the oldest probe.
func (m *statementModel) endProbe() {
	if len(m.probes) == 0 {
		return
	}
	t := m.probes[0]
	m.probes = m.probes[1:]
	m.step(scheduler.Probed{Target: t, Answered: rapid.Bool().Draw(m.t, "answered")})
}

// endHop ends the oldest attempt through a peer.
func (m *statementModel) endHop() {
	if len(m.hops) == 0 {
		return
	}
	a := m.hops[0]
	m.hops = m.hops[1:]
	endings := []scheduler.Ending{scheduler.Completed{}, scheduler.PeerRefused{Reason: scheduler.ReasonClosed, RetryAfter: time.Second}, scheduler.PeerRefused{Reason: scheduler.ReasonCutOff}, scheduler.Broken{}, scheduler.NotSent{}}
	m.step(scheduler.Ended{Ref: a.Ref, Attempt: a.Attempt, Ending: endings[rapid.IntRange(0, len(endings)-1).Draw(m.t, "ending")]})
}

// pass lets time pass, with the ticks that the core requested.
func (m *statementModel) pass(d time.Duration) {
	end := m.now.Add(d)
	for !m.wakeAt.IsZero() && !m.wakeAt.After(end) {
		m.now, m.wakeAt = m.wakeAt, time.Time{}
		m.step(scheduler.Ticked{})
	}
	m.now = end
}

func (m *statementModel) setTargets() {
	var list []scheduler.Target
	for i := range endpointCount {
		if t, ok := m.targets[endpointName(i)]; ok {
			list = append(list, t)
		}
	}
	m.step(scheduler.TargetsChanged{Complete: true, Changed: list})
}

const (
	endpointCount = 3 // small, so that pools are often closed whole
	lastStart     = 3 // of the processes of an endpoint; an entry may state an earlier one again, or none
)

func endpointName(i int) identifier.Endpoint { return identifier.Endpoint(fmt.Sprintf("e%d", i)) }

// relist lists an endpoint, possibly as a new process or in a new group, or removes it.
func (m *statementModel) relist(id identifier.Endpoint) {
	t, ok := m.targets[id]
	if ok && rapid.Bool().Draw(m.t, "remove") {
		delete(m.targets, id)
		m.setTargets()
		return
	}
	t.ID, t.Pool, t.Slots = id, "guides", 2
	t.ProcessStart = identifier.ProcessStart(rapid.IntRange(0, lastStart).Draw(m.t, "processStart"))
	t.Epoch = identifier.Epoch(rapid.IntRange(1, 3).Draw(m.t, "epoch"))
	t.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(rapid.IntRange(1, 2).Draw(m.t, "port")))
	m.targets[id] = t
	m.setTargets()
}

// state lets the process that got an earlier request say something, possibly long after the list
// has replaced the process.
func (m *statementModel) state() {
	if len(m.running) == 0 {
		return
	}
	p := m.running[rapid.IntRange(0, len(m.running)-1).Draw(m.t, "attempt")].Target.Process()
	e := scheduler.ProcessStated{Process: p, Leaving: rapid.IntRange(0, 3).Draw(m.t, "leaving") == 0}
	if rapid.Bool().Draw(m.t, "closes") {
		e.ClosedFor = time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "closedFor")) * time.Millisecond
		if until := m.now.Add(e.ClosedFor); until.After(m.closed[p]) {
			m.closed[p] = until
		}
	}
	m.leaving[p] = m.leaving[p] || e.Leaving
	m.step(e)
}

// end lets an attempt make progress or end.
func (m *statementModel) end() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "attempt")
	a := m.running[i]
	endings := []scheduler.Ending{scheduler.Completed{}, scheduler.Refused{Status: 503}, scheduler.Broken{}, scheduler.NotSent{}, scheduler.Failed{Status: 500}}
	switch choice := rapid.IntRange(0, len(endings)).Draw(m.t, "ending"); choice {
	case len(endings):
		m.step(scheduler.Progressed{Ref: a.Ref, Attempt: a.Attempt, Event: true})
	default:
		m.step(scheduler.Ended{Ref: a.Ref, Attempt: a.Attempt, Ending: endings[choice]})
	}
}

// arrive submits a request, possibly a copy of others.
func (m *statementModel) arrive() {
	m.lastRef++
	m.step(scheduler.Arrived{Ref: m.lastRef, Request: scheduler.Request{
		Fingerprint: identifier.Fingerprint(rapid.IntRange(1, 4).Draw(m.t, "fingerprint")), Service: "guides", Pool: "guides", Repeatable: true,
		Stream: rapid.Bool().Draw(m.t, "stream"), ArrivedAt: m.now, LatencyGoal: 400 * time.Millisecond, Deadline: m.now.Add(5 * time.Second), MaxAttempts: 3, ViaPeer: rapid.IntRange(0, 3).Draw(m.t, "viaPeer") == 0,
	}})
}

// TestNoRequestToLeavingOrClosedProcess checks that no first attempt, retry, hedge, trial request, copy, probe or request of a peer goes to a process that
// has said that it leaves or that it wants no requests for a time, whatever the list shows meanwhile and
// in whichever order answers, removals, new processes and new groups come.
func TestNoRequestToLeavingOrClosedProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &statementModel{
			t: t, now: scripter.Start, targets: map[identifier.Endpoint]scheduler.Target{}, leaving: map[identifier.Process]bool{}, closed: map[identifier.Process]time.Time{},
			core: scheduler.New(scheduler.Config{Instance: "entry-1", RetryRatio: 1, RetrySlack: 1000, FirstStart: true}),
		}
		m.step(scheduler.InstancesSet{Instances: []scheduler.Instance{{Name: "entry-1"}, {Name: "entry-2"}}})
		for i := range endpointCount {
			m.relist(endpointName(i))
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0:
				m.relist(endpointName(rapid.IntRange(0, endpointCount-1).Draw(t, "endpoint")))
			case 1, 2:
				m.state()
			case 3, 4:
				m.end()
			case 5:
				m.endProbe()
			case 6:
				m.endHop()
			case 7:
				m.pass(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			default:
				m.arrive()
			}
		}
	})
}
