package limiter

import (
	"math"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// unlimited is the number of slots of a pool before its first SlotsSet event.
const unlimited = -1

// Parameters of the estimates.
const (
	holdWeight     = 0.05             // weight of one measurement in the mean holding time and its mean deviation
	holdDeviations = 2                // mean deviations beyond the mean that a request must have left when it starts
	rateWindow     = 20 * time.Second // time constant of the mean arrival rate
	minRateWindow  = 5 * time.Second  // least time over which the first arrivals are averaged
	maxRetryAfter  = 30 * time.Second
)

// pool has the slots and the queue of one pool of targets.
type pool struct {
	name          identifier.Pool
	slots         int
	running       int
	waiting       int
	maxWaiting    int           // bound on waiting
	meanHold      time.Duration // mean time for which a request holds its slot
	meanDeviation time.Duration // mean absolute deviation from meanHold
	lastProgress  time.Time     // when a request was last answered, or started with no other waiting
	arrivalRates  []arrivalRate // one for each priority
	classes       []*class      // in the order of their first request
	counter       admissionCounter
	virtualTime   map[int]float64 // by priority: class.startTag of the class admitted last
}

// class holds the requests of one client account and priority that wait for one pool.
type class struct {
	account       identifier.ClientAccount
	priority      int
	queue         []*request // the earliest deadline first
	startTag      float64    // virtual start time of start-time fair queuing: admissions so far, raised to virtualTime after an idle period
	lastAdmission int        // admissionCounter.admissions at the last admission of this class
	planned       plannedClass
}

// admissionCounter counts the admissions of a pool.
type admissionCounter struct {
	admissions       int
	sinceLowPriority int // admissions since the last one reserved for a lower priority
}

// hasFreeSlot reports whether another request may start. A pool without slots admits all
// requests, because waiting does not help them and the router refuses them at once.
func (p *pool) hasFreeSlot() bool { return p.slots <= 0 || p.running < p.slots }

// occupySlot takes a slot for a request. If no other request waits, the pool was not stalled
// before, so that the time without progress counts from now.
func (p *pool) occupySlot(now time.Time) {
	if p.waiting == 0 {
		p.lastProgress = now
	}
	p.running++
}

// recordCompletion adds the holding time of an answered request to the estimates.
func (p *pool) recordCompletion(now time.Time, took time.Duration) {
	p.lastProgress = now
	deviation := (took - p.meanHold).Abs()
	p.meanDeviation += time.Duration(holdWeight * float64(deviation-p.meanDeviation))
	p.meanHold += time.Duration(holdWeight * float64(took-p.meanHold))
}

// requiredTime returns the time that a request must have left when it starts.
func (p *pool) requiredTime() time.Duration { return p.meanHold + holdDeviations*p.meanDeviation }

// startDelay returns the estimated time until a request with ahead others before it in the
// queue starts, if nothing else arrives. If the pool is stalled, that is if no request
// was answered for longer than requiredTime, the excess is added.
func (p *pool) startDelay(now time.Time, ahead int) time.Duration {
	stalled := time.Duration(0)
	if !p.lastProgress.IsZero() && p.running > 0 {
		stalled = max(0, now.Sub(p.lastProgress)-p.requiredTime())
	}
	return stalled + p.meanHold*time.Duration(ahead+1)/time.Duration(max(p.slots, 1))
}

// retryAfter returns the retry delay for a refused request of a priority: the estimated time until the present queue is served.
func (p *pool) retryAfter(now time.Time, priority, lowPriorityInterval int) time.Duration {
	wait := float64(p.startDelay(now, p.waiting)) / p.slotShare(now, priority, lowPriorityInterval)
	return min(max(time.Duration(min(wait, float64(maxRetryAfter))), minRetryAfter), maxRetryAfter).Round(time.Second)
}

// arrivalRate is the exponentially decaying mean arrival rate of one priority.
type arrivalRate struct {
	priority     int
	perSecond    float64 // decayed rate at updatedAt, which counts the time before firstArrival as without arrivals
	updatedAt    time.Time
	firstArrival time.Time
}

// countArrival adds an arrival to the rate of its priority.
func (p *pool) countArrival(now time.Time, priority int) {
	i := slices.IndexFunc(p.arrivalRates, func(r arrivalRate) bool { return r.priority == priority })
	if i < 0 {
		p.arrivalRates = append(p.arrivalRates, arrivalRate{priority: priority, updatedAt: now, firstArrival: now})
		i = len(p.arrivalRates) - 1
	}
	r := &p.arrivalRates[i]
	r.perSecond = r.decayedRate(now) + 1/rateWindow.Seconds()
	r.updatedAt = now
}

func (r *arrivalRate) decayedRate(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateWindow.Seconds())
}

// estimate returns the mean rate over rateWindow, or since the first arrival if that is shorter.
func (r *arrivalRate) estimate(now time.Time) float64 {
	age := max(now.Sub(r.firstArrival), minRateWindow).Seconds()
	return r.decayedRate(now) / (1 - math.Exp(-age/rateWindow.Seconds()))
}

// slotShare returns the share of the slots that higher priorities leave to a priority at
// their present arrival rates. It is at least the share reserved for lower priorities.
func (p *pool) slotShare(now time.Time, priority, lowPriorityInterval int) float64 {
	taken := 0.0
	for i := range p.arrivalRates {
		if p.arrivalRates[i].priority > priority {
			taken += p.arrivalRates[i].estimate(now) * p.meanHold.Seconds() / float64(max(p.slots, 1))
		}
	}
	return max(1-taken, 1/float64(lowPriorityInterval))
}

// enqueue inserts q into its class by deadline. A class that was idle starts at the present
// virtual time, so that it earns no credit while it is idle.
func (p *pool) enqueue(q *request) {
	c := p.class(q.Account, q.Priority)
	if len(c.queue) == 0 {
		c.startTag = max(c.startTag, p.virtualTime[c.priority])
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

// countAdmission counts an admission of c, which is low-priority if it was reserved for a lower priority.
func (p *pool) countAdmission(c *class, isLowPriority bool) {
	p.counter.add(isLowPriority)
	p.virtualTime[c.priority] = c.startTag
	c.startTag++
	c.lastAdmission = p.counter.admissions
}

func (c *admissionCounter) add(isLowPriority bool) {
	c.admissions++
	c.sinceLowPriority++
	if isLowPriority {
		c.sinceLowPriority = 0
	}
}
