package main

import "time"

const (
	runLength = 120 * time.Second
	burstTime = time.Second
)

// Limits of a large and a small account, in requests per second and instance.
const (
	largeLimit = 10.0
	smallLimit = 1.0
)

// oneAccount and tenAccounts are the account limits of the scenarios.
var (
	oneAccount  = []float64{largeLimit}
	tenAccounts = []float64{largeLimit, largeLimit, largeLimit, smallLimit, smallLimit, smallLimit, smallLimit, smallLimit, smallLimit, smallLimit}
)

// scenario describes how the demand of each account spreads over the instances, and how the
// spread changes over time.
type scenario struct {
	name          string
	limits        []float64 // by account: requests per second and instance
	demandRatio   float64   // demand relative to the limit
	shiftInterval time.Duration
	partitioned   bool
}

var scenarios = []scenario{
	{name: "steady", limits: oneAccount, demandRatio: 0.9},
	{name: "shifting every 10 s", limits: oneAccount, demandRatio: 0.9, shiftInterval: 10 * time.Second},
	{name: "overload, shifting every 10 s", limits: oneAccount, demandRatio: 1.5, shiftInterval: 10 * time.Second},
	{name: "cut off, shifting", limits: oneAccount, demandRatio: 0.9, partitioned: true},
	{name: "cut off, overload, shifting", limits: oneAccount, demandRatio: 1.5, partitioned: true},
	{name: "ten accounts, shifting every 10 s", limits: tenAccounts, demandRatio: 0.9, shiftInterval: 10 * time.Second},
}

// Start and end of a partition, and the time at which most of the demand shifts to the
// first quarter of the instances, which the partition separates from the rest.
const (
	partitionStart = 40 * time.Second
	partitionEnd   = 80 * time.Second
	partitionShift = 50 * time.Second
)

// rates returns the requests per second of an account that each of n instances receives at the given
// time. The busiest instance receives twice as many as the second, three times as many as the
// third, and so on.
func (sc scenario) rates(account int, at time.Duration, n int) []float64 {
	offset := account
	if sc.shiftInterval > 0 {
		offset += int(at/sc.shiftInterval) * max(n/4, 1)
	}
	if sc.partitioned && at < partitionShift {
		offset += n / 2
	}
	rates := make([]float64, n)
	total := 0.0
	for i := range rates {
		rates[(i+offset)%n] = 1 / float64(i+1)
		total += 1 / float64(i+1)
	}
	for i := range rates {
		rates[i] *= sc.demandRatio * sc.limits[account] * float64(n) / total
	}
	return rates
}

// arePartitioned reports whether a partition separates instances a and b of n. A partition
// separates the first quarter of the instances from the rest.
func (sc scenario) arePartitioned(at time.Duration, a, b, n int) bool {
	return sc.partitioned && at >= partitionStart && at < partitionEnd && (a < n/4) != (b < n/4)
}
