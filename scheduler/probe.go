package scheduler

import (
	"cmp"
	"time"
)

// Bounds on probes of targets while the instance is cut off.
const (
	maxProbes     = 2                      // at once
	probeInterval = 250 * time.Millisecond // from a probe without an answer to the next one; one with an answer is followed by the next at once
)

// probe asks some targets that have not answered since the instance was cut off for a sign of life, so
// that no request has to find out which of them can be reached. The one that was asked last the
// longest time ago goes first.
func (s *Scheduler) probe(now time.Time) {
	r := &s.reach
	if !r.isCutOff() {
		return
	}
	for r.probes < maxProbes && !now.Before(r.nextProbeAt) {
		var next *target
		for _, t := range s.targets {
			if t.Evacuated || t.isProbed || !t.statement.admits(now) || t.hasAnsweredSince(r.cutSince) && !t.isUnreachable() {
				continue
			}
			if next == nil || cmp.Or(t.probedAt.Compare(next.probedAt), cmp.Compare(t.ID, next.ID)) < 0 {
				next = t
			}
		}
		if next == nil {
			return
		}
		r.probes++
		next.isProbed, next.probedAt = true, now
		s.emit(Probe{Target: next.Target})
	}
}

// handleProbed records the result of a probe. A target that was stalled gets a trial request next: its
// endpoint can be reached, but its group may be broken.
func (s *Scheduler) handleProbed(now time.Time, e Probed) {
	r := &s.reach
	r.probes--
	if !e.Answered {
		r.nextProbeAt = now.Add(probeInterval)
	}
	if t := s.targets[e.Target.ID]; t != nil {
		t.isProbed = false
		switch {
		case !t.isSameIncarnation(e.Target):
		case e.Answered:
			t.recordContact(now)
		default:
			t.unreachableAt = now
		}
	}
	s.updateReach(now)
	s.probe(now)
}
