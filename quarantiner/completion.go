package quarantiner

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Limits of what is followed for the parts of prompts; further attempts and answers prove nothing.
const (
	maxRuns        = 4096
	maxCompletions = 16384 // without proof
)

// run is a running attempt of a request with a part.
type run struct {
	part      identifier.Fingerprint
	process   identifier.Process
	startedAt time.Time
}

// completion is an answer that looks complete, to a request with a part or to a request itself. It says
// that these crash no endpoints once the process has outlived it: an answer without a length ends
// with its connection, and looks complete if the process ends between two events.
type completion struct {
	attribute attribute
	process   identifier.Process
	startedAt time.Time
	at        time.Time
}

// needsProof reports whether an answer to a request with a part is needed as proof, because the
// part has not been answered for some time.
func (q *Quarantiner) needsProof(now time.Time, p Part) bool {
	age, ok := q.answeredParts.age(now, p.Fingerprint)
	return !ok || age >= q.cfg.PartAnsweredTTL/2
}

// startRuns records a running attempt for the parts that need proof.
func (q *Quarantiner) startRuns(now time.Time, e AttemptStarted) {
	for _, p := range e.Parts {
		if q.needsProof(now, p) && len(q.runs) < maxRuns {
			q.runs = append(q.runs, run{part: p.Fingerprint, process: e.Process, startedAt: now})
		}
	}
}

// endRun removes and returns the running attempt with a part that was sent to a process first.
func (q *Quarantiner) endRun(now time.Time, part identifier.Fingerprint, p identifier.Process) run {
	for i, r := range q.runs {
		if r.part == part && r.process == p {
			q.runs = slices.Delete(q.runs, i, i+1)
			return r
		}
	}
	return run{part: part, process: p, startedAt: now}
}

// endRuns ends the runs of an attempt. A complete answer is recorded for the parts that it may clear.
func (q *Quarantiner) endRuns(now time.Time, e AttemptEnded) {
	for _, p := range e.Parts {
		r := q.endRun(now, p.Fingerprint, e.Process)
		if e.Result.isComplete() && q.needsProof(now, p) {
			q.complete(completion{attribute: attribute{fingerprint: p.Fingerprint, kind: KindPart}, process: e.Process, startedAt: r.startedAt, at: now})
		}
	}
	if e.Result == ResultUndelimited {
		q.complete(completion{attribute: attribute{fingerprint: e.Fingerprint}, process: e.Process, startedAt: now, at: now})
	}
}

func (q *Quarantiner) complete(c completion) {
	if len(q.completions) < maxCompletions {
		q.completions = append(q.completions, c)
	}
}

// dropRuns forgets the runs and completions at a process that has ended.
func (q *Quarantiner) dropRuns(p identifier.Process) {
	q.runs = slices.DeleteFunc(q.runs, func(r run) bool { return r.process == p })
	q.completions = slices.DeleteFunc(q.completions, func(c completion) bool { return c.process == p })
}

// proveCompletions clears the attributes whose completions their processes have outlived for
// ClearDelay. Completions wait until the store has been healthy for long enough to list the end of a
// process.
func (q *Quarantiner) proveCompletions(now time.Time) {
	if q.storeLost || now.Sub(q.storeHealthyAt) < q.cfg.DisproofDelay {
		return
	}
	var proved []attribute
	q.completions = slices.DeleteFunc(q.completions, func(c completion) bool {
		if now.Sub(c.at) < q.cfg.ClearDelay {
			return false
		}
		if q.isListed(c.process) {
			proved = append(proved, c.attribute)
		}
		return true
	})
	for _, a := range proved {
		q.clear(now, a, true)
	}
}

// survives reports whether a process that is not known to have ended has outlived the start of a
// run with a part by ProofDelay. The run goes on or was answered.
func (q *Quarantiner) survives(now time.Time, part identifier.Fingerprint) bool {
	proves := func(fp identifier.Fingerprint, p identifier.Process, startedAt time.Time) bool {
		return fp == part && now.Sub(startedAt) >= q.cfg.ProofDelay && q.isListed(p)
	}
	return slices.ContainsFunc(q.runs, func(r run) bool { return proves(r.part, r.process, r.startedAt) }) ||
		slices.ContainsFunc(q.completions, func(c completion) bool { return proves(c.attribute.fingerprint, c.process, c.startedAt) })
}
