package main

import (
	"fmt"
	"time"
)

// await waits until a condition holds, and reports whether it did.
func (w *world) await(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// countState returns the number of engines in a state of their group.
func (w *world) countState(state string) int {
	w.mu.Lock()
	engines := w.engines
	w.mu.Unlock()
	n := 0
	for _, e := range engines {
		e.mu.Lock()
		if e.group != nil && e.group["state"] == state && !e.gone {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// openHeads returns the number of groups that serve.
func (w *world) openHeads() int { return w.countState("open") }

// commitHolds sends unsafe requests on one channel, one after the other, until stop is closed or the process has ended.
func (w *world) commitHolds(i *instance, stop <-chan struct{}) {
	c := w.newClient()
	for {
		select {
		case <-stop:
			return
		case <-i.done:
			return
		default:
		}
		c.send(i, "POST", "/holds/commit", []byte("pad=7"), 1500*time.Millisecond, nil)
		time.Sleep(30 * time.Millisecond)
	}
}

// findLost returns the requests that an engine ran and answered between two times, around planned work, and whose channel ended
// without an answer; also the processes that ended by themselves.
func (w *world) findLost(from, to time.Time) []string {
	var out []string
	for _, i := range w.instances {
		if at := i.exited(); !at.IsZero() {
			w.note("process %s has ended by itself", i.name)
		}
	}
	for _, q := range w.requests {
		if q.complete || q.status != 0 || q.endedAt.Before(from) || q.endedAt.After(to) {
			continue
		}
		for _, a := range w.runsOf(q.id) {
			out = append(out, fmt.Sprintf("LOST: %s passed request %s on to engine %s, which ran it; its channel ended without an answer: %s", q.instance, q.id, a.engine, q.err))
		}
	}
	return out
}

// judgeJoin records a break of TWO if an engine takes a join of another group while the head of its group is open or closing. The
// caller holds the lock of e.
func (w *world) judgeJoin(e *engine, o order) {
	if e.group == nil || e.group["name"] == o.Group {
		return
	}
	name, epoch, rank := e.group["name"], e.group["epoch"], e.group["rank"]
	state := e.group["state"]
	if head := w.engine(e.members[0]); head != e {
		head.mu.Lock()
		same := !head.gone && head.group != nil && head.group["name"] == name && head.group["epoch"] == epoch
		state = ""
		if same {
			state = head.group["state"]
		}
		head.mu.Unlock()
	}
	if state == "open" || state == "closing" {
		line := fmt.Sprintf("TWO: engine %s, of rank %v in group %v, takes a join of group %s while the head %s of its group is %v", e.id, rank, name, o.Group, e.members[0], state)
		w.mu.Lock()
		w.broken = append(w.broken, line)
		w.mu.Unlock()
		w.note("%s", line)
	}
}

func (w *world) engine(id string) *engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// isWhole reports whether all members of a group live and belong to it.
func (w *world) isWhole(members []string, group, epoch any) bool {
	for _, id := range members {
		m := w.engine(id)
		m.mu.Lock()
		belongs := !m.gone && m.group != nil && m.group["name"] == group && m.group["epoch"] == epoch
		m.mu.Unlock()
		if !belongs {
			return false
		}
	}
	return true
}
