package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/router"
)

// load is a group's load as it reports it.
type load struct{ running, waiting int }

// policy chooses a group for each request at one of the instances.
type policy interface {
	// choose returns the group and what to call when the request is done.
	choose(now time.Time, instance int, blocks []uint64) (int, func(time.Time))
	// report tells at now the load of every group as it was at seen.
	report(now, seen time.Time, loads []load)
}

func nothing(time.Time) {}

// random chooses any group.
type random struct {
	rng    *rand.Rand
	groups int
}

func newRandom(t trace, seed uint64) policy {
	return &random{rng: rand.New(rand.NewPCG(seed, 3)), groups: t.Groups}
}

func (p *random) choose(time.Time, int, []uint64) (int, func(time.Time)) {
	return p.rng.IntN(p.groups), nothing
}

func (p *random) report(time.Time, time.Time, []load) {}

// roundRobin chooses the groups by turns at each instance.
type roundRobin struct {
	next   []int
	groups int
}

func newRoundRobin(t trace, _ uint64) policy {
	p := &roundRobin{next: make([]int, t.Instances), groups: t.Groups}
	for i := range p.next {
		p.next[i] = i
	}
	return p
}

func (p *roundRobin) choose(_ time.Time, instance int, _ []uint64) (int, func(time.Time)) {
	p.next[instance]++
	return p.next[instance] % p.groups, nothing
}

func (p *roundRobin) report(time.Time, time.Time, []load) {}

// leastInFlight chooses the group where the instance has the fewest requests, the first
// such one after a group drawn at random.
type leastInFlight struct {
	rng      *rand.Rand
	inFlight [][]int
}

func newLeastInFlight(t trace, seed uint64) policy {
	p := &leastInFlight{rng: rand.New(rand.NewPCG(seed, 3)), inFlight: make([][]int, t.Instances)}
	for i := range p.inFlight {
		p.inFlight[i] = make([]int, t.Groups)
	}
	return p
}

func (p *leastInFlight) choose(_ time.Time, instance int, _ []uint64) (int, func(time.Time)) {
	own := p.inFlight[instance]
	first := p.rng.IntN(len(own))
	best := first
	for i := range own {
		if g := (first + i) % len(own); own[g] < own[best] {
			best = g
		}
	}
	own[best]++
	return best, func(time.Time) { own[best]-- }
}

func (p *leastInFlight) report(time.Time, time.Time, []load) {}

// twoChoices chooses of two groups drawn at random the one that last reported the lesser load.
type twoChoices struct {
	rng   *rand.Rand
	loads []load
}

func newTwoChoices(t trace, seed uint64) policy {
	return &twoChoices{rng: rand.New(rand.NewPCG(seed, 3)), loads: make([]load, t.Groups)}
}

func (p *twoChoices) choose(time.Time, int, []uint64) (int, func(time.Time)) {
	a, b := p.rng.IntN(len(p.loads)), p.rng.IntN(len(p.loads))
	if p.loads[b].running+p.loads[b].waiting < p.loads[a].running+p.loads[a].waiting {
		a = b
	}
	return a, nothing
}

func (p *twoChoices) report(_, _ time.Time, loads []load) { p.loads = loads }

// routers is the project's router at each instance.
type routers struct {
	trace trace
	cores []*router.Router
	last  router.Ref
}

func core(name string, cfg router.Config) variant {
	return variant{name, func(t trace, seed uint64) policy {
		p := &routers{trace: t}
		for i := range t.Instances {
			own := cfg
			own.Rand = rand.NewPCG(seed, uint64(100+i))
			p.cores = append(p.cores, router.New(own))
		}
		p.report(time.Unix(0, 0), time.Unix(0, 0), make([]load, t.Groups))
		return p
	}}
}

func (p *routers) choose(now time.Time, instance int, blocks []uint64) (int, func(time.Time)) {
	p.last++
	ref, core := p.last, p.cores[instance]
	req := &router.Request{Pool: "guides", Deadline: now.Add(time.Hour)}
	for _, a := range core.Step(now, router.Arrived{Ref: ref, Request: req, Prefix: blocks}) {
		if d, ok := a.(router.Dispatch); ok {
			return int(d.Target.Epoch) - 1, func(now time.Time) {
				core.Step(now, router.Ended{Ref: ref, Attempt: d.Attempt, Ending: router.Completed{}})
			}
		}
	}
	panic("routing: no target")
}

func (p *routers) report(now, seen time.Time, loads []load) {
	targets := make([]router.Target, len(loads))
	for i, l := range loads {
		targets[i] = router.Target{
			ID: fmt.Sprint("g", i), Pool: "guides", Epoch: identifier.Epoch(i + 1), Ready: true, Capacity: p.trace.Slots,
			InFlight: l.running, Queued: l.waiting, ReportedAt: seen,
		}
	}
	for _, core := range p.cores {
		core.Step(now, router.TargetsSet{Targets: targets})
	}
}
