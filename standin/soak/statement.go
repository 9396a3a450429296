package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthmill/standin/hosted"
)

// Times of the statements of engines, and the operators' bounds on the requests that follow them.
const (
	maxStatementGap    = 900 * time.Millisecond // between two statements
	maxClosure         = 3 * time.Second
	leavingDelay       = 2 * time.Second        // after an instance has passed on an answer that says that its engine leaves
	closureDelay       = 500 * time.Millisecond // after an engine has turned a request of an instance away
	maxClosureArrivals = 2                      // requests from one instance between closureDelay and the end of a closure
)

// AddStatements returns steps with engines that leave or want no requests for a time, from the
// start to the end of the given length of time. The result is ordered by time.
func AddStatements(steps []Step, r *rand.Rand, length time.Duration) []Step {
	return addSteps(steps, r, maxStatementGap, length, randomStatement)
}

func randomStatement(r *rand.Rand) Fault {
	if r.IntN(3) == 0 {
		return LeaveEngine{Engine: randomNumber(r), Listed: r.IntN(2) == 0}
	}
	return CloseEngine{Engine: randomNumber(r), For: randomDuration(r, maxClosure)}
}

// leaveEngine starts an engine without weights and makes another one say that it leaves, which is
// killed after drainTime.
func (s *soak) leaveEngine(f LeaveEngine) {
	e := s.liveEngine(f.Engine)
	s.addEngine(e.Domain)
	s.applyFor(allEngines, leaveTime, func() { e.Leave(f.Listed) }, e.Kill)
}

// leaveTime is the time from the statement that an engine leaves until it is killed.
const leaveTime = leavingDelay + 2*time.Second

// isInterrupted reports whether the instance was restarted or frozen, or its links were disturbed,
// between two times. The caller holds the lock.
func (r *record) isInterrupted(instance int, from, to time.Time) bool {
	return !r.isUndisrupted(from, to, instance)
}

// findUnwantedRequests describes the requests that reached an engine although it had said that it
// leaves, or wanted none from the instance that sent them.
func (r *record) findUnwantedRequests(engines []*hosted.Engine) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.requestsByID()
	var out []string
	for _, e := range engines {
		arrivals := e.Arrivals()
		out = append(out, r.findRequestsToLeaving(e.ID, arrivals, sent)...)
		out = append(out, r.findRequestsToClosed(e.ID, arrivals, sent)...)
	}
	return out
}

// firstTold returns when each instance first had an answer of an engine that says something, by instance.
func firstTold(sent map[string]sentRequest, engine string, says func(sentRequest) (bool, time.Time)) map[int]time.Time {
	out := map[int]time.Time{}
	for _, s := range sent {
		said, at := says(s)
		if first, ok := out[s.instance]; said && s.engine == engine && (!ok || at.Before(first)) {
			out[s.instance] = at
		}
	}
	return out
}

// findRequestsToLeaving describes the requests that were sent later than leavingDelay after their
// instance had passed on an answer which said that the engine leaves. The caller holds the lock.
func (r *record) findRequestsToLeaving(engine string, arrivals []hosted.Arrival, sent map[string]sentRequest) []string {
	toldAt := firstTold(sent, engine, func(s sentRequest) (bool, time.Time) { return s.leaving, s.endedAt })
	var out []string
	for _, a := range arrivals {
		s, ok := sent[a.Request]
		at, told := toldAt[s.instance]
		if !ok || !told || !s.sentAt.After(at.Add(leavingDelay)) || r.isInterrupted(s.instance, at, a.At) {
			continue
		}
		out = append(out, fmt.Sprintf("request %s at instance %d reached engine %s %s after the instance had passed on that it leaves", s.id, s.instance, engine, a.At.Sub(at)))
	}
	return out
}

// findRequestsToClosed describes each closure in which more than maxClosureArrivals requests of one
// instance reached the engine. The caller holds the lock.
func (r *record) findRequestsToClosed(engine string, arrivals []hosted.Arrival, sent map[string]sentRequest) []string {
	var out []string
	for i, refusal := range arrivals {
		s, ok := sent[refusal.Request]
		if !ok || refusal.Closed.IsZero() || r.isInterrupted(s.instance, refusal.At, refusal.Closed) {
			continue
		}
		count := 0
		for _, a := range arrivals[i+1:] {
			if sent[a.Request].instance == s.instance && a.At.After(refusal.At.Add(closureDelay)) && a.At.Before(refusal.Closed) {
				count++
			}
		}
		if count > maxClosureArrivals {
			out = append(out, fmt.Sprintf("%d requests of instance %d reached engine %s before %s, until which it wanted none since %s",
				count, s.instance, engine, refusal.Closed.Format("05.000"), refusal.At.Format("05.000")))
		}
	}
	return out
}
