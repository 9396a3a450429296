package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthmill/standin/hosted"
)

// Times of the limits of engines, and the operators' bounds on the requests that follow them.
const (
	maxLimitGap      = 2 * time.Second // between the beginnings of two limits
	minLimitTime     = 8 * time.Second
	maxLimitRate     = 6.0 // requests per second
	limitStableTime  = 3 * time.Second
	limitToldTime    = 500 * time.Millisecond // after an instance has passed on an answer that names the limit
	limitWindow      = 4 * time.Second
	limitWindowSlack = 5 // requests beyond one and a half times the limit
)

// AddLimits returns steps with engines that name limits for a time. The result is ordered by time.
func AddLimits(steps []Step, r *rand.Rand, length time.Duration) []Step {
	return addSteps(steps, r, maxLimitGap, length, func(r *rand.Rand) Fault {
		return LimitEngine{Engine: randomNumber(r), PerSecond: maxLimitRate * r.Float64(), For: minLimitTime + randomDuration(r, minLimitTime)}
	})
}

// limitEngine makes an engine name a limit for a time.
func (s *soak) limitEngine(f LimitEngine) {
	e := s.liveEngine(f.Engine)
	e.Limit(f.PerSecond)
	s.runInBackground(func() {
		s.sleep(f.For)
		e.Limit(0)
	})
}

// findRequestsBeyondLimits describes the engines that got more requests than the limits that they named
// allow, from instances that had passed on such an answer and were not disturbed since.
func (r *record) findRequestsBeyondLimits(engines []*hosted.Engine) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.requestsByID()
	var out []string
	for _, e := range engines {
		counted := r.countedArrivals(e, sent)
		first := 0
		for last, a := range counted {
			for a.At.Sub(counted[first].At) >= limitWindow || !a.Since.Equal(counted[first].Since) {
				first++
			}
			allowed := 1.5*a.PerSecond*limitWindow.Seconds() + limitWindowSlack
			if n := last - first + 1; float64(n) > allowed {
				out = append(out, fmt.Sprintf("engine %s, which had named a limit of %.2f, got %d requests in %s, allowed %.0f", e.ID, a.PerSecond, n, limitWindow, allowed))
				break
			}
		}
	}
	return out
}

// countedArrivals returns the requests to an engine that names a limit which the bound counts. The caller
// holds the lock.
func (r *record) countedArrivals(e *hosted.Engine, sent map[string]sentRequest) []hosted.LimitedArrival {
	toldAt := firstTold(sent, e.ID, func(s sentRequest) (bool, time.Time) { return s.limited, s.headerAt })
	var out []hosted.LimitedArrival
	for _, a := range e.LimitedArrivals() {
		s, ok := sent[a.Request]
		at, told := toldAt[s.instance]
		isCounted := ok && told && a.At.Sub(at) >= limitToldTime && a.At.Sub(a.Since) >= limitStableTime
		if isCounted && !r.isInterrupted(s.instance, at, a.At) {
			out = append(out, a)
		}
	}
	return out
}
