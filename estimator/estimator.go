package estimator

import (
	"math"
	"time"
)

// Times and weights of the speed of a target. Observed times are its weight: a stream that runs for a while counts
// as much as a first event that takes as long.
const (
	speedMemory  = 400 * time.Millisecond // time constant with which new samples replace old ones, so that a slowdown shows within a second
	speedPrior   = 100 * time.Millisecond // observed time at the pool's mean speed that is added to the samples
	lastingPrior = 500 * time.Millisecond // the same as speedPrior for the lasting speed
	forgetting   = 3 * time.Second        // time constant with which the speed returns to the pool's mean without samples
	recentSample = 3 * time.Second        // age up to which a target's speed counts in the pool's mean
	deadBand     = 0.1                    // difference of the lasting speed to the mean that counts as noise
	slowdown     = 1.5                    // ratio of the pool's mean speed to that of a target from which the target has slowed down; less than that, within speedMemory, is noise
	lastingSpeed = 5 * time.Second        // time constant of the lasting speed, which shows differences too small for speedMemory
	maxOutlier   = 8                      // multiple of the expected time at which a sample is cut off, so that a single pause does not look like a slow target
	minSpeed     = 0.05
	maxSpeed     = 2
	queueingLoad = 0.9 // from which times to the first event hold waits for a slot, and say little about the speed
	minOverdue   = 1.5 // multiple of the expected time from which a missing first event shows a slow target
)

// Weights of the part of requests that fail.
const (
	failureMemory = 2 * time.Second
	failurePrior  = 2 // requests that did not fail, added to those counted
)

// Estimator holds what is known about one target. The zero value is the prior: the target is as fast as the mean of its
// pool, and no request fails there.
type Estimator struct {
	observed  float64 // decaying sum of times, in nanoseconds
	expected  float64 // of the same samples at ordinary speed
	at        time.Time
	lasting   struct{ observed, expected float64 } // the same over lastingSpeed, without the samples of a slowdown
	overdue   float64                              // speed that a missing first event has shown at most; zero if none is missing
	overdueAt time.Time

	ends, failures float64 // decaying counts
	endedAt        time.Time
}

// Reset returns e to the prior.
func (e *Estimator) Reset() { *e = Estimator{} }

// add adds a sample of the speed.
func (e *Estimator) add(now time.Time, observed, expected float64) {
	if expected <= 0 {
		return
	}
	if !e.at.IsZero() {
		f := math.Exp(-now.Sub(e.at).Seconds() / speedMemory.Seconds())
		e.observed, e.expected = e.observed*f, e.expected*f
		f = math.Exp(-now.Sub(e.at).Seconds() / lastingSpeed.Seconds())
		e.lasting.observed, e.lasting.expected = e.lasting.observed*f, e.lasting.expected*f
	}
	observed = min(observed, maxOutlier*expected)
	e.observed += observed
	e.expected += expected
	e.at = now
	if e.observed < slowdown*e.expected {
		e.lasting.observed += observed
		e.lasting.expected += expected
	}
}

// RecordFirstEvent records the time from the sending of a request to its first event or complete answer. load and
// tokensAhead, which include the tokens of the request itself, are as of its sending.
func (e *Estimator) RecordFirstEvent(now time.Time, p *Pool, load float64, tokensAhead int, d time.Duration) {
	if p.isOrdinary(e.Speed(now, p)) {
		p.addFirstEvent(now, load, tokensAhead, d)
	}
	e.overdue = 0
	if mean := p.firstEvents.measuredMeanAt(load); mean > 0 && load < queueingLoad {
		e.add(now, float64(d), mean+p.cost.perToken*float64(tokensAhead))
	}
}

// RecordGap records the time between two events of a stream at a load.
func (e *Estimator) RecordGap(now time.Time, p *Pool, load float64, d time.Duration) {
	if p.isOrdinary(e.Speed(now, p)) {
		p.gaps.add(now, load, d)
	}
	e.add(now, float64(d), p.gaps.measuredMeanAt(load))
}

// RecordOverdue records that a first event is missing after d. The next first event ends what this says about the target.
func (e *Estimator) RecordOverdue(now time.Time, p *Pool, load float64, tokensAhead int, d time.Duration) {
	expected := p.firstEvents.quantiles[binOf(load)] + p.cost.perToken*float64(tokensAhead)
	if load >= queueingLoad || expected <= 0 || float64(d) < minOverdue*expected {
		return
	}
	if speed := max(expected/float64(d), minSpeed); e.overdue == 0 || speed < e.overdue {
		e.overdue, e.overdueAt = speed, now
	}
}

// RecordEnd records whether a request failed because of the target.
func (e *Estimator) RecordEnd(now time.Time, failed bool) {
	f := math.Exp(-now.Sub(e.endedAt).Seconds() / failureMemory.Seconds())
	e.ends, e.failures, e.endedAt = e.ends*f+1, e.failures*f, now
	if failed {
		e.failures++
	}
}

// FailureRate returns the part of the target's requests that failed lately, from 0 to 1.
func (e *Estimator) FailureRate(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	f := math.Exp(-now.Sub(e.endedAt).Seconds() / failureMemory.Seconds())
	return e.failures * f / (e.ends*f + failurePrior)
}

// IsRecent reports whether e has samples of the speed that are at most a few seconds old.
func (e *Estimator) IsRecent(now time.Time) bool {
	return !e.at.IsZero() && now.Sub(e.at) < recentSample
}

// Speed returns the speed of the target as a multiple of the speed that the pool's curves stand for.
func (e *Estimator) Speed(now time.Time, p *Pool) float64 {
	speed := p.meanSpeed
	if e.observed > 0 {
		speed = forget(e.measured(p), p.meanSpeed, now.Sub(e.at))
	}
	if e.overdue > 0 {
		speed = min(speed, forget(e.overdue, p.meanSpeed, now.Sub(e.overdueAt)))
	}
	return min(max(speed, minSpeed), maxSpeed)
}

// measured returns the speed that the samples show.
func (e *Estimator) measured(p *Pool) float64 {
	return (e.expected + float64(speedPrior)) / (e.observed + float64(speedPrior)/p.meanSpeed)
}

// forget returns a speed on its way to the mean after a time without samples.
func forget(speed, mean float64, age time.Duration) float64 {
	if age <= 0 {
		return speed
	}
	return mean + (speed-mean)*math.Exp(-age.Seconds()/forgetting.Seconds())
}

// Slowness returns the mean speed of the pool divided by that of the target. It is 1 if they differ by no more than noise: it
// follows a slowdown by more than half within a second, and smaller differences that last within seconds.
func (e *Estimator) Slowness(now time.Time, p *Pool) float64 {
	if e.observed == 0 && e.overdue == 0 {
		return 1
	}
	if e.overdue > 0 || e.measured(p)*slowdown < p.meanSpeed {
		return max(p.meanSpeed/e.Speed(now, p), 1)
	}
	l := &e.lasting
	ratio := (l.observed*p.meanSpeed + float64(lastingPrior)) / (l.expected + float64(lastingPrior))
	switch {
	case ratio > 1+deadBand:
		return min(ratio-deadBand, slowdown)
	case ratio < 1-deadBand:
		return max(ratio+deadBand, 1/slowdown)
	}
	return 1
}

// Goals are what a request needs of a target.
type Goals struct {
	FirstEvent  time.Duration // time that is left until the first event
	Gap         time.Duration // between two events; zero for no stream
	TokensAhead int           // prompt tokens that the target has to read before, including those of the request
}

// Need returns the time until the first event that a target of a slowness would probably keep at a load, with prompt tokens ahead. It is
// zero without samples.
func (p *Pool) Need(tokensAhead int, slowness, load float64) time.Duration {
	late := p.firstEvents.quantiles[binOf(load)]
	if late == 0 {
		return 0
	}
	return time.Duration((late + p.cost.perToken*float64(tokensAhead)) * slowness / p.meanSpeed)
}

// Meets reports whether a target of a slowness would meet the goals at a load. A pool without samples meets all.
func (p *Pool) Meets(g Goals, slowness, load float64) bool {
	if need := p.Need(g.TokensAhead, slowness, load); need > 0 && need > g.FirstEvent {
		return false
	}
	return g.Gap == 0 || p.gaps.quantiles[binOf(load)]*slowness/p.meanSpeed <= float64(g.Gap)
}

// Limit returns the load up to which a target of a slowness meets the goals, from 0 to maxLoad.
func (p *Pool) Limit(g Goals, slowness, maxLoad float64) float64 {
	for i := range loadBins {
		load := loadBin * float64(i)
		if load >= maxLoad {
			break
		}
		if !p.Meets(g, slowness, load+loadBin/2) {
			return load
		}
	}
	return maxLoad
}
