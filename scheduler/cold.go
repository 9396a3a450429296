package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Times of what is known about cold targets.
const (
	coldWindow        = time.Second            // in which the operators count the requests of a cold target
	maxColdAnswer     = time.Minute            // longest cold time that one answer is believed
	maxColdCheckPause = time.Second            // between two searches for processes that are warm again, since an entry may end a cold time early
	coldTolerance     = 100 * time.Millisecond // by which an answer must lengthen a cold time to count: it is longer by its way than the process meant, and news that goes in circles each time again
)

// coldSource is the coldness of a process as the source of a limit.
type coldSource struct {
	perSecond     float64   // requests that the cold process takes from all instances together; zero for no limit
	entryUntil    time.Time // end of the cold time as the process's entry says
	answerUntil   time.Time // the same as its answers say
	restoredUntil time.Time // the same after the end of an evacuation, which this instance or another one saw
	answeredAt    time.Time // time of the answer, at this instance or another one
	hasBucket     bool      // the process has been cold before, so that its tokens go on
}

// until returns the end of the cold time.
func (c *coldSource) until() time.Time {
	return later(later(c.entryUntil, c.restoredUntil), c.answerUntil)
}

// source returns the source that says that the process is cold for the longest time. The entry does if the difference is
// one of the ways that entry and answer took, so that what all instances read in entries is not spread as news. The end of
// an evacuation is spread, because an instance that starts later can't read it anywhere.
func (c *coldSource) source() LimitSource {
	switch {
	case c.answerUntil.Sub(later(c.entryUntil, c.restoredUntil)) > coldTolerance:
		return LimitColdAnswer
	case !c.restoredUntil.IsZero() && !c.restoredUntil.Before(c.entryUntil):
		return LimitColdRestored
	}
	return LimitColdEntry
}

// isCold reports whether the process has a limit because it is cold.
func (l *limit) isCold(now time.Time) bool {
	return l.cold.perSecond > 0 && now.Before(l.cold.until())
}

// isActive reports whether the process has a limit from any source.
func (l *limit) isActive(now time.Time) bool { return l.perSecond > 0 || l.isCold(now) }

// nextColdAt returns when the next request may be sent to a cold process, which is the end of its cold time if
// this instance is none of its senders.
func (l *limit) nextColdAt(now time.Time) time.Time {
	if !l.share.isSender || l.share.bucket < 1 {
		return l.cold.until()
	}
	missing := 1 - l.tokensAt(now)
	if missing <= 0 {
		return now
	}
	wait := missing / l.share.perSecond * float64(time.Second) // infinite if the rate is zero
	if left := l.cold.until().Sub(now); wait >= float64(left) {
		return l.cold.until()
	}
	return now.Add(time.Duration(wait))
}

// rateFrom estimates the requests per second that this instance may send from a time on, at which the next one
// may be sent. A process that is warm then takes as many as it has slots.
func (l *limit) rateFrom(now, at time.Time, slots int) float64 {
	if !l.isCold(now) || at.Before(l.cold.until()) {
		return l.share.perSecond
	}
	if l.perSecond > 0 {
		return l.perSecond // this instance's part of the limit that the process names is not known yet
	}
	return float64(max(slots, 1))
}

// isCold reports whether t is cold and has a limit because of that.
func (t *target) isCold(now time.Time) bool {
	return t.statement != nil && t.statement.limit.isCold(now)
}

// updateCold applies what the list says about the coldness of t.
func (s *Scheduler) updateCold(now time.Time, t *target) {
	isNew, goesOn := false, false
	if t.ColdLimit > 0 {
		isNew, goesOn = s.recordStart(now, t)
	}
	if t.statement == nil && (t.ColdLimit <= 0 || !t.ColdUntil.After(now)) || t.ColdLimit <= 0 && t.statement.limit.cold.perSecond == 0 {
		return
	}
	st := s.statementOf(now, t.Process())
	c := &st.limit.cold
	if t.RestoredUntil.After(c.restoredUntil) {
		c.restoredUntil = t.RestoredUntil
		s.limitsReportedAt = time.Time{} // the next tick reports it, for instances that start meanwhile
	}
	c.perSecond = max(t.ColdLimit, 0)
	if !goesOn || t.ColdUntil.After(c.entryUntil) {
		c.entryUntil = t.ColdUntil
	}
	s.beginCold(now, t, isNew)
}

// listedStarts are the starts with which the entries of an endpoint of a service with a cold rate were listed.
type listedStarts struct {
	latest, last identifier.ProcessStart
	lastAt       time.Time // when the entry was last listed
}

// recordStart records the start with which t is listed, and reports whether it is later than all before. If it is another one that
// is not later, another writer has changed or left out the start while the process goes on, or the process has written the right one
// again: what is known about its coldness and its tokens go on.
func (s *Scheduler) recordStart(now time.Time, t *target) (isNew, goesOn bool) {
	known, ok := s.starts[t.ID]
	isNew = !ok || t.ProcessStart > known.latest
	if from := s.statements[identifier.Process{Endpoint: t.ID, Start: known.last}]; ok && !isNew && t.ProcessStart != known.last && from != nil && from.limit.cold.hasBucket {
		goesOn = true
		to := s.statementOf(now, t.Process())
		to.limit.cold, to.limit.share, to.limit.tokens, to.limit.filledAt = from.limit.cold, from.limit.share, from.limit.tokens, from.limit.filledAt
	}
	s.starts[t.ID] = listedStarts{latest: max(known.latest, t.ProcessStart), last: t.ProcessStart, lastAt: now}
	return isNew, goesOn
}

// forgetStarts forgets the starts of endpoints that are no targets any more.
func (s *Scheduler) forgetStarts(now time.Time) {
	for id, known := range s.starts {
		if s.targets[id] == nil && now.Sub(known.lastAt) >= statementTTL {
			delete(s.starts, id)
		}
	}
}

// handleColdAnswer records that a process has said that it is cold.
func (s *Scheduler) handleColdAnswer(now time.Time, p identifier.Process, coldFor time.Duration) {
	if coldFor > 0 {
		s.lengthenCold(now, p, now, now.Add(min(coldFor, maxColdAnswer)))
	}
}

// handleColdNews records what other instances have learned about the coldness of processes from their answers, and from ends of
// evacuations.
func (s *Scheduler) handleColdNews(now time.Time, news []LimitNews) {
	for _, n := range news {
		if n.ColdFor <= 0 {
			continue
		}
		until := now.Add(min(n.ColdFor, maxColdAnswer))
		switch n.Source {
		case LimitColdAnswer:
			s.lengthenCold(now, n.Process, now.Add(-n.Age), until)
		case LimitColdRestored:
			s.lengthenRestored(now, n.Process, until)
		}
	}
}

// lengthenRestored records that a process is cold until a time because an evacuation has ended, unless that is known, give
// or take coldTolerance. The process may not be listed here yet.
func (s *Scheduler) lengthenRestored(now time.Time, p identifier.Process, until time.Time) {
	c := &s.statementOf(now, p).limit.cold
	if until.Sub(c.restoredUntil) <= coldTolerance {
		return
	}
	c.restoredUntil = until
	if t := s.targets[p.Endpoint]; t != nil && t.Process() == p && t.ColdLimit > 0 {
		c.perSecond = t.ColdLimit
		s.beginCold(now, t, false)
	}
}

// queryLimits asks other instances once what they know about limits, when the first target of a service with a cold rate is
// listed: an instance that has just started does not know which evacuations have ended a short time ago.
func (s *Scheduler) queryLimits(changed []Target) {
	if s.hasQueriedLimits || s.cfg.FirstStart || !slices.ContainsFunc(changed, func(t Target) bool { return t.ColdLimit > 0 }) {
		return
	}
	s.hasQueriedLimits = true
	s.emit(LimitQuery{})
}

// lengthenCold records that a process is cold until a time, according to an answer of a time, unless its answers have said
// so before, give or take coldTolerance.
func (s *Scheduler) lengthenCold(now time.Time, p identifier.Process, answeredAt, until time.Time) {
	t := s.targets[p.Endpoint]
	if t == nil || t.Process() != p || t.ColdLimit <= 0 {
		return
	}
	st := s.statementOf(now, p)
	c := &st.limit.cold
	c.perSecond = t.ColdLimit
	if until.Sub(c.answerUntil) <= coldTolerance {
		return
	}
	c.answerUntil, c.answeredAt = until, answeredAt
	s.beginCold(now, t, false)
}

// beginCold gives t a bucket and reports t if it has become cold. The bucket of a new process, which started later than all
// that its endpoint was listed with before, is full, because no instance has sent it a request. The one of a process that was cold before goes on, so that a process which is cold again and
// again gets no new bucket each time.
func (s *Scheduler) beginCold(now time.Time, t *target, isNew bool) {
	l := &t.statement.limit
	if !l.isCold(now) {
		return
	}
	p := t.Process()
	if s.cold[p] == nil {
		s.cold[p] = t.statement
		if end := l.cold.until(); len(s.cold) == 1 || end.Before(s.warmAt) {
			s.warmAt = end
		}
		s.emit(ColdChanged{Process: p, PerSecond: l.cold.perSecond, Until: l.cold.until(), Source: l.cold.source()})
	}
	if l.cold.hasBucket {
		return
	}
	l.cold.hasBucket = true
	if l.perSecond == 0 {
		l.tokens, l.filledAt, l.share = 0, now, share{}
	}
	s.updateShare(now, t)
	if isNew && l.perSecond == 0 && l.share.isSender {
		l.tokens = l.share.bucket
	}
}

// reportWarm reports the processes that are no longer cold.
func (s *Scheduler) reportWarm(now time.Time) {
	if len(s.cold) == 0 || now.Before(s.warmAt) {
		return
	}
	s.warmAt = now.Add(maxColdCheckPause)
	var warm []identifier.Process
	for p, st := range s.cold {
		if end := st.limit.cold.until(); !st.limit.isCold(now) {
			warm = append(warm, p)
		} else if end.Before(s.warmAt) {
			s.warmAt = end
		}
	}
	slices.SortFunc(warm, identifier.Process.Compare)
	for _, p := range warm {
		delete(s.cold, p)
		s.emit(ColdChanged{Process: p})
	}
}

// coldNews returns what is known about the coldness of p, or false if p is not cold.
func (l *limit) coldNews(now time.Time, p identifier.Process) (LimitNews, bool) {
	if !l.isCold(now) {
		return LimitNews{}, false
	}
	n := LimitNews{Process: p, PerSecond: l.cold.perSecond, Source: l.cold.source(), ColdFor: l.cold.until().Sub(now)}
	if n.Source == LimitColdAnswer {
		n.Age = now.Sub(l.cold.answeredAt)
	}
	return n, true
}

// countColdSkips reports the targets of a pool from which only cold limits keep a request.
func (s *Scheduler) countColdSkips(now time.Time, pl *pool) {
	if len(s.cold) == 0 || pl == nil {
		return
	}
	n := 0
	for _, t := range pl.targets {
		if t.isCold(now) && t.statement.admits(now) && s.limitedUntil(now, t).After(now) {
			n++
		}
	}
	if n > 0 {
		s.emit(ColdSkipped{Pool: pl.name, Targets: n})
	}
}

// computeColdShare returns this instance's share of the limit of a cold process. Its senders are chosen by the names of
// the instances and of the endpoint alone, and each has the same part, so that two instances which know different
// targets or failure domains do not disagree. An instance that has started or returned a short time ago is no
// sender: by the time that it becomes one, every other instance counts it, and the one in whose place it is has stopped.
func (s *Scheduler) computeColdShare(now time.Time, t *target, terms limitTerms) share {
	if !s.instances.isSettled(now) {
		return share{}
	}
	s.ranked = s.ranked[:0]
	for _, in := range s.instances.sharing {
		s.ranked = append(s.ranked, rankedInstance{Instance: in.Instance, hash: mixHashes(t.endpointHash, in.hash)})
	}
	n := min(terms.countSenders(), len(s.ranked))
	senders := largest(s.ranked, n)
	if !slices.ContainsFunc(senders, func(r rankedInstance) bool { return r.Name == s.cfg.Instance }) {
		return share{}
	}
	return share{isSender: true, perSecond: terms.used / float64(n), bucket: min(terms.burst/float64(n), maxBucket)}
}

// compareNews orders news by process and source.
func compareNews(a, b LimitNews) int {
	return cmp.Or(a.Process.Compare(b.Process), cmp.Compare(a.Source, b.Source))
}
