package main

import "time"

const (
	length      = 120 * time.Second
	perInstance = 10.0 // requests a second of the limit for each instance
	burst       = time.Second
)

// scenario is how the demand of an account spreads over the instances in time.
type scenario struct {
	name   string
	demand float64 // of the limit
	shift  time.Duration
	cut    bool
}

var scenarios = []scenario{
	{name: "steady", demand: 0.9},
	{name: "steady overload", demand: 1.5},
	{name: "shifting every 10 s", demand: 0.9, shift: 10 * time.Second},
	{name: "cut off from 40 s to 80 s, shifting at 50 s", demand: 0.9, cut: true},
}

// The times of a cut, and of the shift of demand during it.
const (
	cutFrom  = 40 * time.Second
	cutTo    = 80 * time.Second
	cutShift = 50 * time.Second
)

// rates returns the requests a second that each of n instances is asked at the given time. The
// busiest instance is asked as much as the second and third together, and so on.
func (sc scenario) rates(at time.Duration, n int) []float64 {
	offset := 0
	if sc.shift > 0 {
		offset = int(at/sc.shift) * max(n/4, 1)
	}
	if sc.cut && at >= cutShift {
		offset = n / 2
	}
	rates := make([]float64, n)
	total := 0.0
	for i := range rates {
		rates[(i+offset)%n] = 1 / float64(i+1)
		total += 1 / float64(i+1)
	}
	for i := range rates {
		rates[i] *= sc.demand * perInstance * float64(n) / total
	}
	return rates
}

// apart reports whether a and b of n instances are cut off from each other: the first quarter is from the rest.
func (sc scenario) apart(at time.Duration, a, b, n int) bool {
	return sc.cut && at >= cutFrom && at < cutTo && (a < n/4) != (b < n/4)
}
