package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthmill/standin/hosted"
)

// Times of cold engines, and the operators' bound on the requests that they get in one second.
const (
	maxColdGap    = 1500 * time.Millisecond // between two engines that become cold without a start
	coldTime      = 3 * time.Second
	coldPerSecond = 4
	coldExcess    = 1.5
	coldSlack     = 3
	coldKnownTime = time.Second // after an engine has become cold without a start, from which all undisturbed instances know it
)

// coldEngines describes the engines of a run with cold ones.
var coldEngines = hosted.Cold{Time: coldTime, PerSecond: coldPerSecond, Excess: coldExcess, Slack: coldSlack}

// AddCold returns steps with engines that become cold without a start. The result is ordered by time.
func AddCold(steps []Step, r *rand.Rand, length time.Duration) []Step {
	return addSteps(steps, r, maxColdGap, length, func(r *rand.Rand) Fault {
		return ChillEngine{Engine: randomNumber(r), For: coldTime/2 + randomDuration(r, coldTime)}
	})
}

// findRequestsBeyondCold describes the engines that got more requests in one second than a cold one takes, of those that were sent and
// arrived inside that second. If an engine became cold without a start, the requests of instances that were disturbed since, and may not
// know it, do not count.
func (r *record) findRequestsBeyondCold(engines []*hosted.Engine, allowed float64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := r.requestsByID()
	var out []string
	for _, e := range engines {
		var counted []coldRequest
		for _, a := range e.ColdArrivals() {
			q, ok := requests[a.Request]
			isKnown := a.Started || a.At.Sub(a.Since) >= coldKnownTime && r.isUndisrupted(a.Since.Add(-stableTime), a.At, q.instance, allInstances)
			if ok && isKnown {
				counted = append(counted, coldRequest{sentAt: q.sentAt.Add(deadline - a.Left), at: a.At})
			}
		}
		if n := mostInSecond(counted); float64(n) > allowed {
			out = append(out, fmt.Sprintf("engine %s got %d requests in a second while it was cold, allowed %.1f", e.ID, n, allowed))
		}
	}
	return out
}

// coldRequest is a request to a cold engine. It was sent at sentAt or later: the time that it took from the caller to the instance
// is not known.
type coldRequest struct{ sentAt, at time.Time }

// mostInSecond returns the largest number of requests that were sent and arrived in one second.
func mostInSecond(requests []coldRequest) int {
	most := 0
	for _, first := range requests {
		n := 0
		for _, q := range requests {
			if !q.sentAt.Before(first.sentAt) && q.at.Sub(first.sentAt) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
