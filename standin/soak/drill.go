package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Times and shares of drills, in which the store is restored from older copies in series while versions of the configuration
// follow one another.
const (
	drillCalmTime   = 4 * time.Second // before the first drill, so that instances are in touch
	drillRound      = 14 * time.Second
	drillSpacing    = 3 * time.Second // between two drills of a round
	drillCopyAge    = 7 * time.Second // at most
	drillAwayTime   = 1500 * time.Millisecond
	drillCutBefore  = time.Second             // longest time between the beginning of a cut and the first drill
	drillCutAfter   = 2500 * time.Millisecond // longest time between the last drill and the end of a cut
	drillCutShare   = 3                       // one in so many instances is cut off from the store in a round
	drillKillWithin = time.Second             // of a drill, in which an instance ends and starts again
	drillFreezeTime = 2 * time.Second         // at most
	touchTime       = 3 * time.Second         // without a disruption, after which an instance must have each version in time
	probePause      = 150 * time.Millisecond  // of the requests that show which version an instance has, per instance
	storeRetryPause = 20 * time.Millisecond   // of the operator while the store is away
)

// Sizes and intervals of the versions of a run, of which the seed selects one each.
var (
	drillRouteCounts = []int{10, 150, 600} // the last two exceed the size from which values are fetched
	drillIntervals   = []time.Duration{80 * time.Millisecond, 330 * time.Millisecond, 800 * time.Millisecond}
)

// CutStore cuts an instance off from the store for a time, in silence or by resets.
type CutStore struct {
	Instance int
	Reset    bool
	For      time.Duration
}

func (CutStore) fault() {}

// planDrills returns rounds of drills over the given length of time: one or two restores of the store, with instances that are
// cut off from it through all of them, and others that end, start or freeze within a second. The result is ordered by time.
func planDrills(r *rand.Rand, length time.Duration, instances int) []Step {
	var out []Step
	for start := drillCalmTime; start+drillRound <= max(length, drillCalmTime+drillRound); start += drillRound {
		first := start + randomDuration(r, time.Second)
		last := first
		out = append(out, Step{At: first, Fault: randomRestore(r)})
		if r.IntN(2) == 0 {
			last += drillSpacing
			out = append(out, Step{At: last, Fault: randomRestore(r)})
		}
		for n := range instances {
			if r.IntN(drillCutShare) == 0 {
				from, until := first-randomDuration(r, drillCutBefore), last+randomDuration(r, drillCutAfter)
				out = append(out, Step{At: from, Fault: CutStore{Instance: n, Reset: r.IntN(2) == 0, For: until - from}})
			}
		}
		near := func() time.Duration {
			return last - drillKillWithin + randomDuration(r, 2*drillKillWithin)
		}
		out = append(out, Step{At: near(), Fault: KillInstance{Instance: randomNumber(r)}}, Step{At: near(), Fault: StopInstance{Instance: randomNumber(r)}},
			Step{At: near(), Fault: FreezeInstance{Instance: randomNumber(r), For: randomDuration(r, drillFreezeTime)}})
	}
	slices.SortStableFunc(out, func(a, b Step) int { return int(a.At - b.At) })
	return out
}

func randomRestore(r *rand.Rand) Fault {
	return RestoreStore{Age: time.Second + randomDuration(r, drillCopyAge-time.Second), Away: 200*time.Millisecond + randomDuration(r, drillAwayTime-200*time.Millisecond)}
}

// cutStore cuts an instance off from the store.
func (s *soak) cutStore(f CutStore) {
	i := s.instance(f.Instance)
	source := sourceOf(i.number)
	begin := func() { i.store.CutFrom(source) }
	if f.Reset {
		begin = func() { i.store.RejectFrom(source) }
	}
	s.applyFor(i.number, f.For, begin, func() { i.store.RestoreFrom(source) })
}

// routeChange is the last change of a route.
type routeChange struct {
	isPresent bool
	version   int
	ackedAt   time.Time // zero while the version is being written
}

// operator writes versions of the configuration, and knows which routes each instance must have.
type operator struct {
	soak *soak
	away atomic.Int32 // restores of the store that have not ended

	mu      sync.Mutex // guards the fields below
	routes  []routeChange
	version int
}

// run writes versions, each of which adds a route, removes one or adds a removed one again, until stop is closed.
func (o *operator) run(stop <-chan struct{}, r *rand.Rand, interval time.Duration) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		for o.away.Load() > 0 {
			o.soak.sleep(storeRetryPause)
		}
		o.write(o.pick(r))
	}
}

// pick returns the route that the next version changes.
func (o *operator) pick(r *rand.Rand) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.routes); r.IntN(2) == 0 && n > 1 {
		return n - 1 - r.IntN(min(n, 8)) // removed, or added again
	}
	return len(o.routes)
}

// write writes a version with a change of a route.
func (o *operator) write(route int) {
	o.mu.Lock()
	if route == len(o.routes) {
		o.routes = append(o.routes, routeChange{})
	}
	o.version++
	o.routes[route] = routeChange{isPresent: !o.routes[route].isPresent, version: o.version}
	var hidden []int
	for n, c := range o.routes {
		if !c.isPresent {
			hidden = append(hidden, n)
		}
	}
	version, count := o.version, len(o.routes)
	o.mu.Unlock()
	o.soak.platform.SetMoreRoutes(count, hidden...)
	o.soak.platform.Configure(version, firstKey)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routes[route].ackedAt = time.Now()
}

// due returns a route that was changed at least configurationDelay ago and not since, the newest one or one at random, or
// false if there is none.
func (o *operator) due(r *rand.Rand) (route int, c routeChange, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	best := -1
	for n, c := range o.routes {
		isDue := !c.ackedAt.IsZero() && time.Since(c.ackedAt) >= configurationDelay
		if isDue && (best < 0 || c.version > o.routes[best].version) {
			best = n
		}
	}
	if best < 0 {
		return 0, routeChange{}, false
	}
	if n := r.IntN(len(o.routes)); r.IntN(4) == 0 && !o.routes[n].ackedAt.IsZero() && time.Since(o.routes[n].ackedAt) >= configurationDelay {
		best = n
	}
	return best, o.routes[best], true
}

// isUnchanged reports whether a route has not been changed again.
func (o *operator) isUnchanged(route int, c routeChange) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.routes[route].version == c.version
}

// probe sends requests to an instance until stop is closed, and records each one that is answered as only an older version
// allows although the instance and the store were undisturbed for touchTime.
func (o *operator) probe(stop <-chan struct{}, instance int, r *rand.Rand) (judged int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return judged
		case <-time.After(randomDuration(r, 2*probePause)):
		}
		route, c, ok := o.due(r)
		if !ok {
			continue
		}
		sentAt := time.Now()
		status, err := o.soak.requestRouteAs(client, fmt.Sprintf("probe-%d-%d", instance, i), instance, route)
		if err != nil || !o.isUnchanged(route, c) || !o.soak.record.isInTouch(instance, sentAt) {
			continue
		}
		judged++
		o.judge(instance, route, c, sentAt, status)
	}
}

// judge records a request that was answered as only an older version allows.
func (o *operator) judge(instance, route int, c routeChange, sentAt time.Time, status int) {
	if isMissing := status == http.StatusNotFound; isMissing == c.isPresent || status == http.StatusOK && !c.isPresent {
		o.soak.record.addViolation("instance %d answers %d for route %d, which version %d, acknowledged %s before, has present=%t",
			instance, status, route, c.version, sentAt.Sub(c.ackedAt), c.isPresent)
	}
}

// isInTouch reports whether an instance and the store were undisturbed for touchTime before a time, and still are.
func (r *record) isInTouch(instance int, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isUndisrupted(at.Add(-touchTime), time.Now(), instance, allInstances)
}

// startDrills starts the operator and the requests that show which version each instance has. The returned function ends both,
// waits until each instance must have the last version, checks it and returns how many requests were judged.
func (s *soak) startDrills(r *rand.Rand) (stop func() int) {
	s.operator = &operator{soak: s, version: s.version}
	base := drillRouteCounts[r.IntN(len(drillRouteCounts))]
	for range base {
		s.operator.routes = append(s.operator.routes, routeChange{isPresent: true})
	}
	interval := drillIntervals[r.IntN(len(drillIntervals))]
	stopOperator, stopProbes := make(chan struct{}), make(chan struct{})
	var operators, probes sync.WaitGroup
	seed := r.Uint64()
	operators.Go(func() { s.operator.run(stopOperator, rand.New(rand.NewPCG(seed, 0)), interval) })
	var judged atomic.Int64
	for n := range s.instances {
		probes.Go(func() {
			judged.Add(int64(s.operator.probe(stopProbes, n, rand.New(rand.NewPCG(seed, uint64(n)+1)))))
		})
	}
	return func() int {
		close(stopOperator)
		operators.Wait()
		s.sleep(touchTime + configurationDelay)
		close(stopProbes)
		probes.Wait()
		s.checkLastVersion()
		return int(judged.Load())
	}
}

// checkLastVersion writes a version with one more route and records each instance that does not know it in time.
func (s *soak) checkLastVersion() {
	s.operator.mu.Lock()
	route := len(s.operator.routes)
	s.operator.mu.Unlock()
	s.operator.write(route)
	s.sleep(configurationDelay)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := range s.instances {
		if status, err := s.requestRouteAs(client, fmt.Sprintf("last-%d", n), n, route); err != nil || status == http.StatusNotFound {
			s.record.addViolation("instance %d does not know the route of the last version %s after its acknowledgement: status=%d %v", n, configurationDelay, status, err)
		}
	}
}
