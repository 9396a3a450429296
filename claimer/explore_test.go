package claimer

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/scripter"
)

var (
	undatedKey = Key{Account: "observatory", IdempotencyKey: "hold-17"}
	// datedKey was created at the start time of the scripts.
	datedKey = Key{Account: "observatory", IdempotencyKey: fmt.Sprintf("%08x-%04x-7000-8000-000000000000", scripter.Start.UnixMilli()>>16, scripter.Start.UnixMilli()&0xffff)}
)

// bounds limits an exploration.
type bounds struct {
	name                             string
	key                              Key
	arrivals, faults, crashes, ticks int
	depth                            int
	newCore                          func() stepCore
}

// explorer visits every world that the bounds allow, breadth first.
type explorer struct {
	bounds
	seen  map[uint64]bool
	edges int
}

// explore returns the first world in which an invariant is violated, with the shortest path to it, or nil.
func (x *explorer) explore() *world {
	first := &world{arrivals: x.arrivals, faults: x.faults, crashes: x.crashes, ticks: x.ticks}
	for i := range first.nodes {
		first.nodes[i].core = x.newCore()
	}
	x.seen = map[uint64]bool{first.hash(): true}
	level := []*world{first}
	for depth := 0; depth < x.depth && len(level) > 0; depth++ {
		var next []*world
		for _, w := range level {
			for _, v := range x.successors(w) {
				x.edges++
				if v.violation != "" {
					return v
				}
				if h := v.hash(); !x.seen[h] {
					x.seen[h] = true
					next = append(next, v)
				}
			}
			if end := x.checkConvergence(w); end != nil {
				return end
			}
		}
		level = next
	}
	return nil
}

// successors returns the worlds that follow w after one step.
func (x *explorer) successors(w *world) []*world {
	var all []*world
	step := func(name string, f func(v *world)) {
		v := w.clone()
		v.path = append(v.path, name)
		f(v)
		all = append(all, v)
	}
	if w.clock+2 < len(times) {
		step("time passes", func(v *world) { v.clock++ })
	}
	for i := range w.nodes {
		x.nodeSteps(w, i, step)
	}
	for j := range w.delayedWrites {
		step(fmt.Sprintf("delayed %T takes effect", w.delayedWrites[j]), func(v *world) {
			v.apply(v.delayedWrites[j])
			v.delayedWrites = slices.Delete(v.delayedWrites, j, j+1)
		})
	}
	for k := range w.attempts {
		x.attemptSteps(w, k, step)
	}
	return all
}

// nodeSteps calls step for each possible step of node i: arrivals, crashes, ticks, actions and answers.
func (x *explorer) nodeSteps(w *world, i int, step func(string, func(*world))) {
	n := w.nodes[i]
	name := fmt.Sprintf("instance %d: ", i)
	if w.arrivals > 0 {
		step(name+"arrival", func(v *world) { v.arrivals--; v.arrive(i, x.key) })
	}
	if w.crashes > 0 {
		step(name+"crash", func(v *world) { v.crashes--; v.crash(i, x.newCore()) })
	}
	if w.ticks > 0 {
		step(name+"tick", func(v *world) { v.ticks--; v.submit(i, Ticked{}) })
	}
	for j, e := range n.answers {
		step(fmt.Sprintf("%sanswer %T %+v", name, e, e), func(v *world) {
			v.nodes[i].answers = slices.Delete(v.nodes[i].answers, j, j+1)
			v.submit(i, e)
		})
	}
	for j, a := range n.actions {
		perform := func(f func(v *world) Event) func(*world) {
			return func(v *world) {
				v.nodes[i].actions = slices.Delete(v.nodes[i].actions, j, j+1)
				v.submit(i, f(v))
			}
		}
		text := fmt.Sprintf("%s%T", name, a)
		step(text, perform(func(v *world) Event { return v.apply(a) }))
		if w.faults == 0 {
			continue
		}
		step(text+", answer delayed", func(v *world) {
			v.faults--
			v.nodes[i].actions = slices.Delete(v.nodes[i].actions, j, j+1)
			v.nodes[i].answers = append(v.nodes[i].answers, v.apply(a))
		})
		if isWrite(a) {
			step(text+", answer lost", perform(func(v *world) Event { v.faults--; v.apply(a); return failure(a, true) }))
			step(text+", delayed", perform(func(v *world) Event {
				v.faults--
				v.delayedWrites = append(v.delayedWrites, a)
				return failure(a, true)
			}))
		}
		step(text+", unavailable", perform(func(v *world) Event { v.faults--; return failure(a, false) }))
	}
}

// attemptSteps calls step for each possible step of a granted attempt: its dispatch and its settlement.
func (x *explorer) attemptSteps(w *world, k int, step func(string, func(*world))) {
	att := w.attempts[k]
	if !att.granted || att.settled || att.incarnation != w.nodes[att.node].incarnation {
		return
	}
	name := fmt.Sprintf("attempt %d: ", k)
	maySend := Granted{SendBefore: att.sendBefore}.MaySend(w.now())
	switch {
	case att.ran:
		step(name+"answered", func(v *world) { v.settle(k, Answered{Status: 200}) })
		step(name+"no answer", func(v *world) { v.settle(k, Unknown{}) })
	case maySend:
		step(name+"runs", func(v *world) { v.run(k) })
		step(name+"refused by the endpoint", func(v *world) { v.settle(k, NotRun{}) })
	default:
		step(name+"too late to send", func(v *world) { v.settle(k, NotRun{}) })
	}
}

// crash replaces the process of node i. The writes that it has sent may still take effect.
func (w *world) crash(i int, fresh stepCore) {
	n := &w.nodes[i]
	w.delayedWrites = append(w.delayedWrites, n.actions...)
	*n = node{core: fresh, incarnation: n.incarnation + 1}
}

// checkConvergence completes all pending work of a copy of w without further faults. It returns the
// copy if an invariant is violated or a new call then gets no definite decision.
func (x *explorer) checkConvergence(w *world) *world {
	v := w.clone()
	v.path = append(v.path, "no further fault")
	v.clock = len(times) - 1
	v.finishPending()
	for i := range v.nodes {
		v.submit(i, Ticked{})
		v.finishPending()
	}
	for i := range v.nodes {
		k := len(v.attempts)
		v.path = append(v.path, fmt.Sprintf("instance %d: last arrival", i))
		v.arrive(i, x.key)
		v.finishPending()
		if !v.attempts[k].definite && v.violation == "" {
			v.violation = "a call after all faults got no definite decision"
		}
	}
	if v.violation != "" {
		return v
	}
	return nil
}

// finishPending performs all pending actions and delivers all pending answers. Granted attempts are
// settled without an answer, as by a dispatcher that was paused.
func (w *world) finishPending() {
	for busy := true; busy; {
		busy = false
		for i := range w.nodes {
			n := &w.nodes[i]
			if len(n.actions) > 0 {
				a := n.actions[0]
				n.actions = n.actions[1:]
				n.answers = append(n.answers, w.apply(a))
				busy = true
			}
			if len(n.answers) > 0 {
				e := n.answers[0]
				n.answers = n.answers[1:]
				w.submit(i, e)
				busy = true
			}
		}
		for k, att := range w.attempts {
			if att.granted && !att.settled && att.incarnation == w.nodes[att.node].incarnation {
				w.settleUnanswered(k)
				busy = true
			}
		}
	}
}

func (w *world) settleUnanswered(k int) {
	if w.attempts[k].ran {
		w.settle(k, Unknown{})
		return
	}
	w.settle(k, NotRun{})
}

func newTestCore() stepCore { return NewCore("entry", Limits{}) }

// deeper is the number of steps added to the depth of the explorations. Each step about doubles
// the number of states.
var deeper = flag.Int("deeper", 0, "steps added to the depth of the explorations")

func TestExplore(t *testing.T) {
	for _, b := range []bounds{
		{name: "three faults", key: undatedKey, arrivals: 2, faults: 3, ticks: 1, depth: 7, newCore: newTestCore},
		{name: "crash and fault", key: undatedKey, arrivals: 3, faults: 1, crashes: 1, depth: 7, newCore: newTestCore},
		{name: "dated key with a lease", key: datedKey, arrivals: 2, faults: 1, crashes: 1, ticks: 1, depth: 7, newCore: newTestCore},
	} {
		t.Run(b.name, func(t *testing.T) {
			b.depth += *deeper
			x := explorer{bounds: b}
			if w := x.explore(); w != nil {
				t.Fatalf("%s:\n%s", w.violation, strings.Join(w.path, "\n"))
			}
			t.Logf("depth %d: %d states, %d steps", b.depth, len(x.seen), x.edges)
			is.New(t).True(len(x.seen) > 1000) // fewer states mean that the exploration was cut short
		})
	}
}

// mutant is a core into which a mistake is injected.
type mutant struct {
	stepCore
	event  func(Event) Event
	action func(Action) Action
}

func (m mutant) clone() stepCore {
	m.stepCore = m.stepCore.clone()
	return m
}

func (m mutant) Step(now time.Time, e Event) []Action {
	if m.event != nil {
		e = m.event(e)
	}
	acts := m.stepCore.Step(now, e)
	for i, a := range acts {
		if m.action != nil {
			acts[i] = m.action(a)
		}
	}
	return acts
}

func TestExploreFindsMistakes(t *testing.T) {
	for _, c := range []struct {
		mistake, violation string
		mutant             mutant
	}{
		{mistake: "a conflict taken for success", violation: "the call ran twice", mutant: mutant{event: func(e Event) Event {
			if r, ok := e.(Conflicted); ok {
				return Stored{Token: r.Token, Revision: 1}
			}
			return e
		}}},
		{mistake: "a missing answer taken for a refusal", violation: "a call that ran was reported as not run", mutant: mutant{event: func(e Event) Event {
			if s, ok := e.(Settled); ok && s.Result == (Unknown{}) {
				return Settled{Token: s.Token, Result: NotRun{}}
			}
			return e
		}}},
		{mistake: "a late dispatch", violation: "a call ran after its outcome was reported as finally unknown", mutant: mutant{action: func(a Action) Action {
			if d, ok := a.(Decide); ok {
				if g, ok := d.Decision.(Granted); ok {
					g.SendBefore = g.SendBefore.Add(time.Hour)
					return Decide{Call: d.Call, Decision: g}
				}
			}
			return a
		}}},
	} {
		t.Run(c.mistake, func(t *testing.T) {
			x := explorer{bounds: bounds{key: undatedKey, arrivals: 2, depth: 9, newCore: func() stepCore {
				m := c.mutant
				m.stepCore = newTestCore()
				return m
			}}}
			w := x.explore()
			is := is.New(t)
			is.True(w != nil)                  // the mistake is found
			is.Equal(w.violation, c.violation) // as a violation of the expected invariant
			t.Logf("found after %d states: %s", len(x.seen), strings.Join(w.path, "; "))
		})
	}
}
