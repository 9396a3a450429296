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

// stepCore is a Core, or a mutant of it, that is explored.
type stepCore interface {
	Step(now time.Time, e Event) []Action
	clone() stepCore
	print() string
}

func (c *Core) clone() stepCore {
	d := *c
	d.tokenByKey = maps.Clone(c.tokenByKey)
	d.order = slices.Clone(c.order)
	d.claims = map[Token]*claim{}
	for token, cl := range c.claims {
		copied := *cl
		d.claims[token] = &copied
	}
	return &d
}

func (c *Core) print() string {
	text := fmt.Appendf(nil, "%s%d%t", c.lease, c.leaseRequestedAt.Unix(), c.grantPending)
	for _, token := range c.order {
		if cl, ok := c.claims[token]; ok {
			text = fmt.Appendf(text, "%s%d%d%d%t%t%d", token, cl.call, cl.revision, cl.phase, cl.mayExist, cl.callerLeft, cl.attempts)
			text = append(text, resultName(cl.result)...)
			text = append(text, resultName(cl.closedRecord.Result)...)
			text = strconv.AppendInt(text, cl.record.ClosesAt.Unix(), 10)
			text = strconv.AppendBool(text, c.tokenByKey[cl.key] == token)
		}
	}
	return string(text)
}

// recordFingerprint returns a text that distinguishes the claims of the explored key.
func recordFingerprint(r Record) string {
	return string(r.Token) + resultName(r.Result) + strconv.FormatInt(r.ClosesAt.Unix(), 10) + string(r.Lease)
}

// actionFingerprint returns a text that distinguishes the actions on the explored key.
func actionFingerprint(a Action) string {
	switch a := a.(type) {
	case CreateClaim:
		return "create" + recordFingerprint(a.Record)
	case SwapClaim:
		return "swap" + string(a.Token) + recordFingerprint(a.Record) + strconv.FormatUint(a.Revision, 10)
	case RemoveClaim:
		return "remove" + string(a.Token) + strconv.FormatUint(a.Revision, 10)
	case ReadClaim:
		return "read" + string(a.Token)
	}
	return "grant"
}

// eventFingerprint returns a text that distinguishes the answers of the platform's store.
func eventFingerprint(e Event) string {
	if f, ok := e.(Found); ok {
		return "found" + string(f.Token) + recordFingerprint(f.Record) + strconv.FormatUint(f.Revision, 10)
	}
	return fmt.Sprintf("%T%v", e, e)
}

// attempt is one call with the key and its progress.
type attempt struct {
	node        int
	incarnation int // of the node at the arrival; a crash starts a new incarnation
	token       Token
	decided     bool
	granted     bool
	sendBefore  time.Time
	ran         bool
	settled     bool
	definite    bool // the decision was a grant or a result
}

// node is one instance: its core, the actions that the store has not received yet, and the answers
// that the core has not received yet.
type node struct {
	core        stepCore
	incarnation int
	actions     []Action
	answers     []Event
}

// world is a state of the model: two instances, one key and the platform's store.
type world struct {
	clock         int // index into times
	record        *Record
	revision      uint64
	nodes         [2]node
	delayedWrites []Action // writes that may still take effect at any time
	attempts      []attempt
	runs          int

	arrivals, faults, crashes, ticks int // how many more of each can happen

	replayedUnknown, replayedNotRun bool // whether a caller received this final result
	path                            []string
	violation                       string // the invariant that is violated; empty if none is
}

// times are the offsets from the start at which the steps of a world happen: the start, one time after
// the send limit and two after the closing time. The last, after every closing time, is used by
// checkConvergence only.
var times = []time.Duration{0, 15 * time.Second, 100 * time.Second, 200 * time.Second, 400 * time.Second}

func (w *world) now() time.Time { return scripter.Start.Add(times[w.clock]) }

func (w *world) clone() *world {
	d := *w
	for i := range d.nodes {
		d.nodes[i].core = w.nodes[i].core.clone()
		d.nodes[i].actions = slices.Clone(w.nodes[i].actions)
		d.nodes[i].answers = slices.Clone(w.nodes[i].answers)
	}
	d.delayedWrites = slices.Clone(w.delayedWrites)
	d.attempts = slices.Clone(w.attempts)
	d.path = slices.Clone(w.path)
	return &d
}

func (w *world) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.clock, w.revision, w.runs, w.arrivals, w.faults, w.crashes, w.ticks, w.replayedUnknown, w.replayedNotRun)
	for _, att := range w.attempts {
		fmt.Fprint(h, att.node, att.incarnation, att.decided, att.granted, att.ran, att.settled, att.definite, att.sendBefore.Unix())
	}
	text := ""
	if w.record != nil {
		text = recordFingerprint(*w.record)
	}
	for _, n := range w.nodes {
		text += "|" + strconv.Itoa(n.incarnation) + n.core.print()
		for _, a := range n.actions {
			text += ";" + actionFingerprint(a)
		}
		for _, e := range n.answers {
			text += ":" + eventFingerprint(e)
		}
	}
	for _, a := range w.delayedWrites {
		text += "," + actionFingerprint(a)
	}
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// submit steps the core of node i with e and queues the resulting actions.
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

// decide delivers d to attempt k and checks d against the calls that ran.
func (w *world) decide(k int, d Decision) {
	att := &w.attempts[k]
	if att.decided {
		w.violation = "an attempt was decided twice"
	}
	att.decided = true
	switch d := d.(type) {
	case Granted:
		att.granted, att.sendBefore = true, d.SendBefore
		att.definite = true
	case Replay:
		att.definite = true
		w.replay(d.Result)
	}
}

func (w *world) replay(r Result) {
	switch r.(type) {
	case Answered:
		if w.runs == 0 {
			w.violation = "the answer of a call that did not run was replayed"
		}
	case NotRun:
		w.replayedNotRun = true
		if w.runs > 0 {
			w.violation = "a call that ran was reported as not run"
		}
	case Unknown:
		w.replayedUnknown = true
	}
}

// run dispatches the call of attempt k, which then runs at an endpoint.
func (w *world) run(k int) {
	w.attempts[k].ran = true
	w.runs++
	switch {
	case w.runs > 1:
		w.violation = "the call ran twice"
	case w.replayedNotRun:
		w.violation = "a call ran after it was reported never to run"
	case w.replayedUnknown:
		w.violation = "a call ran after its outcome was reported as finally unknown"
	}
}

// settle reports the result of attempt k to its core.
func (w *world) settle(k int, r Result) {
	w.attempts[k].settled = true
	w.submit(w.attempts[k].node, Settled{Token: w.attempts[k].token, Result: r})
}

// arrive submits a call with the key to node i.
func (w *world) arrive(i int, key Key) {
	k := len(w.attempts)
	token := Token(fmt.Sprintf("t%d", k))
	w.attempts = append(w.attempts, attempt{node: i, incarnation: w.nodes[i].incarnation, token: token})
	w.submit(i, Arrived{Call: Call(k), Token: token, Key: key})
}

// apply performs an action at the platform's store and returns the answer.
func (w *world) apply(a Action) Event {
	switch a := a.(type) {
	case GrantLease:
		return LeaseGranted{Lease: storeclient.LeaseID("lease")}
	case CreateClaim:
		if w.record != nil {
			return Conflicted{Token: a.Token}
		}
		return w.write(a.Token, a.Record)
	case SwapClaim:
		if w.record == nil || w.revision != a.Revision {
			return Conflicted{Token: a.Token}
		}
		return w.write(a.Token, a.Record)
	case RemoveClaim:
		if w.record == nil || w.revision != a.Revision {
			return Conflicted{Token: a.Token}
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

// isWrite reports whether a changes the stored claim.
func isWrite(a Action) bool {
	switch a.(type) {
	case CreateClaim, SwapClaim, RemoveClaim:
		return true
	}
	return false
}

// failure returns the event that reports the failure of a.
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
