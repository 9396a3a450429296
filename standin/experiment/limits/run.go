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
	step      = 10 * time.Millisecond // also the time that a message takes
	tickEvery = 250 * time.Millisecond
)

// tally counts what happened in one run. Possible is the requests that one instance would
// have admitted to which all had come.
type tally struct {
	asked, admitted, overAdmitted, possible, messages int
}

// instance is one instance with its share, its token buckets and, unless the shares are equal, its core.
type instance struct {
	name    identifier.Instance
	core    *limitsharer.Core
	buckets []bucket // of each account
}

// bucket is a token bucket.
type bucket struct{ rate, capacity, tokens float64 }

// full returns a bucket that has all its tokens.
func full(rate, capacity float64) bucket {
	return bucket{rate: rate, capacity: capacity, tokens: capacity}
}

func (b *bucket) refill(d time.Duration) {
	b.tokens = min(b.tokens+b.rate*d.Seconds(), b.capacity)
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// message is an announcement on its way.
type message struct {
	from, to     int
	announcement limitsharer.Announcement
}

// fleet is the instances of one run.
type fleet struct {
	sc        scenario
	instances []*instance
	accounts  []limitsharer.Account
	whole     []bucket // of each account: what the limit leaves after every admission
	single    []bucket // of each account: what one instance would have to which all requests came
	inFlight  []message
	at        time.Duration
	random    *rand.Rand
	tally     tally
}

// run plays one scenario with one policy and seed.
func run(sc scenario, n int, p policy, seed uint64) tally {
	f := newFleet(sc, n, p, seed)
	for f.at = 0; f.at < length; f.at += step {
		f.deliver()
		if sc.cut && p.removeLost && f.at == cutFrom {
			f.part()
		}
		if sc.cut && f.at == cutTo {
			f.introduce()
		}
		if f.at%tickEvery == 0 {
			f.each(limitsharer.Ticked{})
		}
		f.ask()
	}
	return f.tally
}

func newFleet(sc scenario, n int, p policy, seed uint64) *fleet {
	f := &fleet{sc: sc, random: rand.New(rand.NewPCG(seed, uint64(n)))}
	for k, limit := range sc.limits {
		limit *= float64(n)
		f.accounts = append(f.accounts, limitsharer.Account{Name: identifier.ClientAccount(strconv.Itoa(k)), RequestsPerSecond: limit})
		f.whole = append(f.whole, full(limit, limit*burst.Seconds()))
		f.single = append(f.single, full(limit, limit*burst.Seconds()))
	}
	part := 1 / float64(n)
	if p.undivided {
		part = 1
	}
	for i := range n {
		in := &instance{name: identifier.Instance(fmt.Sprintf("entry-%02d", i))}
		for _, a := range f.accounts {
			in.buckets = append(in.buckets, full(a.RequestsPerSecond*part, max(a.RequestsPerSecond*burst.Seconds()*part, 1)))
		}
		if p.settings != nil {
			cfg := *p.settings
			cfg.Instance = in.name
			in.core = limitsharer.New(cfg)
		}
		f.instances = append(f.instances, in)
	}
	f.introduce()
	f.each(limitsharer.AccountsSet{Accounts: f.accounts})
	return f
}

// part removes the instances that are out of reach of each other.
func (f *fleet) part() {
	for i := range f.instances {
		for j, other := range f.instances {
			if f.sc.apart(f.at, i, j, len(f.instances)) {
				f.submit(i, limitsharer.PeerRemoved{Instance: other.name})
			}
		}
	}
}

// introduce tells every instance of every other.
func (f *fleet) introduce() {
	for _, in := range f.instances {
		for i, other := range f.instances {
			if other != in {
				f.submit(i, limitsharer.PeerReachable{Instance: in.name})
			}
		}
	}
}

// each submits e to every instance.
func (f *fleet) each(e limitsharer.Event) {
	for i := range f.instances {
		f.submit(i, e)
	}
}

// submit steps the core of instance i and carries out its actions.
func (f *fleet) submit(i int, e limitsharer.Event) {
	core := f.instances[i].core
	if core == nil {
		return
	}
	for _, a := range core.Step(time.Unix(1, 0).Add(f.at), e) {
		switch a := a.(type) {
		case limitsharer.SetRate:
			f.setRate(i, a)
		case limitsharer.Announce:
			f.send(i, a)
		}
	}
}

// setRate gives instance i its share of an account.
func (f *fleet) setRate(i int, a limitsharer.SetRate) {
	k, _ := strconv.Atoi(string(a.Account)) // the names are numbers
	b := &f.instances[i].buckets[k]
	b.rate = a.RequestsPerSecond
	b.capacity = max(f.accounts[k].RequestsPerSecond*burst.Seconds()*a.Share, 1)
	b.tokens = min(b.tokens, b.capacity)
}

// send counts the messages of an announcement and puts on their way those that are not cut off.
func (f *fleet) send(from int, a limitsharer.Announce) {
	for to, in := range f.instances {
		if to == from || (a.To != "" && a.To != in.name) {
			continue
		}
		f.tally.messages++
		if !f.sc.apart(f.at, from, to, len(f.instances)) {
			f.inFlight = append(f.inFlight, message{from, to, a.Announcement})
		}
	}
}

// deliver hands over the messages sent in the step before.
func (f *fleet) deliver() {
	arrived := f.inFlight
	f.inFlight = nil
	for _, m := range arrived {
		f.submit(m.to, limitsharer.AnnouncementReceived{From: f.instances[m.from].name, Announcement: m.announcement})
	}
}

// ask lets the requests of one step arrive, by turns among the instances.
func (f *fleet) ask() {
	for k, a := range f.accounts {
		f.whole[k].refill(step)
		f.single[k].refill(step)
		for i, rate := range f.sc.rates(k, f.at, len(f.instances)) {
			b := &f.instances[i].buckets[k]
			b.refill(step)
			for range poisson(f.random, rate*step.Seconds()) {
				f.submit(i, limitsharer.RequestArrived{Account: a.Name})
				f.judge(k, b.take())
			}
		}
	}
}

// judge compares one decision with the account's limit, and with that of a single instance.
func (f *fleet) judge(k int, admitted bool) {
	f.tally.asked++
	if f.single[k].take() {
		f.tally.possible++
	}
	if !admitted {
		return
	}
	f.tally.admitted++
	if !f.whole[k].take() {
		f.tally.overAdmitted++
	}
}

// poisson returns a number with the Poisson distribution of the given mean, which is small.
func poisson(random *rand.Rand, mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := random.Float64(); p > limit; p *= random.Float64() {
		n++
	}
	return n
}
