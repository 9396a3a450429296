package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// maxSuspects bounds the suspects. Of those that are not quarantined, one with the fewest losses
// is evicted first, and of these the oldest.
const maxSuspects = 4096

// attribute is what requests that crash endpoints may have in common.
type attribute struct {
	fingerprint identifier.Fingerprint
	kind        Kind
	part        identifier.Part // empty if unknown or not a part
}

// suspect is an attribute with losses.
type suspect struct {
	attribute
	losses     []loss // in the order in which this instance learned of them
	lastLossAt time.Time
	verdict
	unshared bool // an announcement of the losses did not reach all peers
}

// loss is the end of a process that ran a request, as this instance knows it.
type loss struct {
	process      identifier.Process
	source       Source
	learnedAt    time.Time
	announced    bool      // to the peers, or by a peer
	revision     uint64    // in the store; zero if the store does not hold the loss
	storeTriedAt time.Time // of the last StoreLoss action; zero for none
}

// expiry returns the time at which s is forgotten unless it has another loss.
func (s *suspect) expiry(cfg Config) time.Time {
	if s.quarantined {
		return s.lastLossAt.Add(cfg.QuarantineTTL)
	}
	return s.lastLossAt.Add(cfg.SuspicionTTL)
}

func (s *suspect) find(p identifier.Process) *loss {
	i := slices.IndexFunc(s.losses, func(l loss) bool { return l.process == p })
	if i < 0 {
		return nil
	}
	return &s.losses[i]
}

// processes returns the processes of the losses.
func (s *suspect) processes() []identifier.Process {
	var out []identifier.Process
	for _, l := range s.losses {
		out = append(out, l.process)
	}
	return out
}

func (s *suspect) report() Report {
	return Report{Fingerprint: s.fingerprint, Kind: s.kind, Part: s.part, Losses: s.processes()}
}

// lose adds the loss of a process to the attributes of an attempt. Those of parts come first,
// because they may explain that of the request.
func (q *Quarantiner) lose(now time.Time, x exposure, p identifier.Process, source Source) {
	q.dropRuns(p)
	for _, part := range x.parts {
		q.addLoss(now, attribute{fingerprint: part.Fingerprint, kind: KindPart, part: part.ID}, p, source)
		q.update(now, part.Fingerprint)
	}
	q.addLoss(now, attribute{fingerprint: x.fingerprint}, p, source)
	q.update(now, x.fingerprint)
}

// addLoss adds a loss of an attribute unless it is known, and returns it. It returns nil if the
// attribute was answered recently.
func (q *Quarantiner) addLoss(now time.Time, a attribute, p identifier.Process, source Source) *loss {
	if q.answeredOf(a.kind).hasRecent(now, a.fingerprint) {
		return nil
	}
	s := q.suspects[a.fingerprint]
	if s == nil {
		s = &suspect{attribute: a}
		q.insert(now, s)
	}
	s.part = cmp.Or(s.part, a.part)
	if l := s.find(p); l != nil {
		return l
	}
	q.dropRuns(p)
	s.losses = append(s.losses, loss{process: p, source: source, learnedAt: now, announced: source == SourcePeer})
	s.lastLossAt = now
	q.review(now, s)
	l := &s.losses[len(s.losses)-1]
	decision := DecisionSuspect
	if s.quarantined {
		decision = DecisionQuarantine
	}
	q.logDecision(s, decision, *l)
	return l
}

// answeredOf returns the list of the fingerprints of a kind that were answered.
func (q *Quarantiner) answeredOf(k Kind) *answeredList {
	if k == KindPart {
		return &q.answeredParts
	}
	return &q.answered
}

// logDecision reports a decision on s that follows from l, or from no loss of its own if l is zero.
func (q *Quarantiner) logDecision(s *suspect, d Decision, l loss) {
	entry := LogDecision{Fingerprint: s.fingerprint, Kind: s.kind, Part: s.part, Decision: d, Process: l.process, Source: l.source, Losses: len(s.losses)}
	if d == DecisionQuarantine {
		entry.Processes = s.processes()
	}
	q.emit(entry)
}

// insert adds s to the suspects and evicts one if there are too many.
func (q *Quarantiner) insert(now time.Time, s *suspect) {
	if len(q.order) >= maxSuspects {
		q.removeSuspect(now, q.evictee(), DecisionEvict)
	}
	q.suspects[s.fingerprint] = s
	q.order = append(q.order, s.fingerprint)
}

// evictee returns the suspect to evict.
func (q *Quarantiner) evictee() *suspect {
	rank := func(s *suspect) int {
		if s.quarantined {
			return maxSuspects
		}
		return len(s.losses)
	}
	best := q.suspects[q.order[0]]
	for _, fp := range q.order {
		if s := q.suspects[fp]; rank(s) < rank(best) {
			best = s
		}
	}
	return best
}

// removeSuspect forgets s and lifts its restriction.
func (q *Quarantiner) removeSuspect(now time.Time, s *suspect, d Decision) {
	delete(q.suspects, s.fingerprint)
	q.order = slices.DeleteFunc(q.order, func(fp identifier.Fingerprint) bool { return fp == s.fingerprint })
	q.logDecision(&suspect{attribute: s.attribute}, d, loss{})
	q.restrict(s.fingerprint)
	if s.kind == KindPart && s.quarantined {
		q.judge(now, nil)
	}
}

// clear removes the losses of an attribute that was answered, here and in the store.
func (q *Quarantiner) clear(now time.Time, a attribute, announce bool) {
	q.answeredOf(a.kind).add(now, a.fingerprint)
	s := q.suspects[a.fingerprint]
	if s == nil {
		return
	}
	wasAnnounced := false
	for _, l := range s.losses {
		wasAnnounced = wasAnnounced || l.announced
		if l.revision != 0 && announce {
			q.emit(DeleteLoss{Fingerprint: s.fingerprint, Kind: s.kind, Process: l.process, Revision: l.revision})
		}
	}
	if wasAnnounced && announce {
		q.emit(Announce{Report{Fingerprint: s.fingerprint, Kind: s.kind, Part: s.part, Cleared: true}})
	}
	q.removeSuspect(now, s, DecisionClear)
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
			q.emit(DeleteLoss{Fingerprint: s.fingerprint, Kind: s.kind, Process: l.process, Revision: l.revision})
		}
		q.emit(LogDecision{Fingerprint: s.fingerprint, Kind: s.kind, Part: s.part, Decision: DecisionWithdraw, Process: l.process, Source: l.source})
		return true
	})
	switch {
	case len(s.losses) == before:
	case len(s.losses) == 0:
		q.removeSuspect(now, s, DecisionWithdraw)
	default:
		q.review(now, s)
	}
}

// announce announces the losses of s that follow from attempts of this instance. While a copy
// of the request runs here, whose answer may clear it, a single loss is announced after
// AnnounceDelay only. Losses of a part are announced at once.
func (q *Quarantiner) announce(now time.Time, s *suspect) {
	i := slices.IndexFunc(s.losses, func(l loss) bool { return !l.announced && l.source.isOwn() })
	if i < 0 {
		return
	}
	if q.running[s.fingerprint] > 0 && !s.quarantined && now.Sub(s.losses[i].learnedAt) < q.cfg.AnnounceDelay {
		return
	}
	for i := range s.losses {
		s.losses[i].announced = true
	}
	q.emit(Announce{s.report()})
}

// store requests that the store receives the losses of s that it does not hold: those of a
// quarantine, and others that did not reach all peers. The losses that follow from
// attempts of other instances are left to these instances, unless takeOver is set.
func (q *Quarantiner) store(now time.Time, s *suspect, takeOver bool) {
	if q.storeLost {
		return
	}
	for i := range s.losses {
		l := &s.losses[i]
		age := now.Sub(l.learnedAt)
		due := l.source.isOwn() && (s.quarantined || s.unshared && age >= q.cfg.StoreDelay) || takeOver && age >= q.cfg.TakeOverDelay
		if l.revision != 0 || !due || !l.storeTriedAt.IsZero() && now.Sub(l.storeTriedAt) < q.cfg.StoreRetryDelay {
			continue
		}
		l.storeTriedAt = now
		q.emit(StoreLoss{Fingerprint: s.fingerprint, Kind: s.kind, Process: l.process})
	}
}
