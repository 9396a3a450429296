package main

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/limiter"
)

// plain is a queue in the order of arrival without any admission.
type plain struct {
	w       *world
	running int
	queue   []*job
}

func newPlain(w *world) gate { return &plain{w: w} }

func (p *plain) arrive(j *job) {
	p.queue = append(p.queue, j)
	p.fill()
}

func (p *plain) leave(j *job, _ bool) {
	if j.running {
		p.running--
	} else if i := slices.Index(p.queue, j); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	p.fill()
}

func (p *plain) fill() {
	for p.running < p.w.trace.Slots && len(p.queue) > 0 {
		j := p.queue[0]
		p.queue = p.queue[1:]
		p.running++
		p.w.start(j)
	}
}

// limited is the project's limiter.
type limited struct {
	w    *world
	core *limiter.Limiter
	jobs map[limiter.Ref]*job

	wakeAt time.Time // of the latest WakeAt
}

func newLimited(cfg limiter.Config) func(w *world) gate {
	return func(w *world) gate {
		l := &limited{w: w, core: limiter.New(cfg), jobs: map[limiter.Ref]*job{}}
		l.step(limiter.SlotsSet{Pool: "pool", Slots: w.trace.Slots})
		return l
	}
}

func (l *limited) arrive(j *job) {
	ref := limiter.Ref(j.ref)
	l.jobs[ref] = j
	a := l.w.trace.Accounts[j.request.account]
	l.step(limiter.Arrived{
		Ref: ref, Account: identifier.ClientAccount(a.Name), Pool: "pool", Priority: a.Priority,
		Deadline: j.came.Add(l.w.trace.Deadline.Std()),
	})
}

func (l *limited) leave(j *job, whole bool) {
	delete(l.jobs, limiter.Ref(j.ref))
	l.step(limiter.Released{Ref: limiter.Ref(j.ref), Completed: whole})
}

func (l *limited) step(e limiter.Event) {
	for _, a := range slices.Clone(l.core.Step(l.w.Now, e)) {
		switch a := a.(type) {
		case limiter.Admit:
			l.w.start(l.jobs[a.Ref])
		case limiter.Refuse:
			l.w.refuse(l.jobs[a.Ref], a.RetryAfter)
			delete(l.jobs, a.Ref)
		case limiter.WakeAt:
			l.wakeAt = a.At
			l.w.After(a.At.Sub(l.w.Now), func() {
				if l.wakeAt.Equal(a.At) {
					l.step(limiter.Ticked{})
				}
			})
		}
	}
}
