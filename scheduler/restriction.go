package scheduler

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// suspectRetryAfter is the time after which the caller of a copy of a suspected request should
// retry; the copy that runs has usually been answered by then.
const suspectRetryAfter = 500 * time.Millisecond

// Restriction bounds the attempts of the requests with one fingerprint, or with a part that has it.
type Restriction uint8

// The restrictions.
const (
	Unrestricted Restriction = iota
	OneAtATime               // one attempt at a time, because an endpoint ended while it ran the request
	Held                     // no attempt until the restriction changes, because it is being checked whether several endpoints have ended
	OnTrial                  // of a part: one attempt at a time, and none of a request with all the parts that are on trial together, because endpoints ended under them together
	Quarantined              // no attempt
)

// String returns the name of the restriction in logs.
func (r Restriction) String() string {
	return [...]string{"unrestricted", "oneAtATime", "held", "onTrial", "quarantined"}[r]
}

// restriction is a Restriction with its end.
type restriction struct {
	Restriction
	until time.Time // end of a quarantine or a trial
	tied  int       // number of parts that are on trial together
}

// maxCopyLoad is the load as a fraction of a target's slots up to which copies of a request
// share the target of the first copy.
const maxCopyLoad = 0.5

// targetOfCopy returns the target of another request with the fingerprint of f, or nil. Copies
// that arrive before the first has ended share its target, so that at most one endpoint ends if
// they crash it.
func (s *Scheduler) targetOfCopy(f *flight) *target {
	if s.copies[f.Fingerprint] < 2 {
		return nil
	}
	for _, o := range sortedFlights(s.flights) {
		if o == f || o.Fingerprint != f.Fingerprint {
			continue
		}
		for _, a := range o.running {
			if a.target != nil && s.targets[a.target.ID] == a.target {
				return a.target
			}
		}
	}
	return nil
}

// setRestriction replaces the restriction of a fingerprint.
func (s *Scheduler) setRestriction(e RestrictionSet) {
	if e.Restriction == Unrestricted {
		delete(s.restrictions, e.Fingerprint)
		return
	}
	s.restrictions[e.Fingerprint] = restriction{Restriction: e.Restriction, until: e.Until, tied: e.Tied}
}

// quarantineOf returns the fingerprint and the restriction that refuse f: a quarantine of f or of
// a part, or the trial of one of several parts if f holds all that are on trial together, because a
// run of f would not tell them apart. It returns false if there is none.
func (s *Scheduler) quarantineOf(f *flight) (identifier.Fingerprint, restriction, bool) {
	if len(s.restrictions) == 0 {
		return 0, restriction{}, false
	}
	if fp, r, n := s.lastRestriction(f, Quarantined); n > 0 {
		return fp, r, true
	}
	fp, r, n := s.lastRestriction(f, OnTrial)
	return fp, r, n > 1 && n >= r.tied
}

// lastRestriction returns, of the restrictions of a kind on f and its parts, the one that ends last
// with its fingerprint, and their number.
func (s *Scheduler) lastRestriction(f *flight, kind Restriction) (fp identifier.Fingerprint, last restriction, n int) {
	check := func(candidate identifier.Fingerprint) {
		r := s.restrictions[candidate]
		if r.Restriction != kind {
			return
		}
		n++
		if n == 1 || r.until.After(last.until) {
			fp, last = candidate, r
		}
	}
	check(f.Fingerprint)
	for _, part := range f.Parts {
		check(part)
	}
	return fp, last, n
}

// isTried reports whether a part of f is on trial in another request that runs at a target.
func (s *Scheduler) isTried(f *flight) bool {
	if len(s.restrictions) == 0 {
		return false
	}
	for _, fp := range f.Parts {
		if s.restrictions[fp].Restriction == OnTrial && s.runsPart(f, fp) {
			return true
		}
	}
	return false
}

// runsPart reports whether another request than f with a part runs at a target.
func (s *Scheduler) runsPart(f *flight, part identifier.Fingerprint) bool {
	for _, o := range s.flights {
		if o != f && len(o.running) > 0 && slices.Contains(o.Parts, part) {
			return true
		}
	}
	return false
}

// blockingReason returns the reason why the restrictions of f and of its parts allow no attempt now, or "".
func (s *Scheduler) blockingReason(f *flight) Reason {
	if _, _, quarantined := s.quarantineOf(f); quarantined {
		return ReasonQuarantined
	}
	if s.isTried(f) {
		return ReasonSuspected
	}
	r, ok := s.restrictions[f.Fingerprint]
	switch {
	case !ok:
		return ""
	case r.Restriction == Held, s.runsCopyOf(f):
		return ReasonSuspected
	}
	return ""
}

// isRestricted reports whether the fingerprint of f or of one of its parts has a restriction.
func (s *Scheduler) isRestricted(f *flight) bool {
	hasRestriction := func(fp identifier.Fingerprint) bool {
		_, ok := s.restrictions[fp]
		return ok
	}
	return hasRestriction(f.Fingerprint) || slices.ContainsFunc(f.Parts, hasRestriction)
}

// runsCopyOf reports whether another request with the fingerprint of f runs at a target.
func (s *Scheduler) runsCopyOf(f *flight) bool {
	if s.copies[f.Fingerprint] < 2 {
		return false
	}
	for _, o := range s.flights {
		if o != f && o.Fingerprint == f.Fingerprint && len(o.running) > 0 {
			return true
		}
	}
	return false
}

// block ends f or lets it wait because its restriction allows no attempt now. Only a request
// whose connection broke in an earlier attempt waits, until it is known whether the endpoint
// has ended.
func (s *Scheduler) block(now time.Time, f *flight, reason Reason) {
	if reason == ReasonQuarantined || f.attempts == 0 || f.failedStatus != 0 {
		s.giveUp(now, f, reason)
		return
	}
	s.wait(now, f, reason)
}

// restrictedOutcome returns the outcome of a restricted request that was never sent. Its caller
// should retry when the quarantine ends, or when the trial or the running copy has probably ended.
func (s *Scheduler) restrictedOutcome(now time.Time, f *flight, reason Reason) NotRun {
	fp, r, quarantined := s.quarantineOf(f)
	switch {
	case !quarantined:
		return NotRun{Reason: reason, RetryAfter: suspectRetryAfter, Fingerprint: f.Fingerprint}
	case r.Restriction == OnTrial:
		return NotRun{Reason: reason, RetryAfter: maxRetryAfter, Fingerprint: fp}
	}
	return NotRun{Reason: reason, RetryAfter: max(r.until.Sub(now), minRetryAfter).Round(time.Second), Fingerprint: fp}
}
