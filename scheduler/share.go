package scheduler

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"amaranthmill/internal/identifier"

	"github.com/cespare/xxhash/v2"
)

// A process with a limit gets requests from some of the instances only, its senders. Each has a
// token bucket. The buckets of n senders hold n*d tokens and together fill at u times the rate r of the limit,
// so that at most n*d + w*u*r requests are sent in a time w, whatever the senders do at the same moment. limitBounds
// derives n, d and u from what the operators allow in w.
const (
	homeSenders   = 3                // senders may be up to six times the limit and this many, if each sends at most once in four seconds
	limitUse      = 0.95             // fraction of the limit that the senders use, and of what the operators allow beyond the slack
	slackReserve  = 1                // requests of the slack that are not used
	minBurst      = 3                // tokens in all buckets together, unless the bound is so small that half of it is less
	maxBucket     = 3                // tokens
	trialUse      = 0.1              // fraction of the limit that the other instances use together while nothing is heard of it
	maxTrialDelay = 2 * time.Minute  // longest time from the end of limitNewsTTL to the first request of such an instance
	shareInterval = time.Second      // between two computations of a share while targets and instances change
	departureTime = 10 * time.Second // for which an instance that is no longer listed keeps its shares: it may be starting again, or the list may be incomplete after an outage
)

// Instance is an instance that sends requests to the same targets.
type Instance struct {
	Name          identifier.Instance
	FailureDomain identifier.FailureDomain
}

// instanceList holds the instances among which limits are shared.
type instanceList struct {
	own      Instance
	listed   []Instance
	departed map[identifier.Instance]departure // of instances that are no longer listed
	sharing  []hashedInstance                  // the listed ones and those that departed a short time ago, sorted by name
	version  int                               // counts the changes of sharing

	ownListedSince time.Time // since when this instance is listed without interruption; zero if it is not
}

// settleTime is the time from when this instance is listed until it sends requests to cold targets. Lists are in force at all
// instances within three seconds, and the requests that an instance sent before it knew a list are no longer in the window after
// another one.
const settleTime = 3*time.Second + coldWindow

// isSettled reports whether all other instances have known for coldWindow that this instance is listed.
func (l *instanceList) isSettled(now time.Time) bool {
	return !l.ownListedSince.IsZero() && now.Sub(l.ownListedSince) >= settleTime
}

// hashedInstance is an instance with the hash of its name.
type hashedInstance struct {
	Instance
	hash uint64
}

// departure is an instance that is no longer listed since a time.
type departure struct {
	Instance
	at time.Time
}

func newInstanceList(own Instance) instanceList {
	l := instanceList{own: own, listed: []Instance{own}, departed: map[identifier.Instance]departure{}}
	l.update(time.Time{})
	return l
}

// set replaces the listed instances. This instance is always one of them.
func (l *instanceList) set(now time.Time, listed []Instance) {
	listed = slices.Clone(listed)
	if !containsInstance(listed, l.own.Name) {
		listed, l.ownListedSince = append(listed, l.own), time.Time{}
	} else if l.ownListedSince.IsZero() {
		l.ownListedSince = now
	}
	for _, in := range l.listed {
		if !containsInstance(listed, in.Name) {
			l.departed[in.Name] = departure{Instance: in, at: now}
		}
	}
	for _, in := range listed {
		delete(l.departed, in.Name)
	}
	l.listed = listed
	l.update(now)
}

// update forgets the instances that departed long ago.
func (l *instanceList) update(now time.Time) {
	var sharing []hashedInstance
	for _, in := range l.listed {
		sharing = append(sharing, hashedInstance{in, hashOf(string(in.Name))})
	}
	for name, d := range l.departed {
		if now.Sub(d.at) >= departureTime {
			delete(l.departed, name)
			continue
		}
		sharing = append(sharing, hashedInstance{d.Instance, hashOf(string(name))})
	}
	slices.SortFunc(sharing, func(a, b hashedInstance) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.Equal(sharing, l.sharing) {
		l.sharing = sharing
		l.version++
	}
}

func containsInstance(list []Instance, name identifier.Instance) bool {
	return slices.ContainsFunc(list, func(in Instance) bool { return in.Name == name })
}

// share is this instance's part of a limit.
type share struct {
	isSender   bool
	perSecond  float64
	bucket     float64       // tokens that the bucket holds
	trialDelay time.Duration // from the end of limitNewsTTL to the first try of an instance that is no sender, different for each
	basis      shareBasis    // what it was computed from
	computedAt time.Time
}

// shareBasis is what a share depends on.
type shareBasis struct {
	terms     limitTerms
	ranking   rankingBasis
	isSettled bool // of a cold process
}

// limitBounds are what the operators allow a process to get: excess times its limit, and slack requests, in each time of
// the length window.
type limitBounds struct {
	window        time.Duration
	excess, slack float64
}

// namedBounds are the bounds of a limit that a process names.
var namedBounds = limitBounds{window: 4 * time.Second, excess: 1.5, slack: 5}

// limitTerms is how much the senders of a process together may send.
type limitTerms struct {
	perSecond float64 // the limit
	used      float64 // requests per second at which their buckets fill
	burst     float64 // tokens that their buckets hold
	isCold    bool    // the process is cold
}

// terms returns the terms of a limit that keep its bounds.
func (b limitBounds) terms(perSecond float64) limitTerms {
	window := b.window.Seconds()
	total := limitUse*b.excess*perSecond*window + max(b.slack-slackReserve, 0)
	used := min(limitUse*perSecond, (total-min(minBurst, total/2))/window)
	return limitTerms{perSecond: perSecond, used: used, burst: total - used*window}
}

// countSenders returns the number of senders, of which each has at least one token if possible.
func (t limitTerms) countSenders() int { return max(int(t.burst), 1) }

// termsOf returns the terms of a limit. If the limit has several sources, the smallest applies.
func (s *Scheduler) termsOf(now time.Time, l *limit) limitTerms {
	named := namedBounds.terms(l.perSecond)
	if !l.isCold(now) {
		return named
	}
	cold := limitBounds{window: coldWindow, excess: s.cfg.ColdExcess, slack: s.cfg.ColdSlack}.terms(l.cold.perSecond)
	cold.isCold = true
	if l.perSecond > 0 {
		cold.perSecond, cold.used, cold.burst = min(cold.perSecond, named.perSecond), min(cold.used, named.used), min(cold.burst, named.burst)
	}
	return cold
}

// updateShare computes this instance's share of the limit of t's process if what it depends on has changed.
func (s *Scheduler) updateShare(now time.Time, t *target) {
	l := &t.statement.limit
	pl := s.pools[t.Pool]
	if pl == nil {
		return
	}
	basis := shareBasis{terms: s.termsOf(now, l), ranking: s.rankingBasis(pl)}
	if basis.terms.isCold {
		basis.ranking.targets, basis.isSettled = 0, s.instances.isSettled(now)
	}
	old := l.share.basis
	if basis == old || basis.terms == old.terms && !basis.terms.isCold && now.Sub(l.share.computedAt) < shareInterval {
		return
	}
	var sh share
	if basis.terms.isCold {
		sh = s.computeColdShare(now, t, basis.terms)
	} else {
		sh = s.computeShare(t, pl, basis.terms)
	}
	sh.basis, sh.computedAt = basis, now
	l.setShare(now, sh)
}

// computeShare returns this instance's share of a limit that a process names. The senders of a process are chosen by
// rendezvous hashing, so that all instances with the same lists of instances and targets choose the
// same ones and a change moves few. Each instance has one target of each pool as its home, of which it
// is a sender before others, so that each instance can serve the pool. Each failure domain
// of the senders gets the same part of the limit, because callers are spread over the domains.
func (s *Scheduler) computeShare(t *target, pl *pool, terms limitTerms) share {
	perSecond := terms.perSecond
	ranked, homes := s.rank(t, pl)
	n := min(countNamedSenders(terms, homes), len(ranked))
	senders := largest(ranked, n)
	own := slices.IndexFunc(senders, func(r rankedInstance) bool { return r.Name == s.cfg.Instance })
	if own < 0 {
		trialRate := trialUse * perSecond / float64(len(ranked)-n)
		delay := min(1/trialRate, maxTrialDelay.Seconds()) * hashFraction(mixHashes(t.hash, hashOf(string(s.cfg.Instance))))
		return share{perSecond: trialRate, bucket: 1, trialDelay: time.Duration(delay * float64(time.Second))}
	}
	domains := map[identifier.FailureDomain]int{}
	for _, r := range senders {
		domains[r.FailureDomain]++
	}
	part := 1 / float64(len(domains)*domains[senders[own].FailureDomain])
	return share{isSender: true, perSecond: terms.used * part, bucket: min(max(terms.burst/float64(n), 1), maxBucket)}
}

// rank returns the instances with their ranks as senders of t's process, and how many of them are at home
// at t. The slice is valid until the next call.
func (s *Scheduler) rank(t *target, pl *pool) (ranked []rankedInstance, homes int) {
	s.ranked = s.ranked[:0]
	pl.updateHomes(s.rankingBasis(pl), s.instances.sharing)
	for i, in := range s.instances.sharing {
		r := rankedInstance{Instance: in.Instance, isHome: pl.homes[i] == t, hash: mixHashes(t.hash, in.hash)}
		if r.isHome {
			homes++
		}
		s.ranked = append(s.ranked, r)
	}
	return s.ranked, homes
}

// largest moves the n instances that rank first to the start of ranked and returns them, in any order.
func largest(ranked []rankedInstance, n int) []rankedInstance {
	if n >= len(ranked) {
		return ranked
	}
	last := 0 // position of the one that ranks last among the first n
	findLast := func() {
		last = 0
		for i := 1; i < n; i++ {
			if ranked[last].precedes(ranked[i]) {
				last = i
			}
		}
	}
	findLast()
	for i := n; i < len(ranked); i++ {
		if ranked[i].precedes(ranked[last]) {
			ranked[i], ranked[last] = ranked[last], ranked[i]
			findLast()
		}
	}
	return ranked[:n]
}

// countNamedSenders returns the number of senders for a limit that a process names, of which some are at home at its target.
func countNamedSenders(terms limitTerms, homes int) int {
	n := terms.countSenders()
	if most := int(6*terms.perSecond) + homeSenders; homes > n && float64(homes) > 4*terms.perSecond {
		return min(homes, most)
	}
	return n
}

// rankedInstance is an instance with what its rank among the senders of a process depends on.
type rankedInstance struct {
	Instance
	isHome bool
	hash   uint64
}

// precedes reports whether r ranks before o.
func (r rankedInstance) precedes(o rankedInstance) bool {
	if r.isHome != o.isHome {
		return r.isHome
	}
	return r.hash > o.hash || r.hash == o.hash && r.Name < o.Name
}

// rankingBasis holds the versions of the lists from which the ranking of instances follows.
type rankingBasis struct{ instances, targets int }

func (s *Scheduler) rankingBasis(pl *pool) rankingBasis {
	return rankingBasis{instances: s.instances.version, targets: pl.version}
}

// updateHomes computes the home of each instance, unless nothing has changed since the last call. An evacuated target
// is no home, unless all are evacuated: its instances would be senders of no target.
func (p *pool) updateHomes(basis rankingBasis, instances []hashedInstance) {
	if p.homesBasis == basis {
		return
	}
	p.homesBasis, p.homes = basis, p.homes[:0]
	for _, in := range instances {
		var best *target
		bestHash := uint64(0)
		for _, t := range p.targets {
			if t.Evacuated && !p.isEvacuated() {
				continue
			}
			if h := mixHashes(t.hash, in.hash); best == nil || h > bestHash || h == bestHash && t.ID < best.ID {
				best, bestHash = t, h
			}
		}
		p.homes = append(p.homes, best)
	}
}

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// mixHashes returns the hash that ranks an instance among the senders of a process. Its steps are
// those of the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
func mixHashes(process, instance uint64) uint64 {
	h := process ^ bits.RotateLeft64(instance, 32)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// hashFraction maps a hash to [0, 1).
func hashFraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }
