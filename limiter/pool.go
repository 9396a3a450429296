package limiter

import (
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// unlimited is the number of slots of a pool that nobody has told of.
const unlimited = -1

// holdWeight is the weight of one measurement in the mean time of a request.
const holdWeight = 0.05

// pool has the slots and the queue of one pool of targets.
type pool struct {
	name    identifier.Pool
	slots   int
	running int
	waiting int
	bound   int           // of waiting
	hold    time.Duration // mean time that a request holds its slot
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

// measure takes the time of one request into the mean.
func (p *pool) measure(took time.Duration) {
	p.hold += time.Duration(holdWeight * float64(took-p.hold))
}

// drainTime returns the time that the queue takes to empty, at least one second.
func (p *pool) drainTime() time.Duration {
	return max(minRetryAfter, p.startAfter(p.waiting)).Round(time.Second)
}

// startAfter returns the time until the request with ahead others before it starts.
func (p *pool) startAfter(ahead int) time.Duration {
	return p.hold * time.Duration(ahead+1) / time.Duration(max(p.slots, 1))
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
