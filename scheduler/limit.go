package scheduler

import (
	"math"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Times of what is known about limits.
const (
	limitNewsTTL     = 10 * time.Second // after which other instances than the senders try whether the process still names its limit
	limitReportTTL   = 30 * time.Second // age up to which news of limits is passed on to other instances
	limitReportPause = time.Second      // between two reports of news
)

// LimitNews is what an instance knows about the limit of a process.
type LimitNews struct {
	Process   identifier.Process
	PerSecond float64       // zero if the process names no limit any more
	Age       time.Duration // of the answer from which that is known
	Source    LimitSource
	ColdFor   time.Duration // remaining time in which the process is cold; zero for LimitNamed
}

// LimitSource is where a limit comes from.
type LimitSource uint8

// The sources.
const (
	LimitNamed        LimitSource = iota // the process names the limit in its answers
	LimitColdEntry                       // the process is cold, as its entry in the store says
	LimitColdAnswer                      // the process is cold, as one of its answers says
	LimitColdRestored                    // the process is cold because the evacuation of its failure domain has ended
)

// String returns the name of the source in logs and listings.
func (s LimitSource) String() string {
	return [...]string{"named", "coldEntry", "coldAnswer", "coldRestored"}[s]
}

// limit is the limit of a process, which has several sources, and this instance's share of it.
type limit struct {
	perSecond float64   // requests that the process says it takes from all instances together; zero if it names no limit
	knownAt   time.Time // time of the answer from which that is known, at this instance or another one
	cold      coldSource

	share    share
	tokens   float64 // as of filledAt
	filledAt time.Time
}

// nextAt returns when the next request may be sent.
func (l *limit) nextAt(now time.Time) time.Time {
	if l.isCold(now) {
		return l.nextColdAt(now)
	}
	at := now
	if missing := 1 - l.tokensAt(now); missing > 0 {
		at = now.Add(time.Duration(missing / l.share.perSecond * float64(time.Second)))
	}
	if trialAt := l.knownAt.Add(limitNewsTTL + l.share.trialDelay); !l.share.isSender && trialAt.After(at) {
		return trialAt
	}
	return at
}

func (l *limit) tokensAt(now time.Time) float64 {
	return min(l.tokens+l.share.perSecond*now.Sub(l.filledAt).Seconds(), l.share.bucket)
}

// take takes the token of a request.
func (l *limit) take(now time.Time) { l.tokens, l.filledAt = l.tokensAt(now)-1, now }

// setShare replaces the share. The tokens that have been earned stay.
func (l *limit) setShare(now time.Time, sh share) {
	l.tokens, l.filledAt = min(l.tokensAt(now), sh.bucket), now
	if sh.isSender != l.share.isSender {
		l.tokens = min(l.tokens, 0) // a new sender begins without tokens, because an earlier one may have just sent
	}
	l.share = sh
}

// handleLimit records the limit that an answer names. An answer to a request that was sent before the
// limit was last named does not end it.
func (s *Scheduler) handleLimit(now time.Time, st *statement, e ProcessStated) {
	if !e.Limit.IsKnown || e.Limit.PerSecond == 0 && e.SentAt.Before(st.limit.knownAt) {
		return
	}
	s.setLimit(now, st, e.Process, e.Limit.PerSecond, now)
}

// handleLimitNews records what other instances know about limits.
func (s *Scheduler) handleLimitNews(now time.Time, news []LimitNews) {
	for _, n := range news {
		knownAt := now.Add(-n.Age)
		st := s.statements[n.Process]
		if n.Source != LimitNamed || n.PerSecond < 0 || st == nil && n.PerSecond == 0 || st != nil && !knownAt.After(st.limit.knownAt) {
			continue
		}
		perSecond := n.PerSecond
		if perSecond > 0 {
			perSecond = min(max(perSecond, MinLimit), MaxLimit)
		}
		s.setLimit(now, s.statementOf(now, n.Process), n.Process, perSecond, knownAt)
	}
}

// setLimit records a limit, which is known from an answer at a time.
func (s *Scheduler) setLimit(now time.Time, st *statement, p identifier.Process, perSecond float64, knownAt time.Time) {
	l := &st.limit
	l.knownAt = knownAt
	if perSecond == l.perSecond {
		return
	}
	if l.perSecond == 0 && !l.isCold(now) {
		l.tokens, l.filledAt, l.share = 0, now, share{} // the request whose answer names the limit has used the first token
	}
	l.perSecond = perSecond
	if t := s.targets[p.Endpoint]; t != nil && t.statement == st && perSecond > 0 {
		s.updateShare(now, t)
	}
	s.emit(LimitChanged{Process: p, PerSecond: perSecond})
}

// reportLimits emits what this instance knows about limits, for the other instances, at intervals.
func (s *Scheduler) reportLimits(now time.Time) {
	if now.Sub(s.limitsReportedAt) < limitReportPause {
		return
	}
	var news []LimitNews
	for p, st := range s.statements {
		if age := now.Sub(st.limit.knownAt); !st.limit.knownAt.IsZero() && age < limitReportTTL {
			news = append(news, LimitNews{Process: p, PerSecond: st.limit.perSecond, Age: age})
		}
		if n, ok := st.limit.coldNews(now, p); ok {
			news = append(news, n)
		}
	}
	if len(news) == 0 {
		return
	}
	slices.SortFunc(news, compareNews)
	s.limitsReportedAt = now
	s.emit(LimitReport{News: news})
}

// limitedUntil returns when t may get its next request because of its limit. It returns the zero time if t
// has no limit.
func (s *Scheduler) limitedUntil(now time.Time, t *target) time.Time {
	if t.statement == nil || !t.statement.limit.isActive(now) {
		return time.Time{}
	}
	s.updateShare(now, t)
	return t.statement.limit.nextAt(now)
}

// limitOutlook is when the limited targets of a pool may get requests.
type limitOutlook struct {
	nextAt    time.Time // the earliest time
	perSecond float64   // requests of this instance, after that
}

// limitOutlook returns the outlook of a pool if each target that may get requests at all, being neither evacuated nor leaving, is limited and may
// get none now, and false otherwise.
func (s *Scheduler) limitOutlook(now time.Time, pl *pool) (limitOutlook, bool) {
	var o limitOutlook
	for _, t := range pl.targets {
		if t.Evacuated || t.statement.isLeaving() {
			continue
		}
		at := s.limitedUntil(now, t)
		if t.statement.isClosed(now) && t.statement.closedUntil.After(at) {
			at = t.statement.closedUntil
		}
		if !at.After(now) {
			return limitOutlook{}, false
		}
		if t.statement == nil || !t.statement.limit.isActive(now) {
			continue
		}
		if o.nextAt.IsZero() || at.Before(o.nextAt) {
			o.nextAt = at
		}
		o.perSecond += t.statement.limit.rateFrom(now, at, t.Slots)
	}
	return o, !o.nextAt.IsZero()
}

// expectedAt returns when the limits are expected to allow the request at a position of the queue, from 1.
func (o limitOutlook) expectedAt(position int) time.Time {
	return o.nextAt.Add(time.Duration(float64(position-1) / o.perSecond * float64(time.Second)))
}

// limitedRetryAfter returns the time after which the refused caller of a request of p should retry if the
// limits of p's targets leave no room for it. The callers that are refused one after the other
// return at the rate at which room is expected, after the requests that wait.
func (p *pool) limitedRetryAfter(now time.Time, o limitOutlook, position int) time.Duration {
	at := o.expectedAt(position)
	if p.limitReturnsAt.After(at) {
		at = p.limitReturnsAt
	}
	at = now.Add(min(at.Sub(now), maxClosure))
	p.limitReturnsAt = at.Add(time.Duration(math.Min(1/o.perSecond, maxClosure.Seconds()) * float64(time.Second)))
	return at.Sub(now)
}
