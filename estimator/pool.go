package estimator

import (
	"math"
	"time"
)

// Quantiles of the curves. A target counts as past its limit where more than a fifth of its requests would miss their
// goals: at the tenth, chance alone decides with the few samples of one instance.
const (
	firstEventQuantile = 0.8
	gapQuantile        = 0.98 // the longest gap of a stream of some 50 events
)

// Bounds of the cost of a prompt token.
const (
	costMemory     = 60 * time.Second // time constant with which its samples lose their weight
	minCostWeight  = 20               // samples from which it is known
	minCostSpread  = 100.0            // standard deviation of the prompt tokens ahead from which it is known
	maxTokenCost   = float64(time.Millisecond)
	maxPrefillPart = 0.8 // of a time to the first event
)

// maxSpeedSpread is the ratio to the pool's mean speed up to which a target counts as ordinary, so that its samples
// count for the pool.
const maxSpeedSpread = 1.67

// Pool holds what the targets of a pool have in common. The zero value is not usable; use NewPool.
type Pool struct {
	firstEvents curve
	gaps        curve
	cost        regression
	meanSpeed   float64 // of the targets with recent samples
}

// NewPool returns a Pool without samples. It predicts nothing, so that every target handles any load.
func NewPool() *Pool {
	return &Pool{firstEvents: curve{quantile: firstEventQuantile}, gaps: curve{quantile: gapQuantile}, meanSpeed: 1}
}

// meanPrior is the number of targets of speed 1 that are added to those with recent samples for the mean speed, so that a
// single slow target does not make the others look fast.
const meanPrior = 2

// Refresh evaluates the samples that were added since the last call. speeds is the sum of the speeds of the n targets
// that have recent samples.
func (p *Pool) Refresh(now time.Time, speeds float64, n int) {
	p.firstEvents.refresh(now)
	p.gaps.refresh(now)
	p.meanSpeed = (speeds + meanPrior) / float64(n+meanPrior)
}

// HasSamples reports whether p predicts times to the first event.
func (p *Pool) HasSamples() bool { return p.firstEvents.isKnown }

// MeanFirstEvent returns the mean time to the first event at a load and with prompt tokens ahead, including those of the
// request itself, at a target of ordinary speed. It returns zero if it is not known.
func (p *Pool) MeanFirstEvent(load float64, tokensAhead int) time.Duration {
	mean := p.firstEvents.meanAt(load)
	if mean == 0 {
		return 0
	}
	return time.Duration(mean + p.cost.perToken*float64(tokensAhead))
}

// isOrdinary reports whether samples of a target of this speed count for p.
func (p *Pool) isOrdinary(speed float64) bool {
	return speed*maxSpeedSpread >= p.meanSpeed && speed <= p.meanSpeed*maxSpeedSpread
}

// addFirstEvent adds a time to the first event.
func (p *Pool) addFirstEvent(now time.Time, load float64, tokensAhead int, d time.Duration) {
	p.cost.add(now, float64(tokensAhead), float64(d))
	prefill := min(p.cost.perToken*float64(tokensAhead), maxPrefillPart*float64(d))
	p.firstEvents.add(now, load, d-time.Duration(prefill))
}

// regression estimates the time that a prompt token costs from decaying samples of times and tokens.
type regression struct {
	at              time.Time
	w, x, y, xx, xy float64
	perToken        float64 // nanoseconds; zero if it is not known
}

func (r *regression) add(now time.Time, x, y float64) {
	f := math.Exp(-now.Sub(r.at).Seconds() / costMemory.Seconds())
	r.at = now
	r.w, r.x, r.y, r.xx, r.xy = r.w*f+1, r.x*f+x, r.y*f+y, r.xx*f+x*x, r.xy*f+x*y
	meanX := r.x / r.w
	variance := r.xx/r.w - meanX*meanX
	if r.w < minCostWeight || variance < minCostSpread*minCostSpread {
		return
	}
	r.perToken = min(max((r.xy/r.w-meanX*r.y/r.w)/variance, 0), maxTokenCost)
}
