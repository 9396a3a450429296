package estimator

import (
	"math"
	"time"
)

// Dimensions of a curve.
const (
	loadBins    = 13  // of a curve; the last one holds all higher loads
	loadBin     = 0.1 // width of a load bin, as a fraction of the slots
	timeBuckets = 76
	firstBucket = float64(time.Millisecond) // upper bound of the first time bucket
	bucketRatio = 1.12                      // of the bounds of two neighbouring time buckets; 76 buckets reach 5.5 s
)

// Times and weights of a curve.
const (
	curveMemory   = 60 * time.Second       // time constant with which samples lose their weight
	minBinWeight  = 6                      // samples below which a bin takes its value from lower loads
	refreshPause  = 100 * time.Millisecond // between two evaluations of new samples, because gaps come by the hundred in a second
	maxBinWeight  = 2000                   // samples that a bin remembers at most
	logBucketSize = 0.11332868530700317    // natural logarithm of bucketRatio
)

// curve holds the distribution of a time by the load at which it was measured. Its mean and quantile don't fall as
// the load grows.
type curve struct {
	quantile float64 // that valueAt returns
	bins     [loadBins]bin

	isStale     bool // samples were added since the last evaluation
	evaluatedAt time.Time
	means       [loadBins]float64 // nanoseconds; zero if nothing is known at this load or a lower one
	quantiles   [loadBins]float64
	isKnown     bool // a bin has enough samples
}

// bin holds the decaying samples at one load.
type bin struct {
	at      time.Time
	weight  float64
	sum     float64 // nanoseconds
	buckets [timeBuckets]float64
}

// binOf returns the index of the bin of a load.
func binOf(load float64) int { return min(max(int(load/loadBin+1e-9), 0), loadBins-1) }

// add adds a sample that was measured at a load.
func (c *curve) add(now time.Time, load float64, d time.Duration) {
	b := &c.bins[binOf(load)]
	b.decay(now)
	v := max(float64(d), 0)
	b.weight++
	b.sum += v
	b.buckets[bucketOf(v)]++
	c.isStale = true
}

// decay reduces the weight of the samples of b. It does so in steps, because samples of gaps come close together.
func (b *bin) decay(now time.Time) {
	factor := 1.0
	if age := now.Sub(b.at); age > curveMemory/50 {
		factor, b.at = math.Exp(-age.Seconds()/curveMemory.Seconds()), now
	}
	if b.weight*factor > maxBinWeight {
		factor *= 0.5
	}
	if factor == 1 {
		return
	}
	b.weight *= factor
	b.sum *= factor
	for i := range b.buckets {
		b.buckets[i] *= factor
	}
}

func bucketOf(v float64) int {
	if v <= firstBucket {
		return 0
	}
	return min(1+int(math.Log(v/firstBucket)/logBucketSize), timeBuckets-1)
}

// quantileOf returns the quantile q of the samples of b, interpolated within a bucket.
func (b *bin) quantileOf(q float64) float64 {
	left := q * b.weight
	upper := firstBucket
	lower := 0.0
	for _, n := range b.buckets {
		if n > 0 && left <= n {
			return lower + (upper-lower)*left/n
		}
		left -= n
		lower, upper = upper, upper*bucketRatio
	}
	return lower
}

// refresh evaluates new samples unless that was done within refreshPause.
func (c *curve) refresh(now time.Time) {
	if !c.isStale || c.isKnown && now.Sub(c.evaluatedAt) < refreshPause {
		return
	}
	c.isStale, c.evaluatedAt = false, now
	var weights, means, quantiles [loadBins]float64
	c.isKnown = false
	for i := range c.bins {
		b := &c.bins[i]
		b.decay(now)
		if b.weight < minBinWeight {
			continue
		}
		c.isKnown = true
		weights[i], means[i], quantiles[i] = b.weight, b.sum/b.weight, b.quantileOf(c.quantile)
	}
	c.means, c.quantiles = rising(means, weights), rising(quantiles, weights)
}

// rising returns the rising step function that is closest to the values with a weight (pool adjacent violators).
// Without a weight a bin takes the value of the next lower one, or zero.
func rising(values, weights [loadBins]float64) [loadBins]float64 {
	type block struct {
		value, weight float64
		first         int
	}
	var blocks [loadBins]block
	n := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		blocks[n] = block{value: values[i], weight: w, first: i}
		n++
		for n > 1 && blocks[n-2].value > blocks[n-1].value {
			a, b := &blocks[n-2], blocks[n-1]
			a.value = (a.value*a.weight + b.value*b.weight) / (a.weight + b.weight)
			a.weight += b.weight
			n--
		}
	}
	var out [loadBins]float64
	for k := range n {
		for i := blocks[k].first; i < loadBins; i++ {
			out[i] = blocks[k].value
		}
	}
	return out
}

// measuredMeanAt returns the mean at a load, or zero without enough samples at that load.
func (c *curve) measuredMeanAt(load float64) float64 {
	if i := binOf(load); c.bins[i].weight >= minBinWeight {
		return c.means[i]
	}
	return 0
}

// meanAt returns the mean at a load; at loads below all samples it returns that of the lowest load with samples.
func (c *curve) meanAt(load float64) float64 {
	for i := binOf(load); i < loadBins; i++ {
		if c.means[i] > 0 {
			return c.means[i]
		}
	}
	return 0
}
