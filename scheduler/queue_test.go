package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
)

// queueModel drives a Scheduler with requests of two pools and checks its queues after each event that
// can free a target.
type queueModel struct {
	t       *rapid.T
	core    *Scheduler
	now     time.Time
	lastRef Ref
	running []Send
}

func (m *queueModel) step(e Event) {
	for _, a := range m.core.Step(m.now, e) {
		if send, ok := a.(Send); ok {
			m.running = append(m.running, send)
		}
	}
	switch e.(type) {
	case Ticked, Ended, TargetsChanged:
		m.check(e)
	}
}

// check tries each waiting request of the pools concerned at each target, one by one.
func (m *queueModel) check(e Event) {
	s := m.core
	for name, q := range s.queues {
		if len(q.flights) == 0 {
			m.t.Fatalf("an empty queue of pool %s is kept", name)
		}
		if ended, ok := e.(Ended); ok && (s.flights[ended.Ref] == nil || s.flights[ended.Ref].Pool != name) {
			continue
		}
		for i, f := range q.flights {
			if s.position(f) != i+1 {
				m.t.Fatalf("request %d is at index %d and has position %d", f.ref, i, s.position(f))
			}
			if len(f.running) > 0 || f.giveUpAt.IsZero() {
				m.t.Fatalf("request %d is queued and runs", f.ref)
			}
			t, _, _ := s.chooseTarget(m.now, f)
			mayRetry := f.sentAttempts == 0 || s.budget.available(f.Service) >= 1
			if t != nil && mayRetry && f.Deadline.Sub(m.now) >= minServeTime {
				m.t.Fatalf("%s, after %T: request %d waits although %s may take it", m.now.Sub(scripter.Start), e, f.ref, t.ID)
			}
		}
	}
}

func (m *queueModel) setTarget() {
	pool := identifier.Pool(fmt.Sprintf("p%d", rapid.IntRange(0, 1).Draw(m.t, "pool")))
	id := identifier.Endpoint(fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(m.t, "endpoint")))
	if rapid.IntRange(0, 3).Draw(m.t, "remove") == 0 {
		m.step(TargetsChanged{Removed: []identifier.Endpoint{id}})
		return
	}
	m.step(TargetsChanged{Changed: []Target{{ID: id, Pool: pool, Slots: rapid.IntRange(1, 3).Draw(m.t, "slots"), Epoch: identifier.Epoch(rapid.IntRange(1, 2).Draw(m.t, "epoch"))}}})
}

func (m *queueModel) arrive() {
	m.lastRef++
	pool := identifier.Pool(fmt.Sprintf("p%d", rapid.IntRange(0, 1).Draw(m.t, "pool")))
	m.step(Arrived{Ref: m.lastRef, Request: Request{
		Service: "guides", Pool: pool, Repeatable: true, Stream: true, ArrivedAt: m.now, Deadline: m.now.Add(time.Duration(rapid.IntRange(500, 9000).Draw(m.t, "ms")) * time.Millisecond),
		MaxAttempts: 3, Priority: rapid.IntRange(0, 2).Draw(m.t, "priority"),
	}})
}

func (m *queueModel) end() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "attempt")
	a := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	endings := []Ending{Completed{}, Completed{}, Refused{Status: 503}, Refused{Status: 421, Misdirected: true}, Broken{}, NotSent{}}
	load := Load{Running: rapid.IntRange(0, 3).Draw(m.t, "load"), Slots: rapid.IntRange(0, 3).Draw(m.t, "slots")}
	m.step(Ended{Ref: a.Ref, Attempt: a.Attempt, Ending: endings[rapid.IntRange(0, len(endings)-1).Draw(m.t, "ending")], Load: load})
}

// TestNoRequestWaitsForFreeTarget checks the queues against the plain way, which tries each waiting request at
// each target: after an event that can free a target, no request of its pool waits although a target may
// take it, and the positions of the waiting requests are those of the queue.
func TestNoRequestWaitsForFreeTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{t: t, now: scripter.Start, core: New(Config{RetryRatio: 0.2, RetrySlack: 5, FirstStart: true})}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				m.setTarget()
			case 2, 3:
				m.end()
			case 4:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				m.step(Ticked{})
			default:
				m.arrive()
			}
		}
	})
}
