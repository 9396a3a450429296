package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/limitsharer"
)

const (
	step         = 10 * time.Millisecond // simulation step; also the delay of a message
	tickInterval = 250 * time.Millisecond
)

// tally counts the events of one run. singleAdmitted counts the requests that a single instance
// would have admitted if it had received all of them.
type tally struct {
	requests, admitted, overAdmitted, singleAdmitted, messages int
}

// instance models an instance with one token bucket for each account. The core is nil if the
// shares never change.
type instance struct {
	name    identifier.Instance
	core    *limitsharer.Core
	buckets []bucket // by account index
}

// bucket is a token bucket.
type bucket struct{ rate, capacity, tokens float64 }

// newBucket returns a full bucket.
func newBucket(rate, capacity float64) bucket {
	return bucket{rate: rate, capacity: capacity, tokens: capacity}
}

func (b *bucket) refill(d time.Duration) {
	b.tokens = min(b.tokens+b.rate*d.Seconds(), b.capacity)
}

func (b *bucket) takeToken() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// message is an announcement in flight.
type message struct {
	from, to     int
	announcement limitsharer.Announcement
}

// fleet holds the instances and the state of one run.
type fleet struct {
	scenario      scenario
	instances     []*instance
	accounts      []limitsharer.Account
	limitBuckets  []bucket // by account: the undivided limit, charged with each admitted request
	singleBuckets []bucket // by account: the limit at a single instance that receives all requests
	inFlight      []message
	elapsed       time.Duration
	rng           *rand.Rand
	tally         tally
}

// run simulates a scenario on n instances with a policy and a seed.
func run(sc scenario, n int, p policy, seed uint64) tally {
	f := newFleet(sc, n, p, seed)
	for f.elapsed = 0; f.elapsed < runLength; f.elapsed += step {
		f.deliver()
		if sc.partitioned && p.removeUnreachable && f.elapsed == partitionStart {
			f.removeUnreachablePeers()
		}
		if sc.partitioned && f.elapsed == partitionEnd {
			f.reportPeersReachable()
		}
		if f.elapsed%tickInterval == 0 {
			f.submitToAll(limitsharer.Ticked{})
		}
		f.sendRequests()
	}
	return f.tally
}

func newFleet(sc scenario, n int, p policy, seed uint64) *fleet {
	f := &fleet{scenario: sc, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
	for k, limit := range sc.limits {
		limit *= float64(n)
		f.accounts = append(f.accounts, limitsharer.Account{Name: identifier.ClientAccount(strconv.Itoa(k)), RequestsPerSecond: limit})
		f.limitBuckets = append(f.limitBuckets, newBucket(limit, limit*burstTime.Seconds()))
		f.singleBuckets = append(f.singleBuckets, newBucket(limit, limit*burstTime.Seconds()))
	}
	share := 1 / float64(n)
	if p.undivided {
		share = 1
	}
	for i := range n {
		in := &instance{name: identifier.Instance(fmt.Sprintf("entry-%02d", i))}
		for _, a := range f.accounts {
			in.buckets = append(in.buckets, newBucket(a.RequestsPerSecond*share, max(a.RequestsPerSecond*burstTime.Seconds()*share, 1)))
		}
		if p.settings != nil {
			cfg := *p.settings
			cfg.Instance = in.name
			in.core = limitsharer.New(cfg)
		}
		f.instances = append(f.instances, in)
	}
	f.reportPeersReachable()
	f.submitToAll(limitsharer.AccountsSet{Accounts: f.accounts})
	return f
}

// removeUnreachablePeers submits PeerRemoved for each peer that an instance can't reach.
func (f *fleet) removeUnreachablePeers() {
	for i := range f.instances {
		for j, other := range f.instances {
			if f.scenario.arePartitioned(f.elapsed, i, j, len(f.instances)) {
				f.submit(i, limitsharer.PeerRemoved{Instance: other.name})
			}
		}
	}
}

// reportPeersReachable submits PeerReachable to every instance for each of its peers.
func (f *fleet) reportPeersReachable() {
	for _, in := range f.instances {
		for i, other := range f.instances {
			if other != in {
				f.submit(i, limitsharer.PeerReachable{Instance: in.name})
			}
		}
	}
}

// submitToAll submits e to every instance.
func (f *fleet) submitToAll(e limitsharer.Event) {
	for i := range f.instances {
		f.submit(i, e)
	}
}

// submit steps the core of instance i with e and performs the resulting actions.
func (f *fleet) submit(i int, e limitsharer.Event) {
	core := f.instances[i].core
	if core == nil {
		return
	}
	for _, a := range core.Step(time.Unix(1, 0).Add(f.elapsed), e) {
		switch a := a.(type) {
		case limitsharer.SetRate:
			f.setRate(i, a)
		case limitsharer.Announce:
			f.send(i, a)
		}
	}
}

// setRate applies the rate and the share of an account at instance i.
func (f *fleet) setRate(i int, a limitsharer.SetRate) {
	k, _ := strconv.Atoi(string(a.Account)) // account names are indexes
	b := &f.instances[i].buckets[k]
	b.rate = a.RequestsPerSecond
	b.capacity = max(f.accounts[k].RequestsPerSecond*burstTime.Seconds()*a.Share, 1)
	b.tokens = min(b.tokens, b.capacity)
}

// send counts the messages of an announcement. Messages to partitioned instances are lost.
func (f *fleet) send(from int, a limitsharer.Announce) {
	for to, in := range f.instances {
		if to == from || (a.To != "" && a.To != in.name) {
			continue
		}
		f.tally.messages++
		if !f.scenario.arePartitioned(f.elapsed, from, to, len(f.instances)) {
			f.inFlight = append(f.inFlight, message{from, to, a.Announcement})
		}
	}
}

// deliver submits the announcements that were sent in the previous step.
func (f *fleet) deliver() {
	arrived := f.inFlight
	f.inFlight = nil
	for _, m := range arrived {
		f.submit(m.to, limitsharer.AnnouncementReceived{From: f.instances[m.from].name, Announcement: m.announcement})
	}
}

// sendRequests generates the requests of one step, account by account and instance by instance.
func (f *fleet) sendRequests() {
	for k, a := range f.accounts {
		f.limitBuckets[k].refill(step)
		f.singleBuckets[k].refill(step)
		for i, rate := range f.scenario.rates(k, f.elapsed, len(f.instances)) {
			b := &f.instances[i].buckets[k]
			b.refill(step)
			for range poisson(f.rng, rate*step.Seconds()) {
				f.submit(i, limitsharer.RequestArrived{Account: a.Name})
				f.countDecision(k, b.takeToken())
			}
		}
	}
}

// countDecision counts one decision, and compares it with the undivided limit of the account and
// with the decision of a single instance.
func (f *fleet) countDecision(k int, admitted bool) {
	f.tally.requests++
	if f.singleBuckets[k].takeToken() {
		f.tally.singleAdmitted++
	}
	if !admitted {
		return
	}
	f.tally.admitted++
	if !f.limitBuckets[k].takeToken() {
		f.tally.overAdmitted++
	}
}

// poisson draws a number from the Poisson distribution with the given mean by Knuth's method. The
// mean must be small.
func poisson(rng *rand.Rand, mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}
