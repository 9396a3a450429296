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
// ProofDelay, and for ClearDelay if the part has losses. While the store is lost, the list does
// not show the end of a process, and no losses are cleared.
func (q *Quarantiner) proveCompletions(now time.Time) {
	var proved []identifier.Fingerprint
	q.completions = slices.DeleteFunc(q.completions, func(c completion) bool {
		isSuspect := q.suspects[c.part] != nil
		switch {
		case now.Sub(c.at) < q.cfg.ProofDelay, isSuspect && now.Sub(c.at) < q.cfg.ClearDelay:
			return false
		case q.isListed(c.process) && !(isSuspect && q.storeLost):
			proved = append(proved, c.part)
		}
		return true
	})
	for _, fp := range proved {
		q.clear(now, attribute{fingerprint: fp, kind: KindPart}, true)
	}
}
