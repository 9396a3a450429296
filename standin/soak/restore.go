package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Times of restores of the store, and the operators' bounds afterwards.
const (
	maxRestoreGap     = 2500 * time.Millisecond // between two restores
	maxCopyAge        = 6 * time.Second
	maxAwayTime       = time.Second
	rewriteTime       = 1500 * time.Millisecond // for the operator and the engines to write again what they had written
	restoreSettleTime = 4 * time.Second         // after the last fault
	restoreRequests   = 12                      // at each instance, after an endpoint has drained
)

// AddRestores returns steps with restores of the store from older copies. The result is ordered by time.
func AddRestores(steps []Step, r *rand.Rand, length time.Duration) []Step {
	return addSteps(steps, r, maxRestoreGap, length, func(r *rand.Rand) Fault {
		return RestoreStore{Age: randomDuration(r, maxCopyAge), Away: randomDuration(r, maxAwayTime)}
	})
}

// restoreStore takes the store away for a time, after which it is back from an older copy.
func (s *soak) restoreStore(f RestoreStore) {
	s.applyFor(allInstances, f.Away, func() {
		s.setStoreAway(true)
		s.platform.Store.SetDown(true)
	}, func() {
		s.platform.Store.Restore(f.Age, rewriteTime)
		s.platform.Store.SetDown(false)
		s.setStoreAway(false)
	})
}

// setStoreAway tells the operator of drills, if there is one, whether the store is away.
func (s *soak) setStoreAway(away bool) {
	switch {
	case s.operator == nil:
	case away:
		s.operator.away.Add(1)
	default:
		s.operator.away.Add(-1)
	}
}

// checkAfterRestores adds a route and drains an endpoint while no fault is injected. It records each instance that does not
// know the route, or sends a request to the endpoint, later than the bounds allow.
func (s *soak) checkAfterRestores() {
	s.sleep(restoreSettleTime)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	s.addEngine("")
	leaving := s.livePlainEndpoint(0)
	s.moreRoutes++
	s.platform.SetMoreRoutes(s.moreRoutes)
	s.configure()
	leaving.Drain()
	s.sleep(configurationDelay)
	boundFrom := time.Now()
	for n := range s.instances {
		for i := range restoreRequests {
			id := fmt.Sprintf("restored-%d-%d", n, i)
			if status, err := s.requestRouteAs(client, id, n, s.moreRoutes-1); err != nil || status == http.StatusNotFound {
				s.record.addViolation("instance %d does not know a route %s after its version was written: status=%d %v", n, configurationDelay, status, err)
			}
		}
	}
	for id, at := range leaving.LastRuns() {
		if at.After(boundFrom) {
			s.record.addViolation("request %s reached endpoint %s later than %s after it had reported that it drains", id, leaving.ID, configurationDelay)
		}
	}
}
