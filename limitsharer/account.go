package limitsharer

import (
	"math"
	"time"

	"amaranthmill/internal/identifier"
)

// account holds the limit of one client account, the demand that each instance announced for it,
// and the requests that arrived at this instance.
type account struct {
	name  identifier.ClientAccount
	limit float64 // requests per second over all instances

	announced                map[identifier.Instance]float64 // requests per second; no entry means no announcement yet
	arrivedSinceAnnouncement float64                         // requests at this instance since its last announcement
	announcedAt              time.Time
	arrivedSinceTick         float64 // requests at this instance since the last tick
	predictedRate            float64 // requests per second
	lastRate                 float64 // as last passed to the limiter
}

// predict updates the predicted demand with the requests that arrived since the last tick, which
// was elapsed ago. The prediction is an exponential average with the time constant smoothing.
func (a *account) predict(elapsed, smoothing time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	a.predictedRate += weight * (a.arrivedSinceTick/elapsed.Seconds() - a.predictedRate)
	a.arrivedSinceTick = 0
}

// diverges reports whether the requests that arrived since the last announcement of self differ by
// more than bound from those that the announcement predicts.
func (a *account) diverges(now time.Time, self identifier.Instance, bound float64) bool {
	expected := a.announced[self] * now.Sub(a.announcedAt).Seconds()
	return math.Abs(a.arrivedSinceAnnouncement-expected) > bound
}

// announce makes the predicted demand the announced demand of self, and returns it.
func (a *account) announce(now time.Time, self identifier.Instance) Demand {
	a.announced[self] = a.predictedRate
	a.arrivedSinceAnnouncement = 0
	a.announcedAt = now
	return Demand{Account: a.name, RequestsPerSecond: a.predictedRate}
}

// share returns the fraction of the limit that self may admit. The limit is divided among members
// in proportion to their announced demand plus a floor: equalShare of the limit, divided equally.
func (a *account) share(self identifier.Instance, members []identifier.Instance, equalShare float64) float64 {
	floor := equalShare * a.limit / float64(len(members))
	total := 0.0
	for _, m := range members {
		total += a.announced[m] + floor
	}
	return (a.announced[self] + floor) / total
}
