package limitsharer

import (
	"math"
	"time"

	"amaranthmill/internal/identifier"
)

// account is one client account's demand as announced by each instance, and as it arrives here.
type account struct {
	name  identifier.ClientAccount
	limit float64 // requests a second over all instances

	announced   map[identifier.Instance]float64 // requests a second; absent means none yet
	arrived     float64                         // requests here since the own announcement
	announcedAt time.Time
	recent      float64 // requests here since the last tick
	predicted   float64 // requests a second
	rate        float64 // as last given to the limiter
}

// predict takes the arrivals since the last tick, elapsed ago, into the predicted demand.
func (a *account) predict(elapsed, smoothing time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	a.predicted += weight * (a.recent/elapsed.Seconds() - a.predicted)
	a.recent = 0
}

// diverges reports whether the requests that arrived since the own announcement differ
// from the announced ones by more than bound.
func (a *account) diverges(now time.Time, self identifier.Instance, bound float64) bool {
	expected := a.announced[self] * now.Sub(a.announcedAt).Seconds()
	return math.Abs(a.arrived-expected) > bound
}

// announce takes the predicted demand for the announced one.
func (a *account) announce(now time.Time, self identifier.Instance) Demand {
	a.announced[self] = a.predicted
	a.arrived = 0
	a.announcedAt = now
	return Demand{Account: a.name, RequestsPerSecond: a.predicted}
}

// share returns the part of the limit that self may admit among members: in proportion
// to the announced demand, with equalPart of the limit divided equally.
func (a *account) share(self identifier.Instance, members []identifier.Instance, equalPart float64) float64 {
	floor := equalPart * a.limit / float64(len(members))
	total := 0.0
	for _, m := range members {
		total += a.announced[m] + floor
	}
	return (a.announced[self] + floor) / total
}
