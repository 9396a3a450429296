package quarantiner

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// maxCompletions bounds the completions of an instance that have not been proved.
const maxCompletions = 16384

// completion is a complete answer to a request with a part. It says that the part crashes no
// endpoints once the process has outlived it: an answer without a length ends with its
// connection, and looks complete if the process ends between two events.
type completion struct {
	part    identifier.Fingerprint
	process Process
	at      time.Time
}

// complete records the complete answer of an attempt for the parts that it may clear. A part
// that was answered a short time ago needs no further proof.
func (q *Quarantiner) complete(now time.Time, e AttemptEnded) {
	for _, p := range e.Parts {
		age, ok := q.answeredParts.age(now, p.Fingerprint)
		if ok && age < q.cfg.AnsweredTTL/2 || len(q.completions) >= maxCompletions {
			continue
		}
		q.completions = append(q.completions, completion{part: p.Fingerprint, process: e.Process, at: now})
	}
}

// dropCompletions forgets the completions at a process that has ended.
func (q *Quarantiner) dropCompletions(p Process) {
	q.completions = slices.DeleteFunc(q.completions, func(c completion) bool { return c.process == p })
}

// proveCompletions clears the parts of the completions that their processes have outlived for
// ClearDelay. While the store is lost, the list does not show the end of a process, and parts
// with losses are not cleared.
func (q *Quarantiner) proveCompletions(now time.Time) {
	due := 0
	for due < len(q.completions) && now.Sub(q.completions[due].at) >= q.cfg.ClearDelay {
		due++
	}
	list := q.completions[:due]
	q.completions = q.completions[due:]
	for _, c := range list {
		if q.isListed(c.process) && (q.suspects[c.part] == nil || !q.storeLost) {
			q.clear(now, attribute{fingerprint: c.part, kind: KindPart}, true)
		}
	}
}

// isAnswered reports whether a part was answered at least ProofDelay ago by a process that is not known to have ended.
func (q *Quarantiner) isAnswered(now time.Time, part identifier.Fingerprint) bool {
	return slices.ContainsFunc(q.completions, func(c completion) bool {
		return c.part == part && now.Sub(c.at) >= q.cfg.ProofDelay && q.isListed(c.process)
	})
}
