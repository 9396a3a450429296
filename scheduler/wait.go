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

// outlook is what the requests of a pool that wait can expect.
type outlook struct {
	reason         Reason        // why they wait
	endingRate     float64       // attempts that end per second; zero if it is not known
	isOverloaded   bool          // requests arrive faster than attempts end
	meanFirstEvent time.Duration // from the start of an attempt to its first event; zero if it is not known
	reopensAt      time.Time     // earliest end of the closures of its targets, if all are closed
	reopeningSlots int           // slots of the targets whose closures end then
	limit          limitOutlook  // if the reason is ReasonLimited
}

// outlookOf returns the outlook of the requests of a pool that wait.
func (s *Scheduler) outlookOf(now time.Time, name identifier.Pool) outlook {
	r := s.ratesOf(name)
	o := outlook{reason: s.noTargetReason(name), endingRate: r.endingRate(now), isOverloaded: r.isOverloaded(now)}
	pl := s.pools[name]
	if pl == nil {
		return o
	}
	if pl.isEvacuated() {
		o.reason = ReasonEvacuated
		return o
	}
	o.meanFirstEvent = pl.meanFirstEvent(now)
	if l, isLimited := s.limitOutlook(now, pl); isLimited {
		o.reason, o.limit = ReasonLimited, l
		return o
	}
	if at, isClosed := pl.reopensAt(now); isClosed {
		o.reason, o.reopensAt, o.reopeningSlots = ReasonClosed, at, pl.slotsReopeningBy(at)
		return o
	}
	m := pl.means(now)
	for _, t := range pl.targets {
		if s.isFull(now, t, m) {
			o.reason = ReasonFull
			break
		}
	}
	return o
}

// isFutile reports whether f should be refused now instead of waiting at a position of the queue,
// from 1: f is not expected to be placed before f.giveUpAt, or the pool is overloaded and f would
// miss its latency goal and delay other requests past theirs.
func (o outlook) isFutile(now time.Time, f *flight, position int) bool {
	switch o.reason {
	case ReasonCutOff, ReasonEvacuated:
		return true
	case ReasonClosed:
		return o.reopensAt.Add(reopenDelay).After(f.giveUpAt) || position > o.reopeningSlots
	case ReasonLimited:
		return o.limit.expectedAt(position).After(f.giveUpAt)
	case ReasonFull:
		wait := o.expectedWait(position)
		return now.Add(wait).After(f.giveUpAt) || o.isOverloaded && o.missesGoal(now, f, wait)
	}
	return false
}

// expectedWait returns the expected time until the request at a position of the queue is placed if
// every target of the pool is full. It returns zero if the rate of endings is unknown.
func (o outlook) expectedWait(position int) time.Duration {
	if o.endingRate <= 0 {
		return 0
	}
	return time.Duration(float64(position) / o.endingRate * float64(time.Second))
}

// missesGoal reports whether f would get its first event after its latency goal if it is placed after wait.
func (o outlook) missesGoal(now time.Time, f *flight, wait time.Duration) bool {
	return f.LatencyGoal > 0 && now.Add(wait+o.meanFirstEvent).After(f.ArrivedAt.Add(f.LatencyGoal))
}

// retryAfter returns the time after which the refused caller of f should retry.
func (s *Scheduler) retryAfter(now time.Time, f *flight) time.Duration {
	o := s.outlookOf(now, f.Pool)
	switch o.reason {
	case ReasonEvacuated:
		return evacuatedRetryAfter
	case ReasonCutOff:
		return s.cutOffRetryAfter(now)
	case ReasonLimited:
		return s.pools[f.Pool].limitedRetryAfter(now, o.limit, s.position(f)).Round(10 * time.Millisecond)
	case ReasonClosed:
		return s.pools[f.Pool].closedRetryAfter(now, o).Round(10 * time.Millisecond)
	}
	return min(max(o.expectedWait(s.position(f)), minRetryAfter), maxRetryAfter).Round(10 * time.Millisecond)
}
