package quarantiner

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// Limits of the suspects.
const (
	maxSuspects        = 4096 // the suspect with the oldest first loss is evicted first
	lossesToQuarantine = 2
)

// suspect is a fingerprint with losses.
type suspect struct {
	fingerprint identifier.Fingerprint
	losses      []loss // in the order in which this instance learned of them
	lastLossAt  time.Time
	unshared    bool // an announcement of the losses did not reach all peers
}

// loss is the end of a process that ran a request, as this instance knows it.
type loss struct {
	process      Process
	source       Source
	learnedAt    time.Time
	announced    bool      // to the peers, or by a peer
	revision     uint64    // in the store; zero if the store does not hold the loss
	storeTriedAt time.Time // of the last StoreLoss action; zero for none
}

func (s *suspect) isQuarantined() bool { return len(s.losses) >= lossesToQuarantine }

// expiry returns the time at which s is forgotten unless it has another loss.
func (s *suspect) expiry(cfg Config) time.Time {
	if s.isQuarantined() {
		return s.lastLossAt.Add(cfg.QuarantineTTL)
	}
	return s.lastLossAt.Add(cfg.SuspicionTTL)
}

func (s *suspect) find(p Process) *loss {
	i := slices.IndexFunc(s.losses, func(l loss) bool { return l.process == p })
	if i < 0 {
		return nil
	}
	return &s.losses[i]
}

func (s *suspect) report() Report {
	r := Report{Fingerprint: s.fingerprint}
	for _, l := range s.losses {
		r.Losses = append(r.Losses, l.process)
	}
	return r
}

// addLoss adds a loss of a fingerprint unless it is known, and returns it. It returns nil if
// the fingerprint was answered recently.
func (q *Quarantiner) addLoss(now time.Time, fp identifier.Fingerprint, p Process, source Source) *loss {
	if q.answered.hasRecent(now, fp) {
		return nil
	}
	s := q.suspects[fp]
	if s == nil {
		s = &suspect{fingerprint: fp}
		q.insert(s)
	}
	if l := s.find(p); l != nil {
		return l
	}
	s.losses = append(s.losses, loss{process: p, source: source, learnedAt: now, announced: source == SourcePeer})
	s.lastLossAt = now
	decision := DecisionSuspect
	if s.isQuarantined() {
		decision = DecisionQuarantine
	}
	q.emit(LogDecision{Fingerprint: fp, Decision: decision, Process: p, Source: source, Losses: len(s.losses)})
	return &s.losses[len(s.losses)-1]
}

// insert adds s to the suspects and evicts the oldest suspect if there are too many.
func (q *Quarantiner) insert(s *suspect) {
	if len(q.order) >= maxSuspects {
		q.removeSuspect(q.suspects[q.order[0]], DecisionEvict)
	}
	q.suspects[s.fingerprint] = s
	q.order = append(q.order, s.fingerprint)
}

// removeSuspect forgets s and lifts its restriction.
func (q *Quarantiner) removeSuspect(s *suspect, d Decision) {
	delete(q.suspects, s.fingerprint)
	q.order = slices.DeleteFunc(q.order, func(fp identifier.Fingerprint) bool { return fp == s.fingerprint })
	q.emit(LogDecision{Fingerprint: s.fingerprint, Decision: d})
	q.restrict(s.fingerprint)
}

// clear removes the losses of a fingerprint that was answered, here and in the store.
func (q *Quarantiner) clear(now time.Time, fp identifier.Fingerprint, announce bool) {
	q.answered.add(now, fp)
	s := q.suspects[fp]
	if s == nil {
		return
	}
	wasAnnounced := false
	for _, l := range s.losses {
		wasAnnounced = wasAnnounced || l.announced
		if l.revision != 0 && announce {
			q.emit(DeleteLoss{Fingerprint: fp, Process: l.process, Revision: l.revision})
		}
	}
	if wasAnnounced && announce {
		q.emit(Announce{Report{Fingerprint: fp, Cleared: true}})
	}
	q.removeSuspect(s, DecisionClear)
}

// withdraw removes the losses of s whose processes live: the list has the process, and the
// store has been healthy for long enough to list its end.
func (q *Quarantiner) withdraw(now time.Time, s *suspect) {
	if q.storeLost || now.Sub(q.storeHealthyAt) < q.cfg.DisproofDelay {
		return
	}
	before := len(s.losses)
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool {
		if now.Sub(l.learnedAt) < q.cfg.DisproofDelay || !q.isListed(l.process) {
			return false
		}
		if l.revision != 0 && l.source.isOwn() {
			q.emit(DeleteLoss{Fingerprint: s.fingerprint, Process: l.process, Revision: l.revision})
		}
		q.emit(LogDecision{Fingerprint: s.fingerprint, Decision: DecisionWithdraw, Process: l.process, Source: l.source})
		return true
	})
	if len(s.losses) < before && len(s.losses) == 0 {
		q.removeSuspect(s, DecisionWithdraw)
	}
}

// announce announces the losses of s that follow from attempts of this instance. While a copy
// of the request runs here, whose answer may clear it, a single loss is announced after
// AnnounceDelay only.
func (q *Quarantiner) announce(now time.Time, s *suspect) {
	i := slices.IndexFunc(s.losses, func(l loss) bool { return !l.announced && l.source.isOwn() })
	if i < 0 {
		return
	}
	if q.running[s.fingerprint] > 0 && !s.isQuarantined() && now.Sub(s.losses[i].learnedAt) < q.cfg.AnnounceDelay {
		return
	}
	for i := range s.losses {
		s.losses[i].announced = true
	}
	q.emit(Announce{s.report()})
}

// store requests that the store receives the losses of s that it does not hold: those of a
// quarantine, and a single loss that did not reach all peers. The losses that follow from
// attempts of other instances are left to these instances, unless takeOver is set.
func (q *Quarantiner) store(now time.Time, s *suspect, takeOver bool) {
	if q.storeLost {
		return
	}
	for i := range s.losses {
		l := &s.losses[i]
		age := now.Sub(l.learnedAt)
		due := l.source.isOwn() && (s.isQuarantined() || s.unshared && age >= q.cfg.StoreDelay) || takeOver && age >= q.cfg.TakeOverDelay
		if l.revision != 0 || !due || !l.storeTriedAt.IsZero() && now.Sub(l.storeTriedAt) < q.cfg.StoreRetryDelay {
			continue
		}
		l.storeTriedAt = now
		q.emit(StoreLoss{Fingerprint: s.fingerprint, Process: l.process})
	}
}

// restrict derives the restriction of a fingerprint and emits it if it has changed.
func (q *Quarantiner) restrict(fp identifier.Fingerprint) {
	next := Restrict{Fingerprint: fp, Restriction: scheduler.Unrestricted}
	s := q.suspects[fp]
	switch {
	case s != nil && s.isQuarantined():
		next.Restriction, next.Until = scheduler.Quarantined, s.expiry(q.cfg)
	case q.checking[fp] > 0 && (s != nil || q.checking[fp] >= lossesToQuarantine):
		next.Restriction = scheduler.Held
	case s != nil:
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
