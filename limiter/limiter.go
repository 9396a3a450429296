package limiter

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Defaults of Config.
const (
	defaultMaxQueueLength      = 1024
	defaultInitialHoldingTime  = 2 * time.Second
	defaultLowPriorityInterval = 20
	minRetryAfter              = time.Second
)

// Config configures a Limiter. The zero value is usable.
type Config struct {
	MaxQueueLength      int           // maximum number of requests that wait for one pool; zero means 1024
	InitialHoldingTime  time.Duration // estimate of the mean holding time of a slot before the first measurement; zero means 2 s
	LowPriorityInterval int           // one admission in this many goes to the lower-priority account admitted least recently; zero means 20
}

// Limiter is the deterministic core of admission control. It is not safe for concurrent use;
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

// request is the state of one request from its arrival to its release.
type request struct {
	Arrived
	pool       *pool
	class      *class
	admittedAt time.Time // zero while it waits
}

// New returns a Limiter for cfg.
func New(cfg Config) *Limiter {
	if cfg.MaxQueueLength <= 0 {
		cfg.MaxQueueLength = defaultMaxQueueLength
	}
	if cfg.InitialHoldingTime <= 0 {
		cfg.InitialHoldingTime = defaultInitialHoldingTime
	}
	if cfg.LowPriorityInterval <= 0 {
		cfg.LowPriorityInterval = defaultLowPriorityInterval
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
	case InstanceCountSet:
		l.instances = max(e.Count, 1)
	case ShareSet:
		if b := l.accounts[e.Account]; b != nil {
			b.refill(now, l.instances)
			b.share = max(e.Share, 0)
		}
	case SlotsSet:
		l.setSlots(now, e)
	case Arrived:
		l.handleArrived(now, e)
	case Released:
		l.handleReleased(now, e)
	case Ticked:
		l.wakeAt = time.Time{}
		for _, p := range l.pools {
			l.shed(now, p)
		}
	}
	l.scheduleWake()
	return l.actions
}

func (l *Limiter) emit(a Action) { l.actions = append(l.actions, a) }

func (l *Limiter) handleArrived(now time.Time, e Arrived) {
	if b := l.accounts[e.Account]; e.CountsTowardLimit && b != nil {
		if wait := b.takeToken(now, l.instances); wait > 0 {
			l.emit(Refuse{Ref: e.Ref, Reason: ReasonAccountLimit, RetryAfter: wait})
			return
		}
	}
	p := l.pool(e.Pool)
	q := &request{Arrived: e, pool: p}
	l.requests[e.Ref] = q
	p.countArrival(now, e.Priority)
	if p.hasFreeSlot() && p.waiting == 0 {
		l.admit(now, q)
		return
	}
	p.enqueue(q)
	l.shed(now, p)
}

// handleReleased frees the slot of an admitted request, or removes a waiting request from its queue.
func (l *Limiter) handleReleased(now time.Time, e Released) {
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
		q.pool.recordCompletion(now, now.Sub(q.admittedAt))
	}
	l.admitWaiting(now, q.pool)
}

func (l *Limiter) setSlots(now time.Time, e SlotsSet) {
	p := l.pool(e.Pool)
	p.slots = e.Slots
	l.admitWaiting(now, p)
	l.shed(now, p)
}

// admitWaiting admits waiting requests of p while slots are free.
func (l *Limiter) admitWaiting(now time.Time, p *pool) {
	for p.waiting > 0 && p.hasFreeSlot() {
		p.resetPlan()
		c, isLowPriority := p.nextClass(p.counter, l.cfg.LowPriorityInterval)
		q := c.queue[0]
		p.remove(q)
		if !now.Add(p.requiredTime()).Before(q.Deadline) {
			l.refuse(now, q)
			continue
		}
		p.countAdmission(c, isLowPriority)
		l.admit(now, q)
	}
}

func (l *Limiter) admit(now time.Time, q *request) {
	q.admittedAt = now
	q.pool.occupySlot(now)
	l.emit(Admit{Ref: q.Ref})
}

// refuse refuses a request that was queued and returns the token to its account.
func (l *Limiter) refuse(now time.Time, q *request) {
	delete(l.requests, q.Ref)
	if b := l.accounts[q.Account]; q.CountsTowardLimit && b != nil {
		b.returnToken()
	}
	l.emit(Refuse{Ref: q.Ref, Reason: ReasonOverloaded, RetryAfter: q.pool.retryAfter(now, q.Priority, l.cfg.LowPriorityInterval)})
}

// scheduleWake requests a Ticked event at the time when the first waiting request can no longer start in time.
func (l *Limiter) scheduleWake() {
	var first time.Time
	for _, p := range l.pools {
		for _, c := range p.classes {
			if len(c.queue) == 0 {
				continue
			}
			if at := c.queue[0].Deadline.Add(-p.requiredTime()); first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	if first.IsZero() || first.Equal(l.wakeAt) {
		return
	}
	l.wakeAt = first
	l.emit(WakeAt{At: first})
}

func (l *Limiter) pool(name identifier.Pool) *pool {
	for _, p := range l.pools {
		if p.name == name {
			return p
		}
	}
	p := &pool{name: name, slots: unlimited, meanHold: l.cfg.InitialHoldingTime, maxWaiting: l.cfg.MaxQueueLength, virtualTime: map[int]float64{}}
	l.pools = append(l.pools, p)
	return p
}
