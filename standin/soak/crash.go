package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthmill/standin/hosted"
)

// Times of the crashing request.
const (
	maxCrashPause   = 400 * time.Millisecond // between two copies
	crashesAfterEnd = 8 * time.Second        // for which copies are sent after the last fault, so that instances without a disruption get some
)

// crashBody is the body of all copies of the crashing request.
const crashBody = "this request crashes engines"

// startCrashing makes the crashing request crash each engine that runs it, and sends copies of
// it to random instances until the returned function is called. In runs with an odd seed it is
// a request to the plain service, otherwise a stream.
func (s *soak) startCrashing() (stop func()) {
	s.platform.CrashOn(crashBody, 0, s.replaceCrashed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	c := s.newCaller(s.cfg.Callers+1, rand.New(rand.NewPCG(s.cfg.Seed, uint64(s.cfg.Callers+1))))
	c.name, c.body = "crash", crashBody
	go func() {
		defer close(ended)
		defer c.client.CloseIdleConnections()
		for ctx.Err() == nil {
			s.record.addRequest(c.send(c.rand.IntN(len(s.instances)), s.cfg.Seed%2 == 1, false))
			s.sleep(randomDuration(c.rand, maxCrashPause))
		}
	}()
	return func() {
		s.sleep(crashesAfterEnd)
		cancel()
		<-ended
	}
}

// replaceCrashed starts an engine in place of one that the request crashed. The address of the
// crashed engine refuses connections from now on.
func (s *soak) replaceCrashed(e *hosted.Engine) {
	s.mu.Lock()
	link := s.links[e.ID]
	s.mu.Unlock()
	link.Close()
	endDisruption := s.record.startDisruption(allEngines)
	time.AfterFunc(replaceTime, func() {
		s.addEngine(e.Domain)
		endDisruption()
	})
}

// checkCrashRuns describes the violation of the bound on the runs of the crashing request, or
// returns "". The bound holds for instances without a disruption for hosted.CrashBoundDelay.
func (r *record) checkCrashRuns(runs []hosted.CrashRun) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	instances := map[string]sentRequest{}
	for _, s := range r.requests {
		instances[s.id] = s
	}
	late := hosted.CountLateCrashRuns(runs, hosted.CrashesBeforeBound, func(run hosted.CrashRun) bool {
		return r.isUndisrupted(run.At.Add(-hosted.CrashBoundDelay), run.At, instances[run.Request].instance, allInstances)
	})
	if late <= hosted.MaxLateCrashRuns {
		return ""
	}
	return fmt.Sprintf("%d runs of the crashing request later than %s after it crashed engine %d, at most %d allowed; %d runs in all",
		late, hosted.CrashBoundDelay, hosted.CrashesBeforeBound, hosted.MaxLateCrashRuns, len(runs))
}
