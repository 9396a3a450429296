package main

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/limiter"
)

// fifoQueue runs attempts in the order of arrival, without admission control.
type fifoQueue struct {
	sim     *simulation
	running int
	queue   []*attempt
}

func newFIFOQueue(sim *simulation) admitter { return &fifoQueue{sim: sim} }

func (p *fifoQueue) submit(att *attempt) {
	p.queue = append(p.queue, att)
	p.fill()
}

func (p *fifoQueue) release(att *attempt, _ bool) {
	if att.running {
		p.running--
	} else if i := slices.Index(p.queue, att); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	p.fill()
}

func (p *fifoQueue) fill() {
	for p.running < p.sim.trace.Slots && len(p.queue) > 0 {
		att := p.queue[0]
		p.queue = p.queue[1:]
		p.running++
		p.sim.run(att)
	}
}

// limiterAdmitter runs a core of package limiter.
type limiterAdmitter struct {
	sim      *simulation
	core     *limiter.Limiter
	attempts map[limiter.Ref]*attempt

	wakeAt time.Time // time of the latest WakeAt; earlier ones are ignored
}

func newLimiterAdmitter(cfg limiter.Config) func(sim *simulation) admitter {
	return func(sim *simulation) admitter {
		l := &limiterAdmitter{sim: sim, core: limiter.New(cfg), attempts: map[limiter.Ref]*attempt{}}
		l.step(limiter.SlotsSet{Pool: "pool", Slots: sim.trace.Slots})
		return l
	}
}

func (l *limiterAdmitter) submit(att *attempt) {
	ref := limiter.Ref(att.ref)
	l.attempts[ref] = att
	a := l.sim.trace.Accounts[att.request.account]
	l.step(limiter.Arrived{
		Ref: ref, Account: identifier.ClientAccount(a.Name), Pool: "pool", Priority: a.Priority,
		Deadline: att.arrivedAt.Add(l.sim.trace.Deadline.Std()),
	})
}

func (l *limiterAdmitter) release(att *attempt, completed bool) {
	delete(l.attempts, limiter.Ref(att.ref))
	l.step(limiter.Released{Ref: limiter.Ref(att.ref), Completed: completed})
}

func (l *limiterAdmitter) step(e limiter.Event) {
	for _, a := range slices.Clone(l.core.Step(l.sim.Now, e)) {
		switch a := a.(type) {
		case limiter.Admit:
			l.sim.run(l.attempts[a.Ref])
		case limiter.Refuse:
			l.sim.refuse(l.attempts[a.Ref], a.RetryAfter)
			delete(l.attempts, a.Ref)
		case limiter.WakeAt:
			l.wakeAt = a.At
			l.sim.After(a.At.Sub(l.sim.Now), func() {
				if l.wakeAt.Equal(a.At) {
					l.step(limiter.Ticked{})
				}
			})
		}
	}
}
