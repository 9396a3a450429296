package scheduler

import (
	"math"
	"time"

	"amaranthmill/internal/identifier"
)

// Bounds on the time after which a refused caller should retry.
const (
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// rateWindow is the time constant of the decaying rates.
const rateWindow = time.Second

// rate is an exponentially decaying mean rate of requests. While every target of a pool is
// full, waiting requests are placed at the rate at which attempts of the pool end.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) valueAt(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// count adds one request.
func (r *rate) count(now time.Time) {
	r.perSecond = r.valueAt(now) + 1/rateWindow.Seconds()
	r.at = now
}

// poolRates holds the rates at which requests of a pool arrive at this instance and attempts of the pool end.
type poolRates struct {
	arrivals, endings rate
	activeSince       time.Time // time of the first arrival after the pool was idle
}

// idleArrivalRate is the number of arrivals per second below which a pool counts as idle.
const idleArrivalRate = 0.05

// countArrival counts an arrival. The first arrival after an idle time resets the rate of endings.
func (r *poolRates) countArrival(now time.Time) {
	if r.arrivals.valueAt(now) < idleArrivalRate {
		r.activeSince, r.endings = now, rate{}
	}
	r.arrivals.count(now)
}

// endingRate returns the rate of endings. After an idle time it averages over the time since
// the first arrival, because requests that have just begun can't have ended.
func (r *poolRates) endingRate(now time.Time) float64 {
	coverage := 1 - math.Exp(-now.Sub(r.activeSince).Seconds()/rateWindow.Seconds())
	if coverage <= 0 {
		return 0
	}
	return r.endings.valueAt(now) / coverage
}

// overloadMargin is the ratio of arrivals to endings above which a pool is overloaded.
const overloadMargin = 1.1

// ratesOf returns the rates of a pool.
func (s *Scheduler) ratesOf(pool identifier.Pool) *poolRates {
	if s.rates[pool] == nil {
		s.rates[pool] = &poolRates{}
	}
	return s.rates[pool]
}

// isOverloaded reports whether requests of a pool arrive faster than attempts end. Letting a
// request wait then only makes later requests miss their goals as well.
func (r *poolRates) isOverloaded(now time.Time) bool {
	return r.arrivals.valueAt(now) > overloadMargin*r.endings.valueAt(now)
}

// missesGoal reports whether f would get its first event after its latency goal if it is placed after wait.
func (s *Scheduler) missesGoal(now time.Time, f *flight, wait time.Duration) bool {
	pl := s.pools[f.Pool]
	if pl == nil || f.LatencyGoal <= 0 {
		return false
	}
	return now.Add(wait + pl.meanFirstEvent(now)).After(f.ArrivedAt.Add(f.LatencyGoal))
}

// shouldRefuse reports whether f should be refused now instead of waiting for full targets:
// either f is not expected to be placed before f.giveUpAt, or the pool is overloaded and f
// would miss its latency goal and delay other requests past theirs.
func (s *Scheduler) shouldRefuse(now time.Time, f *flight) bool {
	wait := s.expectedWait(now, f)
	return now.Add(wait).After(f.giveUpAt) || s.ratesOf(f.Pool).isOverloaded(now) && s.missesGoal(now, f, wait)
}

// expectedWait returns the expected time until f is placed if every target of its pool is
// full, given the requests ahead of f in the queue. It returns zero if the rate of endings is
// unknown.
func (s *Scheduler) expectedWait(now time.Time, f *flight) time.Duration {
	perSecond := s.ratesOf(f.Pool).endingRate(now)
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(s.position(f)) / perSecond * float64(time.Second))
}

// position returns the position of f among the waiting requests of its pool, from 1.
func (s *Scheduler) position(f *flight) int {
	position := 1
	for _, o := range s.queue {
		if o == f || f.precedes(o) {
			break
		}
		if o.Pool == f.Pool {
			position++
		}
	}
	return position
}

// precedes reports whether f is placed before o: by priority, and within a priority by deadline.
func (f *flight) precedes(o *flight) bool {
	if f.Priority != o.Priority {
		return f.Priority < o.Priority
	}
	return f.Deadline.Before(o.Deadline)
}

// retryAfter returns the time after which the refused caller of f should retry.
func (s *Scheduler) retryAfter(now time.Time, f *flight) time.Duration {
	if pl := s.pools[f.Pool]; pl != nil {
		if reopensAt, isClosed := pl.reopensAt(now); isClosed {
			return pl.closedRetryAfter(now, reopensAt).Round(10 * time.Millisecond)
		}
	}
	return min(max(s.expectedWait(now, f), minRetryAfter), maxRetryAfter).Round(10 * time.Millisecond)
}
