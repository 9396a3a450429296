package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/router"
)

// load is the load that a group reports, in requests.
type load struct{ running, waiting int }

// policy chooses a group for each request that arrives at an instance.
type policy interface {
	// chooseGroup returns the group and a function to call when the request is done.
	chooseGroup(now time.Time, instance int, blocks []uint64) (int, func(time.Time))
	// updateLoads passes the loads of all groups as they were at reportedAt. They arrive at now.
	updateLoads(now, reportedAt time.Time, loads []load)
}

func ignoreDone(time.Time) {}

// random chooses each group with the same probability.
type random struct {
	rng    *rand.Rand
	groups int
}

func newRandom(t trace, seed uint64) policy {
	return &random{rng: rand.New(rand.NewPCG(seed, 3)), groups: t.Groups}
}

func (p *random) chooseGroup(time.Time, int, []uint64) (int, func(time.Time)) {
	return p.rng.IntN(p.groups), ignoreDone
}

func (p *random) updateLoads(time.Time, time.Time, []load) {}

// roundRobin chooses the groups in turn. Each instance keeps its own position.
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

func (p *roundRobin) chooseGroup(_ time.Time, instance int, _ []uint64) (int, func(time.Time)) {
	p.next[instance]++
	return p.next[instance] % p.groups, ignoreDone
}

func (p *roundRobin) updateLoads(time.Time, time.Time, []load) {}

// leastInFlight chooses the group with the fewest requests in flight from this instance. Ties go
// to the first of these groups in cyclic order from a group drawn at random.
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

func (p *leastInFlight) chooseGroup(_ time.Time, instance int, _ []uint64) (int, func(time.Time)) {
	counts := p.inFlight[instance]
	first := p.rng.IntN(len(counts))
	best := first
	for i := range counts {
		if g := (first + i) % len(counts); counts[g] < counts[best] {
			best = g
		}
	}
	counts[best]++
	return best, func(time.Time) { counts[best]-- }
}

func (p *leastInFlight) updateLoads(time.Time, time.Time, []load) {}

// twoChoices draws two groups at random and chooses the one with the lower last reported load.
type twoChoices struct {
	rng   *rand.Rand
	loads []load
}

func newTwoChoices(t trace, seed uint64) policy {
	return &twoChoices{rng: rand.New(rand.NewPCG(seed, 3)), loads: make([]load, t.Groups)}
}

func (p *twoChoices) chooseGroup(time.Time, int, []uint64) (int, func(time.Time)) {
	a, b := p.rng.IntN(len(p.loads)), p.rng.IntN(len(p.loads))
	if p.loads[b].running+p.loads[b].waiting < p.loads[a].running+p.loads[a].waiting {
		a = b
	}
	return a, ignoreDone
}

func (p *twoChoices) updateLoads(_, _ time.Time, loads []load) { p.loads = loads }

// routerPolicy runs a core of package router at each instance.
type routerPolicy struct {
	trace   trace
	routers []*router.Router
	lastRef router.Ref
}

func routerVariant(name string, cfg router.Config) variant {
	return variant{name, func(t trace, seed uint64) policy {
		p := &routerPolicy{trace: t}
		for i := range t.Instances {
			instanceConfig := cfg
			instanceConfig.Rand = rand.NewPCG(seed, uint64(100+i))
			p.routers = append(p.routers, router.New(instanceConfig))
		}
		p.updateLoads(time.Unix(0, 0), time.Unix(0, 0), make([]load, t.Groups))
		return p
	}}
}

func (p *routerPolicy) chooseGroup(now time.Time, instance int, blocks []uint64) (int, func(time.Time)) {
	p.lastRef++
	ref, instanceRouter := p.lastRef, p.routers[instance]
	req := &router.Request{Pool: "guides", Deadline: now.Add(time.Hour)}
	for _, a := range instanceRouter.Step(now, router.Arrived{Ref: ref, Request: req, Prefix: blocks}) {
		if d, ok := a.(router.Dispatch); ok {
			return int(d.Target.Epoch) - 1, func(now time.Time) {
				instanceRouter.Step(now, router.Ended{Ref: ref, Attempt: d.Attempt, Ending: router.Completed{}})
			}
		}
	}
	panic("routing: the router dispatched no target")
}

func (p *routerPolicy) updateLoads(now, reportedAt time.Time, loads []load) {
	targets := make([]router.Target, len(loads))
	for i, l := range loads {
		targets[i] = router.Target{
			ID: fmt.Sprint("g", i), Pool: "guides", Epoch: identifier.Epoch(i + 1), Ready: true, Capacity: p.trace.Slots,
			InFlight: l.running, Queued: l.waiting, ReportedAt: reportedAt,
		}
	}
	for _, r := range p.routers {
		r.Step(now, router.TargetsSet{Targets: targets})
	}
}
