package limiter

import (
	"math"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// unlimited is the number of slots of a pool that nobody has told of.
const unlimited = -1

// Weights of the estimates.
const (
	holdWeight     = 0.05             // of one measurement in the mean time of a request and its deviation
	holdDeviations = 2                // beyond the mean that a request must have left when it starts
	rateWindow     = 20 * time.Second // over which arrivals are averaged
	minRateAge     = 5 * time.Second  // over which the first arrivals are averaged
	maxRetryAfter  = 30 * time.Second
)

// pool has the slots and the queue of one pool of targets.
type pool struct {
	name    identifier.Pool
	slots   int
	running int
	waiting int
	bound   int           // of waiting
	hold    time.Duration // mean time that a request holds its slot
	spread  time.Duration // mean deviation from it
	movedAt time.Time     // when a request last ran to its end, or the slots became full
	rates   []rate        // of arrivals, by priority
	classes []*class      // in the order of their first request
	turn    turn
	virtual map[int]float64 // by priority, class.served of the class admitted last
}

// class is the requests of one client account and priority that wait for one pool.
type class struct {
	account  identifier.ClientAccount
	priority int
	queue    []*request // the earliest deadline first
	served   float64    // admissions so far, at least those of a class that never left
	lastTurn int        // number of the pool's admission that it got last
	planned  plannedClass
}

// turn counts the admissions of a pool.
type turn struct {
	admissions int
	sinceFloor int
}

// isFree reports whether another request may start. A pool without slots lets requests
// through, since no wait helps them and the router refuses them at once.
func (p *pool) isFree() bool { return p.slots <= 0 || p.running < p.slots }

// start takes a slot for a request. A pool that had a free one did not stand still.
func (p *pool) start(now time.Time) {
	if p.waiting == 0 {
		p.movedAt = now
	}
	p.running++
}

// measure takes the time of one request into the estimates.
func (p *pool) measure(now time.Time, took time.Duration) {
	p.movedAt = now
	deviation := (took - p.hold).Abs()
	p.spread += time.Duration(holdWeight * float64(deviation-p.spread))
	p.hold += time.Duration(holdWeight * float64(took-p.hold))
}

// need returns the time that a request must have left when it starts.
func (p *pool) need() time.Duration { return p.hold + holdDeviations*p.spread }

// startAfter returns the time until the request with ahead others before it starts, if
// nothing else arrives. A pool that frees no slots is late by the time that it stands still.
func (p *pool) startAfter(now time.Time, ahead int) time.Duration {
	late := time.Duration(0)
	if !p.movedAt.IsZero() && p.running > 0 {
		late = max(0, now.Sub(p.movedAt)-p.need())
	}
	return late + p.hold*time.Duration(ahead+1)/time.Duration(max(p.slots, 1))
}

// retryAfter returns when a request of a priority should come back: when what waits is served.
func (p *pool) retryAfter(now time.Time, priority, floorEvery int) time.Duration {
	wait := float64(p.startAfter(now, p.waiting)) / p.shareBelow(now, priority, floorEvery)
	return min(max(time.Duration(min(wait, float64(maxRetryAfter))), minRetryAfter), maxRetryAfter).Round(time.Second)
}

// rate is the decaying mean rate of the arrivals of one priority.
type rate struct {
	priority  int
	perSecond float64 // as if there had been no arrival before began
	at        time.Time
	began     time.Time
}

// count counts an arrival.
func (p *pool) count(now time.Time, priority int) {
	i := slices.IndexFunc(p.rates, func(r rate) bool { return r.priority == priority })
	if i < 0 {
		p.rates = append(p.rates, rate{priority: priority, at: now, began: now})
		i = len(p.rates) - 1
	}
	r := &p.rates[i]
	r.perSecond = r.decayed(now) + 1/rateWindow.Seconds()
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// estimate returns the mean rate over the window, or since the first arrival if that is shorter.
func (r *rate) estimate(now time.Time) float64 {
	age := max(now.Sub(r.began), minRateAge).Seconds()
	return r.decayed(now) / (1 - math.Exp(-age/rateWindow.Seconds()))
}

// shareBelow returns the part of the slots that requests of higher priorities, as they
// arrive now, leave to a priority: at least the share of its turns.
func (p *pool) shareBelow(now time.Time, priority, floorEvery int) float64 {
	taken := 0.0
	for i := range p.rates {
		if p.rates[i].priority > priority {
			taken += p.rates[i].estimate(now) * p.hold.Seconds() / float64(max(p.slots, 1))
		}
	}
	return max(1-taken, 1/float64(floorEvery))
}

func (p *pool) enqueue(q *request) {
	c := p.class(q.Account, q.Priority)
	if len(c.queue) == 0 {
		c.served = max(c.served, p.virtual[c.priority])
	}
	i, _ := slices.BinarySearchFunc(c.queue, q, func(a, b *request) int {
		if a.Deadline.After(b.Deadline) {
			return 1
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, i, q)
	q.class = c
	p.waiting++
}

func (p *pool) remove(q *request) {
	i := slices.Index(q.class.queue, q)
	q.class.queue = slices.Delete(q.class.queue, i, i+1)
	p.waiting--
}

func (p *pool) class(account identifier.ClientAccount, priority int) *class {
	for _, c := range p.classes {
		if c.account == account && c.priority == priority {
			return c
		}
	}
	c := &class{account: account, priority: priority}
	p.classes = append(p.classes, c)
	return c
}

// serve counts an admission of c.
func (p *pool) serve(c *class, floor bool) {
	p.turn.count(floor)
	p.virtual[c.priority] = c.served
	c.served++
	c.lastTurn = p.turn.admissions
}

func (t *turn) count(floor bool) {
	t.admissions++
	t.sinceFloor++
	if floor {
		t.sinceFloor = 0
	}
}
