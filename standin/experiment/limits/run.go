package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/sharer"
)

const (
	step      = 10 * time.Millisecond // also the time that a message takes
	tickEvery = 250 * time.Millisecond
	account   = identifier.ClientAccount("observatory")
)

// tally counts what happened in one run.
type tally struct {
	asked, admitted, overAdmitted, falselyRefused, messages int
}

// instance is one instance with its share, its token bucket and, unless the shares are equal, its core.
type instance struct {
	name   identifier.Instance
	core   *sharer.Core
	bucket bucket
}

// bucket is a token bucket.
type bucket struct{ rate, capacity, tokens float64 }

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
	announcement sharer.Announcement
}

// fleet is the instances of one run.
type fleet struct {
	sc        scenario
	limit     float64
	instances []*instance
	whole     bucket // what one instance would admit that saw every admission
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
		if f.at == cutTo && sc.cut {
			f.introduce()
		}
		if f.at%tickEvery == 0 {
			f.each(sharer.Ticked{})
		}
		f.ask()
	}
	return f.tally
}

func newFleet(sc scenario, n int, p policy, seed uint64) *fleet {
	f := &fleet{sc: sc, limit: perInstance * float64(n), random: rand.New(rand.NewPCG(seed, uint64(n)))}
	f.whole = bucket{rate: f.limit, capacity: f.limit * burst.Seconds()}
	f.whole.tokens = f.whole.capacity
	for i := range n {
		in := &instance{name: identifier.Instance(fmt.Sprintf("entry-%02d", i))}
		f.instances = append(f.instances, in)
		f.setRate(i, sharer.SetRate{RequestsPerSecond: f.limit / float64(n), Part: 1 / float64(n)})
		in.bucket.tokens = in.bucket.capacity
		if p.settings != nil {
			cfg := *p.settings
			cfg.Instance = in.name
			in.core = sharer.New(cfg)
		}
	}
	f.introduce()
	f.each(sharer.AccountsSet{Accounts: []sharer.Account{{Name: account, RequestsPerSecond: f.limit}}})
	return f
}

// introduce tells every instance of every other.
func (f *fleet) introduce() {
	for _, in := range f.instances {
		for i, other := range f.instances {
			if other != in {
				f.submit(i, sharer.PeerSeen{Instance: in.name})
			}
		}
	}
}

// each submits e to every instance.
func (f *fleet) each(e sharer.Event) {
	for i := range f.instances {
		f.submit(i, e)
	}
}

// submit steps the core of instance i and carries out its actions.
func (f *fleet) submit(i int, e sharer.Event) {
	core := f.instances[i].core
	if core == nil {
		return
	}
	for _, a := range core.Step(time.Unix(1, 0).Add(f.at), e) {
		switch a := a.(type) {
		case sharer.SetRate:
			f.setRate(i, a)
		case sharer.Announce:
			f.send(i, a)
		}
	}
}

// setRate gives instance i its share.
func (f *fleet) setRate(i int, a sharer.SetRate) {
	b := &f.instances[i].bucket
	b.rate = a.RequestsPerSecond
	b.capacity = max(f.limit*burst.Seconds()*a.Part, 1)
	b.tokens = min(b.tokens, b.capacity)
}

// send counts the messages of an announcement and puts on their way those that are not cut off.
func (f *fleet) send(from int, a sharer.Announce) {
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
		f.submit(m.to, sharer.AnnouncementReceived{From: f.instances[m.from].name, Announcement: m.announcement})
	}
}

// ask lets the requests of one step arrive, by turns among the instances.
func (f *fleet) ask() {
	f.whole.refill(step)
	for i, rate := range f.sc.rates(f.at, len(f.instances)) {
		f.instances[i].bucket.refill(step)
		for range poisson(f.random, rate*step.Seconds()) {
			f.submit(i, sharer.RequestArrived{Account: account})
			f.judge(f.instances[i].bucket.take())
		}
	}
}

// judge compares one decision with that of the bucket that sees every admission.
func (f *fleet) judge(admitted bool) {
	f.tally.asked++
	switch {
	case admitted:
		f.tally.admitted++
		if !f.whole.take() {
			f.tally.overAdmitted++
		}
	case f.whole.tokens >= 1:
		f.tally.falselyRefused++
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
