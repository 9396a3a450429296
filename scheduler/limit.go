package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthmill/internal/identifier"

	"github.com/cespare/xxhash/v2"
)

// Instance is an instance that sends requests to the same targets.
type Instance struct {
	Name          identifier.Instance
	FailureDomain identifier.FailureDomain
}

// LimitNews is what an instance knows about the limit of a process.
type LimitNews struct {
	Process   identifier.Process
	PerSecond float64       // zero if the process names no limit any more
	Age       time.Duration // of the answer from which that is known
}

// A process that names a limit gets requests from some of the instances only, its senders. Each has a
// token bucket: n senders with buckets of d tokens, which together fill at the rate r of the limit,
// send at most n*d + w*r requests in a time w. The numbers below keep that under one and a half times the
// limit and five requests in four seconds, whatever the instances do at the same moment.
const (
	minSenders       = 3                // number of senders of a process whose limit is near zero
	sendersPerRate   = 2                // further senders for each request per second of the limit
	homeSenderSlack  = 3                // senders may be up to six times the limit and this many, if each sends at most once in four seconds
	limitUse         = 0.95             // fraction of the limit that the senders use
	maxBucket        = 3                // tokens
	limitNewsTTL     = 10 * time.Second // after which other instances than the senders try whether the process still names its limit
	trialUse         = 0.1              // fraction of the limit that those use together
	maxTrialDelay    = 2 * time.Minute  // longest time from the end of limitNewsTTL to such a try
	shareInterval    = time.Second      // between two computations of the share of a limit, while targets and instances change
	limitReportTTL   = 30 * time.Second // age up to which news of limits is passed on
	limitReportPause = time.Second      // between two reports of news
)

// limit is the limit of a process and this instance's share of it.
type limit struct {
	perSecond float64   // requests that the process takes from all instances together; zero if it names no limit
	knownAt   time.Time // time of the answer from which that is known, at this instance or another one

	share    share
	tokens   float64 // as of filledAt
	filledAt time.Time
}

// share is this instance's part of a limit.
type share struct {
	isSender   bool
	perSecond  float64
	bucket     float64       // tokens that the bucket holds
	trialDelay time.Duration // from the end of limitNewsTTL to the first try of an instance that is no sender, different for each
	basis      shareBasis
	computedAt time.Time
}

// shareBasis is what a share was computed from.
type shareBasis struct {
	perSecond           float64
	instances, poolSize int // versions
}

// nextAt returns when the next request may be sent.
func (l *limit) nextAt(now time.Time) time.Time {
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
		if n.PerSecond < 0 || st == nil && n.PerSecond == 0 || st != nil && !knownAt.After(st.limit.knownAt) {
			continue
		}
		s.setLimit(now, s.statementOf(now, n.Process), n.Process, min(n.PerSecond, MaxLimit), knownAt)
	}
}

// setLimit records a limit, which is known from an answer at a time.
func (s *Scheduler) setLimit(now time.Time, st *statement, p identifier.Process, perSecond float64, knownAt time.Time) {
	l := &st.limit
	l.knownAt = knownAt
	if perSecond == l.perSecond {
		return
	}
	if l.perSecond == 0 {
		l.tokens, l.filledAt, l.share = 0, now, share{} // the request whose answer names the limit has used the first token
	}
	l.perSecond = perSecond
	if t := s.targets[p.Endpoint]; t != nil && t.statement == st && perSecond > 0 {
		s.updateShare(now, t)
	}
	s.emit(LimitChanged{Process: p, PerSecond: perSecond})
}

// updateShare computes this instance's share of the limit of t's process if what it depends on has changed.
func (s *Scheduler) updateShare(now time.Time, t *target) {
	l := &t.statement.limit
	pl := s.pools[t.Pool]
	if pl == nil {
		return
	}
	basis := shareBasis{perSecond: l.perSecond, instances: s.instancesVersion, poolSize: pl.version}
	old := l.share.basis
	if basis == old || basis.perSecond == old.perSecond && now.Sub(l.share.computedAt) < shareInterval {
		return
	}
	sh := s.computeShare(t, pl, l.perSecond)
	sh.basis, sh.computedAt = basis, now
	l.setShare(now, sh)
}

// computeShare returns this instance's share of a limit. The senders of a process are chosen by
// rendezvous hashing, so that all instances with the same lists of instances and targets choose the
// same ones and a change moves few. Each instance has one target of each pool as its home, of which it
// is a sender before others, so that each instance can serve the pool. Each failure domain
// of the senders gets the same part of the limit, because callers are spread over the domains.
func (s *Scheduler) computeShare(t *target, pl *pool, perSecond float64) share {
	instances := s.instances
	homes := 0
	ranked := make([]rankedInstance, 0, len(instances))
	for _, in := range instances {
		r := rankedInstance{Instance: in, isHome: s.homeOf(pl, in) == t.ID, hash: rendezvousHash(t.Process(), in.Name)}
		if r.isHome {
			homes++
		}
		ranked = append(ranked, r)
	}
	n := min(countSenders(perSecond, homes), len(instances))
	slices.SortFunc(ranked, rankedInstance.compare)
	senders := ranked[:n]
	own := slices.IndexFunc(senders, func(r rankedInstance) bool { return r.Name == s.cfg.Instance })
	if own < 0 {
		trialRate := trialUse * perSecond / float64(len(instances)-n)
		delay := min(1/trialRate, maxTrialDelay.Seconds()) * hashFraction(rendezvousHash(t.Process(), s.cfg.Instance))
		return share{perSecond: trialRate, bucket: 1, trialDelay: time.Duration(delay * float64(time.Second))}
	}
	domains := map[identifier.FailureDomain]int{}
	for _, r := range senders {
		domains[r.FailureDomain]++
	}
	part := 1 / float64(len(domains)*domains[senders[own].FailureDomain])
	return share{isSender: true, perSecond: limitUse * perSecond * part, bucket: bucketSize(perSecond, n)}
}

// countSenders returns the number of senders for a limit, of which some are at home at its target.
func countSenders(perSecond float64, homes int) int {
	n := minSenders + int(sendersPerRate*perSecond)
	if most := int(6*perSecond) + homeSenderSlack; homes > n && float64(homes) > 4*perSecond {
		return min(homes, most)
	}
	return n
}

// bucketSize returns the tokens that the bucket of each of n senders may hold, so that n of them and four
// seconds of the limit stay below 5.7 times the limit and four requests.
func bucketSize(perSecond float64, n int) float64 {
	return min(max((1.9*perSecond+4)/float64(n), 1), maxBucket)
}

// rankedInstance is an instance with what its rank among the senders of a process depends on.
type rankedInstance struct {
	Instance
	isHome bool
	hash   uint64
}

func (r rankedInstance) compare(o rankedInstance) int {
	if r.isHome != o.isHome {
		if r.isHome {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(o.hash, r.hash), cmp.Compare(r.Name, o.Name))
}

// homeOf returns the target of a pool that is the home of an instance.
func (s *Scheduler) homeOf(pl *pool, in Instance) identifier.Endpoint {
	if pl.homes == nil || pl.homesVersion != (shareBasis{instances: s.instancesVersion, poolSize: pl.version}) {
		pl.homes, pl.homesVersion = map[identifier.Instance]identifier.Endpoint{}, shareBasis{instances: s.instancesVersion, poolSize: pl.version}
	}
	if home, ok := pl.homes[in.Name]; ok {
		return home
	}
	best := slices.MaxFunc(pl.targets, func(a, b *target) int {
		return cmp.Or(cmp.Compare(rendezvousHash(a.Process(), in.Name), rendezvousHash(b.Process(), in.Name)), cmp.Compare(a.ID, b.ID))
	})
	pl.homes[in.Name] = best.ID
	return best.ID
}

// rendezvousHash returns the hash that ranks an instance among the senders of a process.
func rendezvousHash(p identifier.Process, in identifier.Instance) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(p.Start))
	_, _ = d.WriteString(string(p.Endpoint)) // a Digest returns no error
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(in))
	return d.Sum64()
}

// hashFraction maps a hash to [0, 1).
func hashFraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// setInstances replaces the instances that send requests to the same targets. This instance is always
// one of them.
func (s *Scheduler) setInstances(instances []Instance) {
	own := Instance{Name: s.cfg.Instance, FailureDomain: s.cfg.FailureDomain}
	if !slices.ContainsFunc(instances, func(in Instance) bool { return in.Name == own.Name }) {
		instances = append(slices.Clone(instances), own)
	}
	s.instances = instances
	s.instancesVersion++
	s.budget.setInstances(len(instances))
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
	}
	if len(news) == 0 {
		return
	}
	slices.SortFunc(news, func(a, b LimitNews) int { return a.Process.Compare(b.Process) })
	s.limitsReportedAt = now
	s.emit(LimitReport{News: news})
}

// limitedUntil returns when t may get its next request because of its limit. It returns the zero time if t
// has no limit.
func (s *Scheduler) limitedUntil(now time.Time, t *target) time.Time {
	if t.statement == nil || t.statement.limit.perSecond == 0 {
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

// limitOutlook returns the outlook of a pool if each target that may get requests at all is limited and may
// get none now, and false otherwise.
func (s *Scheduler) limitOutlook(now time.Time, pl *pool) (limitOutlook, bool) {
	var o limitOutlook
	for _, t := range pl.targets {
		if t.statement.isLeaving() {
			continue
		}
		at := s.limitedUntil(now, t)
		if t.statement.isClosed(now) && t.statement.closedUntil.After(at) {
			at = t.statement.closedUntil
		}
		if !at.After(now) {
			return limitOutlook{}, false
		}
		if t.statement.limit.perSecond == 0 {
			continue
		}
		if o.nextAt.IsZero() || at.Before(o.nextAt) {
			o.nextAt = at
		}
		o.perSecond += t.statement.limit.share.perSecond
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
