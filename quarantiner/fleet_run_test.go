package quarantiner_test

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/scheduler"
)

// begin starts a run at the endpoint of an attempt.
func (f *fleet) begin(i *simInstance, key runKey, target scheduler.Target) {
	e := f.endpoints[target.ID]
	if !i.up || i.process != key.process {
		return
	}
	if !e.up || e.start != target.ProcessStart {
		f.end(i, key, target, scheduler.NotSent{}, quarantiner.ResultNotRun)
		return
	}
	e.runs[key] = true
	start := e.start
	if r := i.requests[key.ref]; r.processes != nil {
		r.processes[identifier.Process{Endpoint: e.id, Start: start}] = true
	}
	if i.requests[key.ref].crashes {
		f.crashSends = append(f.crashSends, crashSend{at: f.now, inTouch: f.isInTouch(i)})
		f.after(f.crashTime, func() {
			if e.up && e.start == start {
				f.crashes = append(f.crashes, f.now)
				f.crash(e)
			}
		})
		return
	}
	f.after(benignRunTime, func() {
		if e.up && e.start == start && e.runs[key] {
			delete(e.runs, key)
			f.end(i, key, target, scheduler.Completed{}, f.answerResult())
		}
	})
}

// answerResult returns the result of an answer that looks complete.
func (f *fleet) answerResult() quarantiner.Result {
	if f.looksComplete {
		return quarantiner.ResultUndelimited
	}
	return quarantiner.ResultAnswered
}

// isInTouch reports whether neither an instance nor its way to the store was disrupted for stableTime.
func (f *fleet) isInTouch(i *simInstance) bool {
	return i.up && !i.storeCut && !f.storeDown && f.now.Sub(i.disruptedAt) >= stableTime
}

// abandon ends a run whose instance has given it up. The endpoint does not notice.
func (f *fleet) abandon(i *simInstance, key runKey) {
	for _, e := range f.endpoints {
		if e.runs[key] {
			delete(e.runs, key)
			f.end(i, key, scheduler.Target{ID: e.id, ProcessStart: e.start}, scheduler.Abandoned{}, quarantiner.ResultUnanswered)
			return
		}
	}
}

func (f *fleet) end(i *simInstance, key runKey, target scheduler.Target, ending scheduler.Ending, result quarantiner.Result) {
	if !i.up || i.process != key.process {
		return
	}
	r, known := i.requests[key.ref]
	if !known {
		return
	}
	process := identifier.Process{Endpoint: target.ID, Start: target.ProcessStart}
	f.stepQuarantiner(i, quarantiner.AttemptEnded{Fingerprint: r.fingerprint, Parts: r.parts, Process: process, Result: result})
	f.stepScheduler(i, scheduler.Ended{Ref: key.ref, Attempt: key.attempt, Ending: ending})
}

// crash ends the process of an endpoint. A new process comes, mostly under the same ID.
func (f *fleet) crash(e *simEndpoint) {
	e.up = false
	target := scheduler.Target{ID: e.id, ProcessStart: e.start}
	var keys []runKey
	for key := range e.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.ref, b.ref), cmp.Compare(a.attempt, b.attempt))
	})
	for _, key := range keys {
		i := f.instances[key.instance]
		if f.looksComplete && f.rand.IntN(4) == 0 {
			f.after(f.random(5), func() { f.end(i, key, target, scheduler.Completed{}, f.answerResult()) })
			continue
		}
		f.after(f.random(5), func() { f.end(i, key, target, scheduler.Broken{}, quarantiner.ResultBroken) })
	}
	f.after(listingDelay, func() {
		if !e.up {
			f.list(func(entries []endpointlister.Endpoint) []endpointlister.Endpoint { return deleteEntry(entries, e.id) })
		}
	})
	f.after(time.Second+f.random(4000), func() { f.addEndpoint(e.id) })
}

// countEnded returns the number of processes that have ended.
func (f *fleet) countEnded(processes map[identifier.Process]bool) int {
	n := 0
	for p := range processes {
		if e := f.endpoints[p.Endpoint]; !e.up || e.start != p.Start {
			n++
		}
	}
	return n
}
