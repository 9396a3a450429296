package scheduler

import (
	"math"
	"time"

	"amaranthmill/internal/identifier"
)

// Bounds of the time after which a refused caller should come back.
const (
	leastReturn = 400 * time.Millisecond
	mostReturn  = 3 * time.Second
)

// rateWindow is the time over which requests are averaged.
const rateWindow = time.Second

// rate is a decaying mean rate. That at which requests of a pool end is the rate at which those
// that wait are placed while the pool is full.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) decayed(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// count counts one request.
func (r *rate) count(now time.Time) {
	r.perSecond = r.decayed(now) + 1/rateWindow.Seconds()
	r.at = now
}

// traffic is the rates at which requests of a pool come to this instance and end.
type traffic struct {
	arrivals, ends rate
	began          time.Time // of the first arrival after a quiet time
}

// quietRate is the rate of arrivals per second below which a pool counts as quiet.
const quietRate = 0.05

// arrive counts an arrival.
func (t *traffic) arrive(now time.Time) {
	if t.arrivals.decayed(now) < quietRate {
		t.began, t.ends = now, rate{}
	}
	t.arrivals.count(now)
}

// pace returns the rate of ends. After a quiet time the mean is taken over the time since
// then, because requests that have just begun can't have ended.
func (t *traffic) pace(now time.Time) float64 {
	covered := 1 - math.Exp(-now.Sub(t.began).Seconds()/rateWindow.Seconds())
	if covered <= 0 {
		return 0
	}
	return t.ends.decayed(now) / covered
}

// overloadMargin is the factor on the rate of ends beyond which arrivals count as too many.
const overloadMargin = 1.1

// traffic returns the rates of a pool.
func (p *Scheduler) traffic(pool identifier.Pool) *traffic {
	if p.rates[pool] == nil {
		p.rates[pool] = &traffic{}
	}
	return p.rates[pool]
}

// isOverloaded reports whether more requests of a pool come than end, so that waiting only
// makes those that come later late as well.
func (t *traffic) isOverloaded(now time.Time) bool {
	return t.arrivals.decayed(now) > overloadMargin*t.ends.decayed(now)
}

// isLate reports whether f, placed after wait, would get its first event after its goal.
func (p *Scheduler) isLate(now time.Time, f *flight, wait time.Duration) bool {
	pl := p.pools[f.Pool]
	if pl == nil || f.LatencyGoal <= 0 {
		return false
	}
	return now.Add(wait + pl.meanFirst(now)).After(f.ArrivedAt.Add(f.LatencyGoal))
}

// isVain reports whether f should be refused now rather than wait at full targets: it would
// not be placed while it is patient, or it would be late and make others late, too.
func (p *Scheduler) isVain(now time.Time, f *flight) bool {
	wait := p.expectedWait(now, f)
	return now.Add(wait).After(f.giveUpAt) || p.traffic(f.Pool).isOverloaded(now) && p.isLate(now, f, wait)
}

// expectedWait returns the time until f is placed if every target of its pool is full, given
// the requests that wait before it. It returns zero if nothing is known.
func (p *Scheduler) expectedWait(now time.Time, f *flight) time.Duration {
	perSecond := p.traffic(f.Pool).pace(now)
	if perSecond <= 0 {
		return 0
	}
	ahead := 1
	for _, o := range p.waiting {
		if o == f || f.goesBefore(o) {
			break
		}
		if o.Pool == f.Pool {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// goesBefore reports whether f is placed before o: by priority, and within one by deadline.
func (f *flight) goesBefore(o *flight) bool {
	if f.Priority != o.Priority {
		return f.Priority < o.Priority
	}
	return f.Deadline.Before(o.Deadline)
}

// comeBack returns when a refused caller should return.
func (p *Scheduler) comeBack(now time.Time, f *flight) time.Duration {
	return min(max(p.expectedWait(now, f), leastReturn), mostReturn).Round(10 * time.Millisecond)
}
