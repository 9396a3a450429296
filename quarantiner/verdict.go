package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// Numbers of losses.
const (
	requestLosses     = 2 // that quarantine a request
	partLosses        = 4 // that quarantine a part
	unexplainedLosses = 2 // of a part with partLosses that quarantine it although a quarantined part explains its other losses
)

// lossesToQuarantine returns the number of losses that quarantine a fingerprint.
func (k Kind) lossesToQuarantine() int {
	if k == KindPart {
		return partLosses
	}
	return requestLosses
}

// countUnexplained returns the number of losses of s that no quarantined part explains. A
// quarantined part explains the ends of all processes under which it ran.
func (q *Quarantiner) countUnexplained(s *suspect) int {
	n := 0
	for _, l := range s.losses {
		if !q.explained[l.process] {
			n++
		}
	}
	return n
}

// review derives the verdict of s after a change of its losses. The verdict of a part changes
// what is said against the other suspects.
func (q *Quarantiner) review(now time.Time, s *suspect) {
	if s.kind == KindPart && (s.quarantined || len(s.losses) >= partLosses) {
		q.judge(now, s)
		return
	}
	s.quarantined = s.kind == KindRequest && q.countUnexplained(s) >= requestLosses
}

// verdict is the verdict on a suspect.
type verdict struct {
	quarantined bool
	tied        int // of a part: number of parts that are quarantined together, itself included; see scheduler.OnTrial
}

// judge derives the verdicts of all suspects after a change of changed. Parts without a surviving
// run are judged first.
func (q *Quarantiner) judge(now time.Time, changed *suspect) {
	clear(q.explained)
	verdicts := map[*suspect]verdict{}
	var surviving, others []*suspect
	for _, s := range q.partsToJudge() {
		if q.survives(now, s.fingerprint) {
			surviving = append(surviving, s)
		} else {
			others = append(others, s)
		}
	}
	q.blame(others, unexplainedLosses, verdicts)
	q.blame(surviving, partLosses, verdicts)
	q.judged = len(verdicts) > 0
	for _, fp := range q.order {
		s := q.suspects[fp]
		v := verdicts[s]
		v.quarantined = v.quarantined || s.kind == KindRequest && q.countUnexplained(s) >= requestLosses
		q.setVerdict(s, v, s != changed)
	}
}

// blame adds the verdicts on candidates, of which limit losses that are not explained quarantine one.
// The part with the most losses comes first, because it explains those of the other parts that were
// under the same processes. Parts whose losses differ by one at most can't be told apart and are put
// on trial together.
func (q *Quarantiner) blame(candidates []*suspect, limit int, verdicts map[*suspect]verdict) {
	for len(candidates) > 0 {
		best := slices.MaxFunc(candidates, q.compareGuilt)
		n := q.countUnexplained(best)
		if n < limit {
			return
		}
		var tied, others []*suspect
		for _, s := range candidates {
			if s == best || q.countShared(s, best) >= n-1 {
				tied = append(tied, s)
			} else {
				others = append(others, s)
			}
		}
		for _, s := range tied {
			verdicts[s] = verdict{quarantined: true, tied: len(tied)}
			for _, l := range s.losses {
				q.explained[l.process] = true
			}
		}
		candidates = others
	}
}

// partsToJudge returns the parts with enough losses for a quarantine.
func (q *Quarantiner) partsToJudge() []*suspect {
	var out []*suspect
	for _, fp := range q.order {
		if s := q.suspects[fp]; s.kind == KindPart && len(s.losses) >= partLosses {
			out = append(out, s)
		}
	}
	return out
}

// compareGuilt orders parts by the number of losses that are not explained, then by the time of the last loss.
func (q *Quarantiner) compareGuilt(a, b *suspect) int {
	return cmp.Or(cmp.Compare(q.countUnexplained(a), q.countUnexplained(b)), a.lastLossAt.Compare(b.lastLossAt), cmp.Compare(a.fingerprint, b.fingerprint))
}

// countShared returns the number of losses of a that are not explained and that b has too.
func (q *Quarantiner) countShared(a, b *suspect) int {
	n := 0
	for _, l := range a.losses {
		if !q.explained[l.process] && b.find(l.process) != nil {
			n++
		}
	}
	return n
}

// setVerdict sets the verdict on s, and applies it if apply is set.
func (q *Quarantiner) setVerdict(s *suspect, v verdict, apply bool) {
	changed := s.quarantined != v.quarantined
	s.verdict = v
	if !apply {
		return
	}
	if changed && v.quarantined {
		q.logDecision(s, DecisionQuarantine, loss{})
	} else if changed {
		q.logDecision(s, DecisionExplain, loss{})
	}
	q.restrict(s.fingerprint)
}

// restrict derives the restriction of a fingerprint and emits it if it has changed. A part is
// restricted by a quarantine only, because innocent requests share it.
func (q *Quarantiner) restrict(fp identifier.Fingerprint) {
	next := Restrict{Fingerprint: fp, Restriction: scheduler.Unrestricted}
	s := q.suspects[fp]
	switch {
	case s != nil && s.quarantined && s.tied > 1:
		next.Restriction, next.Until, next.Tied = scheduler.OnTrial, s.expiry(q.cfg), s.tied
	case s != nil && s.quarantined:
		next.Restriction, next.Until = scheduler.Quarantined, s.expiry(q.cfg)
	case s != nil && s.kind == KindPart:
	case q.checking[fp] > 0 && (s != nil || q.checking[fp] >= requestLosses):
		next.Restriction = scheduler.Held
	case s != nil && q.countUnexplained(s) > 0:
		next.Restriction = scheduler.OneAtATime
	}
	old, restricted := q.restrictions[fp]
	switch {
	case next.Restriction != scheduler.Unrestricted && next != old:
		q.restrictions[fp] = next
		q.emit(next)
	case next.Restriction == scheduler.Unrestricted && restricted:
		delete(q.restrictions, fp)
		q.emit(next)
	}
}
