package main

import "time"

const (
	length = 120 * time.Second
	burst  = time.Second
)

// The limits of a large and of a small account, in requests a second for each instance.
const (
	large = 10.0
	small = 1.0
)

// oneAccount and tenAccounts are the limits of the accounts of a scenario.
var (
	oneAccount  = []float64{large}
	tenAccounts = []float64{large, large, large, small, small, small, small, small, small, small}
)

// scenario is how the demand of an account spreads over the instances in time.
type scenario struct {
	name   string
	limits []float64 // of each account, for each instance
	demand float64   // of the limit
	shift  time.Duration
	cut    bool
}

var scenarios = []scenario{
	{name: "steady", limits: oneAccount, demand: 0.9},
	{name: "shifting every 10 s", limits: oneAccount, demand: 0.9, shift: 10 * time.Second},
	{name: "overload, shifting every 10 s", limits: oneAccount, demand: 1.5, shift: 10 * time.Second},
	{name: "cut off, shifting", limits: oneAccount, demand: 0.9, cut: true},
	{name: "cut off, overload, shifting", limits: oneAccount, demand: 1.5, cut: true},
	{name: "ten accounts, shifting every 10 s", limits: tenAccounts, demand: 0.9, shift: 10 * time.Second},
}

// The times of a cut, and of the shift of most of the demand into the part that is cut off.
const (
	cutFrom  = 40 * time.Second
	cutTo    = 80 * time.Second
	cutShift = 50 * time.Second
)

// rates returns the requests a second that each of n instances is asked of an account at
// the given time. The busiest is asked twice as much as the second, three times as much as the third, and so on.
func (sc scenario) rates(account int, at time.Duration, n int) []float64 {
	offset := account
	if sc.shift > 0 {
		offset += int(at/sc.shift) * max(n/4, 1)
	}
	if sc.cut && at < cutShift {
		offset += n / 2
	}
	rates := make([]float64, n)
	total := 0.0
	for i := range rates {
		rates[(i+offset)%n] = 1 / float64(i+1)
		total += 1 / float64(i+1)
	}
	for i := range rates {
		rates[i] *= sc.demand * sc.limits[account] * float64(n) / total
	}
	return rates
}

// apart reports whether a and b of n instances are cut off from each other: the first quarter is from the rest.
func (sc scenario) apart(at time.Duration, a, b, n int) bool {
	return sc.cut && at >= cutFrom && at < cutTo && (a < n/4) != (b < n/4)
}
