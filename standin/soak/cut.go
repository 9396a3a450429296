package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"amaranthmill/standin/relayer"
)

// Times of the cuts between instances and all engines, and the users' bound on the requests that are sent meanwhile.
const (
	maxCutGap       = 3 * time.Second // between the beginnings of two cuts
	minCutTime      = 4 * time.Second
	maxCutTime      = 8 * time.Second
	cutSettleTime   = 3 * time.Second // from the beginning of a cut until its instance must serve
	cutReturnTime   = time.Second     // from the end of a cut until the instance must serve for others
	allowedFailures = 10              // requests that may fail at instances that are cut off, and one in failureRatio of all
	failureRatio    = 50
)

// AddEndpointCuts returns steps, all of them calmTime later, with instances that lose their paths to all engines for a time, from the
// start to the end of the given length of time. The result is ordered by time.
func AddEndpointCuts(steps []Step, r *rand.Rand, length time.Duration) []Step {
	return addSteps(delaySteps(steps, calmTime), r, maxCutGap, calmTime+length, func(r *rand.Rand) Fault {
		return CutEndpoints{Instance: randomNumber(r), Reset: r.IntN(2) == 0, For: minCutTime + randomDuration(r, maxCutTime-minCutTime)}
	})
}

// sourceOf returns the address of loopback from which an instance connects.
func sourceOf(instance int) netip.Addr {
	const firstSource, sourcesPerNet = 11, 200
	return netip.AddrFrom4([4]byte{127, 0, byte(instance / sourcesPerNet), byte(firstSource + instance%sourcesPerNet)})
}

// cutEndpoints cuts the paths between an instance and all engines, also those that are started meanwhile. An instance that is cut
// off already stays so for the time of the first cut.
func (s *soak) cutEndpoints(f CutEndpoints) {
	i := s.instance(f.Instance)
	source := sourceOf(i.number)
	cut := func(l *relayer.Link) { l.CutFrom(source) }
	if f.Reset {
		cut = func(l *relayer.Link) { l.RejectFrom(source) }
	}
	if !s.beginCut(i.number, cut) {
		return
	}
	end := s.record.startCut(i.number)
	s.runInBackground(func() {
		s.sleep(f.For)
		end()
		s.endCut(i.number, source)
	})
}

// beginCut applies a cut to all links to engines. It returns false if the instance is cut off already.
func (s *soak) beginCut(instance int, cut func(*relayer.Link)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cuts[instance] != nil {
		return false
	}
	s.cuts[instance] = cut
	for _, l := range s.links {
		cut(l)
	}
	return true
}

func (s *soak) endCut(instance int, source netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cuts, instance)
	for _, l := range s.links {
		l.RestoreFrom(source)
	}
}

// startCut records that an instance is cut off from all engines until the returned function is called. That disturbs no guarantee.
func (r *record) startCut(instance int) (end func()) {
	c := &disruption{instance: instance, start: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(r.cuts, c)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		c.end = time.Now()
	}
}

// isCutOff reports whether an instance is cut off from all engines at a time. The caller holds the lock.
func (r *record) isCutOff(instance int, at time.Time) bool { return r.cutFor(instance, at) > 0 }

// cutFor returns for how long an instance has been cut off from all engines at a time. The caller holds the lock.
func (r *record) cutFor(instance int, at time.Time) time.Duration {
	for _, c := range r.cuts {
		if c.instance == instance && at.After(c.start) && (c.end.IsZero() || at.Before(c.end)) {
			return at.Sub(c.start)
		}
	}
	return 0
}

// checkServiceOfCutInstances describes the violation of the bound on the requests that instances serve while they are cut off from all
// engines, or returns "". Requests count if no other fault disturbed the instance, and another instance that is disturbed by
// nothing reaches the engines.
func (r *record) checkServiceOfCutInstances(instances int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent, served := [2]int{}, [2]int{} // at the instances that are cut off, and at the others meanwhile
	for _, q := range r.requests {
		side, isCounted := r.sideOf(q, instances)
		if !isCounted {
			continue
		}
		sent[side]++
		if q.isServed() {
			served[side]++
		}
	}
	failed := sent[0] - served[0]
	isLess := sent[1] > 0 && 3*served[0]*sent[1] < 2*served[1]*sent[0]
	if failed <= allowedFailures+(sent[0]+sent[1])/failureRatio || !isLess {
		return ""
	}
	return fmt.Sprintf("instances that were cut off from all engines served %d of %d requests, the others %d of %d", served[0], sent[0], served[1], sent[1])
}

// sideOf returns whether q was sent to an instance that is cut off (0) or meanwhile to another one (1), or false if it does not count.
// The caller holds the lock.
func (r *record) sideOf(q sentRequest, instances int) (side int, isCounted bool) {
	if q.withSecondKey || !r.isUndisrupted(q.sentAt.Add(-stableTime), q.endedAt, q.instance, allInstances) {
		return 0, false
	}
	if r.cutFor(q.instance, q.sentAt) == 0 {
		return 1, r.isAnyCutSettled(q.sentAt, instances)
	}
	isSettled := r.cutFor(q.instance, q.sentAt) >= cutSettleTime && r.isCutOff(q.instance, q.endedAt)
	return 0, isSettled && r.hasOtherInstance(q, instances)
}

// wasCutOff reports whether an instance was cut off from all engines between two times. The caller holds the lock.
func (r *record) wasCutOff(instance int, from, to time.Time) bool {
	return slices.ContainsFunc(r.cuts, func(c *disruption) bool {
		return c.instance == instance && c.start.Before(to) && (c.end.IsZero() || c.end.After(from))
	})
}

// hasOtherInstance reports whether an instance other than that of q reaches the engines from cutReturnTime before its sending to its end,
// disturbed by nothing. The caller holds the lock.
func (r *record) hasOtherInstance(q sentRequest, instances int) bool {
	for n := range instances {
		if n != q.instance && !r.wasCutOff(n, q.sentAt.Add(-cutReturnTime), q.endedAt) && r.isUndisrupted(q.sentAt.Add(-stableTime), q.endedAt, n, allInstances) {
			return true
		}
	}
	return false
}

// isAnyCutSettled reports whether some instance has been cut off for cutSettleTime. The caller holds the lock.
func (r *record) isAnyCutSettled(at time.Time, instances int) bool {
	for n := range instances {
		if r.cutFor(n, at) >= cutSettleTime {
			return true
		}
	}
	return false
}
