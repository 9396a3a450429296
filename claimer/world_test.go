package claimer

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"amaranthmill/internal/scripter"
	"amaranthmill/storeclient"
)

// stepCore is a core under exploration.
type stepCore interface {
	Step(now time.Time, e Event) []Action
	clone() stepCore
	print() string
}

func (c *Core) clone() stepCore {
	d := *c
	d.holders = maps.Clone(c.holders)
	d.order = slices.Clone(c.order)
	d.claims = map[Token]*claim{}
	for token, cl := range c.claims {
		copied := *cl
		d.claims[token] = &copied
	}
	return &d
}

func (c *Core) print() string {
	text := fmt.Appendf(nil, "%s%d%t", c.lease, c.leaseFrom.Unix(), c.granting)
	for _, token := range c.order {
		if cl, ok := c.claims[token]; ok {
			text = fmt.Appendf(text, "%s%d%d%d%t%t%d", token, cl.call, cl.revision, cl.phase, cl.mayExist, cl.left, cl.attempts)
			text = append(text, resultName(cl.result)...)
			text = append(text, resultName(cl.other.Result)...)
			text = strconv.AppendInt(text, cl.record.ClosesAt.Unix(), 10)
			text = strconv.AppendBool(text, c.holders[cl.key] == token)
		}
	}
	return string(text)
}

// printRecord tells one claim of the explored key from another.
func printRecord(r Record) string {
	return string(r.Token) + resultName(r.Result) + strconv.FormatInt(r.ClosesAt.Unix(), 10) + string(r.Lease)
}

// printAction tells one action of the explored key from another.
func printAction(a Action) string {
	switch a := a.(type) {
	case CreateClaim:
		return "create" + printRecord(a.Record)
	case SwapClaim:
		return "swap" + string(a.Token) + printRecord(a.Record) + strconv.FormatUint(a.Revision, 10)
	case RemoveClaim:
		return "remove" + string(a.Token) + strconv.FormatUint(a.Revision, 10)
	case ReadClaim:
		return "read" + string(a.Token)
	}
	return "grant"
}

// printEvent tells one answer of the platform from another.
func printEvent(e Event) string {
	if f, ok := e.(Found); ok {
		return "found" + string(f.Token) + printRecord(f.Record) + strconv.FormatUint(f.Revision, 10)
	}
	return fmt.Sprintf("%T%v", e, e)
}

// attempt is one arrival of the key and what became of it.
type attempt struct {
	node       int
	life       int // of the node, which a crash ends
	token      Token
	decided    bool
	granted    bool
	sendBefore time.Time
	ran        bool
	settled    bool
	definite   bool // the decision was a grant or a result
}

// node is one instance: its core, the actions on their way to the platform, and the answers on their way back.
type node struct {
	core    stepCore
	life    int
	actions []Action
	answers []Event
}

// world is two instances, one key and the platform's service.
type world struct {
	clock    int // index of times
	record   *Record
	revision uint64
	nodes    [2]node
	limbo    []Action // writes that may still take effect at any time
	attempts []attempt
	runs     int

	arrivals, faults, crashes, ticks int // how many more of each may happen

	toldUnknown, toldNotRun bool // final results that a caller was given
	path                    []string
	fault                   string // the promise that is broken
}

// times are the moments of a world: the start, after the send limit, twice after the
// closing time, and, for worlds at rest only, after every closing time.
var times = []time.Duration{0, 15 * time.Second, 100 * time.Second, 200 * time.Second, 400 * time.Second}

func (w *world) now() time.Time { return scripter.Start.Add(times[w.clock]) }

func (w *world) clone() *world {
	d := *w
	for i := range d.nodes {
		d.nodes[i].core = w.nodes[i].core.clone()
		d.nodes[i].actions = slices.Clone(w.nodes[i].actions)
		d.nodes[i].answers = slices.Clone(w.nodes[i].answers)
	}
	d.limbo = slices.Clone(w.limbo)
	d.attempts = slices.Clone(w.attempts)
	d.path = slices.Clone(w.path)
	return &d
}

func (w *world) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.clock, w.revision, w.runs, w.arrivals, w.faults, w.crashes, w.ticks, w.toldUnknown, w.toldNotRun)
	for _, at := range w.attempts {
		fmt.Fprint(h, at.node, at.life, at.decided, at.granted, at.ran, at.settled, at.definite, at.sendBefore.Unix())
	}
	text := ""
	if w.record != nil {
		text = printRecord(*w.record)
	}
	for _, n := range w.nodes {
		text += "|" + strconv.Itoa(n.life) + n.core.print()
		for _, a := range n.actions {
			text += ";" + printAction(a)
		}
		for _, e := range n.answers {
			text += ":" + printEvent(e)
		}
	}
	for _, a := range w.limbo {
		text += "," + printAction(a)
	}
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// submit steps the core of node i and keeps its actions.
func (w *world) submit(i int, e Event) {
	for _, a := range w.nodes[i].core.Step(w.now(), e) {
		switch a := a.(type) {
		case Decide:
			w.decide(int(a.Call), a.Decision)
		case Finish:
		default:
			w.nodes[i].actions = append(w.nodes[i].actions, a)
		}
	}
}

// decide hands attempt k its decision and checks it against what happened.
func (w *world) decide(k int, d Decision) {
	at := &w.attempts[k]
	if at.decided {
		w.fault = "an attempt was decided twice"
	}
	at.decided = true
	switch d := d.(type) {
	case Granted:
		at.granted, at.sendBefore = true, d.SendBefore
		at.definite = true
	case Replay:
		at.definite = true
		w.replay(d.Result)
	}
}

func (w *world) replay(r Result) {
	switch r.(type) {
	case Answered:
		if w.runs == 0 {
			w.fault = "an answer was replayed of a call that did not run"
		}
	case NotRun:
		w.toldNotRun = true
		if w.runs > 0 {
			w.fault = "a call that ran was said not to have run"
		}
	case Unknown:
		w.toldUnknown = true
	}
}

// run is a dispatch of attempt k that runs at an endpoint.
func (w *world) run(k int) {
	w.attempts[k].ran = true
	w.runs++
	switch {
	case w.runs > 1:
		w.fault = "the call ran twice"
	case w.toldNotRun:
		w.fault = "a call ran that was said never to run"
	case w.toldUnknown:
		w.fault = "a call ran after its outcome was said to be unknown for good"
	}
}

// settle reports how attempt k ended.
func (w *world) settle(k int, r Result) {
	w.attempts[k].settled = true
	w.submit(w.attempts[k].node, Settled{Token: w.attempts[k].token, Result: r})
}

// arrive is a call with the key at node i.
func (w *world) arrive(i int, key Key) {
	k := len(w.attempts)
	token := Token(fmt.Sprintf("t%d", k))
	w.attempts = append(w.attempts, attempt{node: i, life: w.nodes[i].life, token: token})
	w.submit(i, Arrived{Call: Call(k), Token: token, Key: key})
}

// apply carries out an action at the platform and returns its answer.
func (w *world) apply(a Action) Event {
	switch a := a.(type) {
	case GrantLease:
		return LeaseGranted{Lease: storeclient.LeaseID("lease")}
	case CreateClaim:
		if w.record != nil {
			return Refused{Token: a.Token}
		}
		return w.write(a.Token, a.Record)
	case SwapClaim:
		if w.record == nil || w.revision != a.Revision {
			return Refused{Token: a.Token}
		}
		return w.write(a.Token, a.Record)
	case RemoveClaim:
		if w.record == nil || w.revision != a.Revision {
			return Refused{Token: a.Token}
		}
		w.record = nil
		return Stored{Token: a.Token}
	case ReadClaim:
		if w.record == nil {
			return Absent{Token: a.Token}
		}
		return Found{Token: a.Token, Record: *w.record, Revision: w.revision}
	}
	return nil
}

func (w *world) write(token Token, r Record) Event {
	w.revision++
	w.record = &r
	return Stored{Token: token, Revision: w.revision}
}

// isWrite reports whether a changes the claim.
func isWrite(a Action) bool {
	switch a.(type) {
	case CreateClaim, SwapClaim, RemoveClaim:
		return true
	}
	return false
}

// failure is the answer to an action that failed.
func failure(a Action, mayApply bool) Event {
	switch a := a.(type) {
	case CreateClaim:
		return Failed{Token: a.Token, MayApply: mayApply}
	case SwapClaim:
		return Failed{Token: a.Token, MayApply: mayApply}
	case RemoveClaim:
		return Failed{Token: a.Token, MayApply: mayApply}
	case ReadClaim:
		return Failed{Token: a.Token}
	}
	return LeaseFailed{}
}
