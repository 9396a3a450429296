package limiter

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Defaults of Config.
const (
	defaultQueueLength = 1024
	defaultFirstHold   = 2 * time.Second
	defaultFloorEvery  = 20
	minRetryAfter      = time.Second
)

// Config configures a Limiter. The zero value is usable.
type Config struct {
	MaxQueueLength      int           // requests that wait for one pool at most; zero means 1024
	InitialHoldingTime  time.Duration // the estimate of a request's time before any was measured; zero means 2 s
	LowPriorityInterval int           // one admission in so many goes to the account served least lately; zero means 20
}

// Limiter is the deterministic core of admission. It is not safe for concurrent use;
// run it with a stepper.Stepper. The slice that Step returns is valid until the next Step.
type Limiter struct {
	cfg       Config
	accounts  map[identifier.ClientAccount]*bucket
	instances int
	pools     []*pool
	requests  map[Ref]*request
	wakeAt    time.Time
	actions   []Action
}

// request is one request from its arrival to its release.
type request struct {
	Arrived
	pool       *pool
	class      *class
	admittedAt time.Time // zero while it waits
}

// New returns a Limiter for cfg.
func New(cfg Config) *Limiter {
	if cfg.MaxQueueLength <= 0 {
		cfg.MaxQueueLength = defaultQueueLength
	}
	if cfg.InitialHoldingTime <= 0 {
		cfg.InitialHoldingTime = defaultFirstHold
	}
	if cfg.LowPriorityInterval <= 0 {
		cfg.LowPriorityInterval = defaultFloorEvery
	}
	return &Limiter{
		cfg:       cfg,
		accounts:  map[identifier.ClientAccount]*bucket{},
		instances: 1,
		requests:  map[Ref]*request{},
	}
}

// Step applies e at now and returns the actions that it causes.
func (l *Limiter) Step(now time.Time, e Event) []Action {
	l.actions = l.actions[:0]
	switch e := e.(type) {
	case AccountsSet:
		l.setAccounts(now, e.Accounts)
	case InstancesSet:
		l.instances = max(e.Count, 1)
	case ShareSet:
		if b := l.accounts[e.Account]; b != nil {
			b.refill(now, l.instances)
			b.part = max(e.Share, 0)
		}
	case SlotsSet:
		l.setSlots(now, e)
	case Arrived:
		l.arrived(now, e)
	case Released:
		l.released(now, e)
	case Ticked:
		l.wakeAt = time.Time{}
		for _, p := range l.pools {
			l.shed(now, p)
		}
	}
	l.wake()
	return l.actions
}

func (l *Limiter) act(a Action) { l.actions = append(l.actions, a) }

func (l *Limiter) arrived(now time.Time, e Arrived) {
	if b := l.accounts[e.Account]; e.CountsTowardLimit && b != nil {
		if wait := b.take(now, l.instances); wait > 0 {
			l.act(Refuse{Ref: e.Ref, Reason: ReasonAccountLimit, RetryAfter: wait})
			return
		}
	}
	p := l.pool(e.Pool)
	q := &request{Arrived: e, pool: p}
	l.requests[e.Ref] = q
	p.count(now, e.Priority)
	if p.isFree() && p.waiting == 0 {
		l.admit(now, q)
		return
	}
	p.enqueue(q)
	l.shed(now, p)
}

// released frees the slot of a request that was admitted, or takes one that waits off its queue.
func (l *Limiter) released(now time.Time, e Released) {
	q := l.requests[e.Ref]
	if q == nil {
		return
	}
	delete(l.requests, e.Ref)
	if q.admittedAt.IsZero() {
		q.pool.remove(q)
		return
	}
	q.pool.running--
	if e.Completed {
		q.pool.measure(now, now.Sub(q.admittedAt))
	}
	l.fill(now, q.pool)
}

func (l *Limiter) setSlots(now time.Time, e SlotsSet) {
	p := l.pool(e.Pool)
	p.slots = e.Slots
	l.fill(now, p)
	l.shed(now, p)
}

// fill admits waiting requests of p while slots are free.
func (l *Limiter) fill(now time.Time, p *pool) {
	for p.waiting > 0 && p.isFree() {
		p.beginPlan()
		c, floor := p.next(p.turn, l.cfg.LowPriorityInterval)
		q := c.queue[0]
		p.remove(q)
		if !now.Add(p.need()).Before(q.Deadline) {
			l.refuse(now, q)
			continue
		}
		p.serve(c, floor)
		l.admit(now, q)
	}
}

func (l *Limiter) admit(now time.Time, q *request) {
	q.admittedAt = now
	q.pool.start(now)
	l.act(Admit{Ref: q.Ref})
}

// refuse ends a request that waits or waited and gives its account's token back.
func (l *Limiter) refuse(now time.Time, q *request) {
	delete(l.requests, q.Ref)
	if b := l.accounts[q.Account]; q.CountsTowardLimit && b != nil {
		b.giveBack()
	}
	l.act(Refuse{Ref: q.Ref, Reason: ReasonOverloaded, RetryAfter: q.pool.retryAfter(now, q.Priority, l.cfg.LowPriorityInterval)})
}

// wake asks for a tick when the first waiting request becomes too late to start.
func (l *Limiter) wake() {
	var first time.Time
	for _, p := range l.pools {
		for _, c := range p.classes {
			if len(c.queue) == 0 {
				continue
			}
			if at := c.queue[0].Deadline.Add(-p.need()); first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	if first.IsZero() || first.Equal(l.wakeAt) {
		return
	}
	l.wakeAt = first
	l.act(WakeAt{At: first})
}

func (l *Limiter) pool(name identifier.Pool) *pool {
	for _, p := range l.pools {
		if p.name == name {
			return p
		}
	}
	p := &pool{name: name, slots: unlimited, hold: l.cfg.InitialHoldingTime, bound: l.cfg.MaxQueueLength, virtual: map[int]float64{}}
	l.pools = append(l.pools, p)
	return p
}
