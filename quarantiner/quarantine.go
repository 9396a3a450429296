package quarantiner

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Quarantine is the quarantine of a fingerprint at an instance.
type Quarantine struct {
	Fingerprint identifier.Fingerprint
	Kind        Kind
	Part        identifier.Part // empty if unknown or not a part
	Losses      []identifier.Process
	Until       time.Time
}

// Quarantines returns the quarantines, by the time of the first loss.
func (q *Quarantiner) Quarantines() []Quarantine {
	var out []Quarantine
	for _, fp := range q.order {
		if s := q.suspects[fp]; s.quarantined {
			out = append(out, Quarantine{Fingerprint: fp, Kind: s.kind, Part: s.part, Losses: s.processes(), Until: s.expiry(q.cfg)})
		}
	}
	return out
}

// lift ends the quarantine of a fingerprint at all instances. Its losses are forgotten, and for
// AnsweredTTL, or PartAnsweredTTL, it is not suspected.
func (q *Quarantiner) lift(now time.Time, fp identifier.Fingerprint) {
	s := q.suspects[fp]
	if s == nil || !s.quarantined {
		return
	}
	q.logDecision(s, DecisionLift, loss{})
	for i := range s.losses {
		s.losses[i].announced = true // so that the end is announced
	}
	q.clear(now, s.attribute, true)
}
