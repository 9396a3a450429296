package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"amaranthmill/standin/hosted"
)

// Times of the crashing request.
const (
	maxCrashPause   = 400 * time.Millisecond // between two copies
	crashesAfterEnd = 8 * time.Second        // for which copies are sent after the last fault, so that instances without a disruption get some
)

// Parts of the prompts of all callers.
const (
	firstPart    = "a11ce0" // of all requests
	crashingPart = "bad0bad0"
	documents    = 5 // shared by several requests
)

// crashesBeforeBound returns the number of engines that crash before the bound on the runs of the
// crashing requests applies.
func (c Config) crashesBeforeBound() int {
	if c.CrashingPart {
		return hosted.PartCrashesBeforeBound
	}
	return hosted.CrashesBeforeBound
}

// prompt returns the parts of the prompt of the caller's last request, as the header field that lists
// them. The last part is the request's own.
func (c *caller) prompt() string {
	parts := []string{firstPart + ":800", fmt.Sprintf("d0c%d:300", c.count%documents)}
	if c.crashingPart {
		parts = append(parts, crashingPart+":200")
	}
	return strings.Join(append(parts, fmt.Sprintf("%x:50", c.name+fmt.Sprint(c.count))), ",")
}

// crashBody is the body of all copies of the crashing request.
const crashBody = "this request crashes engines"

// startCrashing makes the crashing request crash each engine that runs it, and sends copies of
// it to random instances until the returned function is called. In runs with an odd seed it is
// a request to the plain service, otherwise a stream.
func (s *soak) startCrashing() (stop func()) {
	s.platform.CrashOn(crashBody, 0, s.replaceCrashed)
	c := s.newCrashCaller()
	c.body = crashBody
	return s.sendCrashing(c)
}

// startCrashingPart makes a part of prompts crash each engine that begins to answer a request with
// it, and sends such requests, no two alike, like startCrashing.
func (s *soak) startCrashingPart() (stop func()) {
	s.platform.CrashOnPart(crashingPart, 0, s.replaceCrashed)
	c := s.newCrashCaller()
	c.crashingPart = true
	return s.sendCrashing(c)
}

func (s *soak) newCrashCaller() *caller {
	c := s.newCaller(s.cfg.Callers+1, rand.New(rand.NewPCG(s.cfg.Seed, uint64(s.cfg.Callers+1))))
	c.name = "crash"
	return c
}

// sendCrashing sends requests of c to random instances until the returned function is called.
func (s *soak) sendCrashing(c *caller) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
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

// checkCrashRuns describes the violation of the bound on the runs of the crashing requests, or
// returns "". The bound applies once the given number of engines have crashed, and holds for
// instances without a disruption for hosted.CrashBoundDelay.
func (r *record) checkCrashRuns(runs []hosted.CrashRun, crashes int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	instances := map[string]sentRequest{}
	for _, s := range r.requests {
		instances[s.id] = s
	}
	late := hosted.CountLateCrashRuns(runs, crashes, func(run hosted.CrashRun) bool {
		return r.isUndisrupted(run.At.Add(-hosted.CrashBoundDelay), run.At, instances[run.Request].instance, allInstances)
	})
	if late <= hosted.MaxLateCrashRuns {
		return ""
	}
	return fmt.Sprintf("%d runs of the crashing requests later than %s after they crashed engine %d, at most %d allowed; %d runs in all",
		late, hosted.CrashBoundDelay, crashes, hosted.MaxLateCrashRuns, len(runs))
}
