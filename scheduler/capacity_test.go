package scheduler_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/scheduler"
)

// Times of the simulated loads.
const (
	loadLength  = 14 * time.Second
	changeFrom  = 4 * time.Second          // of a slowdown, of failures or of a burst
	changeUntil = 10500 * time.Millisecond // 6.5 s later, as slowdowns of groups were measured
	loadSeeds   = 8
)

// simLoad is a load that part E addresses, and the targets' behaviour under it.
type simLoad struct {
	name               string
	instances, engines int
	perSecond          float64
	prepare            func(f *fleet, c fleetConfig)
}

// during returns a factor that applies while the targets' behaviour is changed.
func during(factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= changeFrom && at < changeUntil {
			return factor
		}
		return 1
	}
}

func simLoads() []simLoad {
	return []simLoad{
		{name: "even", instances: 30, engines: 18, perSecond: 250},
		{name: "uneven speeds", instances: 30, engines: 18, perSecond: 170, prepare: func(f *fleet, _ fleetConfig) {
			for i := 0; i < len(f.engines); i += 3 {
				f.engines[i].pace = 2.2
			}
		}},
		{name: "a seventh of the groups slower by 6, few samples", instances: 106, engines: 28, perSecond: 330, prepare: func(f *fleet, _ fleetConfig) {
			for _, e := range f.engines[:4] {
				e.slowness = during(6)
			}
		}},
		{name: "half of the groups slow down long before they are full", instances: 30, engines: 18, perSecond: 160, prepare: func(f *fleet, _ fleetConfig) {
			for i := 0; i < len(f.engines); i += 2 {
				f.engines[i].kneeAt = 10
			}
		}},
		{name: "burst of 2.2 times the load", instances: 30, engines: 18, perSecond: 160, prepare: func(f *fleet, c fleetConfig) {
			f.addLoad(c, changeFrom, changeUntil-changeFrom, 1.2*160)
		}},
	}
}

// simulate returns the fleet after the load, with schedulers that learn limits or with the plain least-load choice.
func (l simLoad) simulate(seed uint64, learns bool) *fleet {
	c := fleetConfig{
		instances: l.instances, engines: l.engines, slots: 34, domains: 3, learns: learns, delay: 70 * time.Millisecond, promptTokens: 1300, tokens: 70, seed: seed,
		goals: []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second},
	}
	f := newFleet(c)
	if l.prepare != nil {
		l.prepare(f, c)
	}
	f.addLoad(c, 0, loadLength, l.perSecond)
	f.run(loadLength + 10*time.Second)
	return f
}

// meanDifference returns the mean of the differences and its standard error.
func meanDifference(differences []float64) (mean, standardError float64) {
	n := float64(len(differences))
	squares := 0.0
	for _, d := range differences {
		mean += d / n
		squares += d * d / n
	}
	return mean, math.Sqrt(max(squares-mean*mean, 0) / (n - 1))
}

// TestLearnedLimitsServeAsManyInTime guards against learned limits with which fewer requests meet their goals, or more are rejected, than with the
// plain least-load choice. A difference within two standard errors counts as none, because the two choices meet different chances.
func TestLearnedLimitsServeAsManyInTime(t *testing.T) {
	t.Parallel()
	for _, l := range simLoads() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			var inTime, rejected []float64
			for seed := range uint64(loadSeeds) {
				plain, learned := l.simulate(seed, false), l.simulate(seed, true)
				plainInTime, plainRejected := plain.score(0, loadLength)
				learnedInTime, learnedRejected := learned.score(0, loadLength)
				inTime = append(inTime, learnedInTime-plainInTime)
				rejected = append(rejected, learnedRejected-plainRejected)
			}
			mean, standardError := meanDifference(inTime)
			t.Logf("in time %+.4f (standard error %.4f)", mean, standardError)
			if mean+2*standardError < 0 {
				t.Errorf("fewer requests are in time")
			}
			mean, standardError = meanDifference(rejected)
			t.Logf("rejected %+.4f (standard error %.4f)", mean, standardError)
			if mean-2*standardError > 0 {
				t.Errorf("more requests are rejected")
			}
		})
	}
}

// part returns the requests per second that an engine got on average, as a part of those of the others.
func part(engines, others []*fleetEngine, from, to time.Duration) float64 {
	mean := func(list []*fleetEngine) (sum float64) {
		for _, e := range list {
			sum += float64(e.received(from, to)) / float64(len(list))
		}
		return sum
	}
	return mean(engines) / mean(others)
}

// TestSlowGroupsGetFewRequests guards against a seventh of the groups that goes on getting its share while it is slow, and against one that
// does not get it again afterwards.
func TestSlowGroupsGetFewRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := simLoad{instances: 30, engines: 21, perSecond: 250, prepare: func(f *fleet, _ fleetConfig) {
		for _, e := range f.engines[:3] {
			e.slowness = during(6)
		}
	}}
	for seed := range uint64(3) {
		f := l.simulate(seed, true)
		slow, others := f.engines[:3], f.engines[3:]
		whileSlow := part(slow, others, changeFrom+time.Second, changeUntil)
		afterwards := part(slow, others, changeUntil+2*time.Second, loadLength)
		t.Logf("part of the others' requests while slow %.2f, afterwards %.2f", whileSlow, afterwards)
		is.True(whileSlow < 0.5)  // from a second after the beginning
		is.True(afterwards > 0.6) // from two seconds after the end
	}
}

// TestFailingGroupsGetFewRequests guards against groups that look idle because they fail half of their requests, and so get more.
func TestFailingGroupsGetFewRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := simLoad{instances: 30, engines: 21, perSecond: 250, prepare: func(f *fleet, _ fleetConfig) {
		for _, e := range f.engines[:3] {
			e.failing = func(at time.Duration) bool { return at >= changeFrom && at < changeUntil }
		}
	}}
	for seed := range uint64(3) {
		f := l.simulate(seed, true)
		failing, others := f.engines[:3], f.engines[3:]
		meanwhile := part(failing, others, changeFrom+time.Second, changeUntil)
		afterwards := part(failing, others, changeUntil+2*time.Second, loadLength)
		t.Logf("part of the others' requests while failing %.2f, afterwards %.2f", meanwhile, afterwards)
		is.True(meanwhile < 0.75)
		is.True(afterwards > 0.6)
	}
}

// spread returns the standard deviation of the parts that the engines of f get of the requests in each two seconds.
func (f *fleet) spread() float64 {
	squares, n := 0.0, 0.0
	for from := time.Second; from <= loadLength-2*time.Second; from += 2 * time.Second {
		for _, e := range f.engines {
			difference := part([]*fleetEngine{e}, f.engines, from, from+2*time.Second) - 1
			squares += difference * difference
			n++
		}
	}
	return math.Sqrt(squares / n)
}

// TestEqualTargetsGetEqualParts guards against limits that swing: equal targets get parts of the requests that differ no more than with the plain
// choice, within two standard errors.
func TestEqualTargetsGetEqualParts(t *testing.T) {
	t.Parallel()
	var more []float64
	for seed := range uint64(loadSeeds) {
		l := simLoad{instances: 30, engines: 18, perSecond: 250}
		plain, learned := l.simulate(seed, false).spread(), l.simulate(seed, true).spread()
		t.Logf("spread %.3f, with the plain choice %.3f", learned, plain)
		more = append(more, learned-plain)
	}
	if mean, standardError := meanDifference(more); mean-2*standardError > 0 {
		t.Errorf("the spread is larger by %.3f (standard error %.3f)", mean, standardError)
	}
}

// TestHeldRequestsAreNotRefused guards against a request that is refused because it was held, and against more refusals in all than with the
// plain choice, at the only instance of a pool, which loads its targets up to their hard maximum.
func TestHeldRequestsAreNotRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	simulate := func(seed uint64, learns bool) (held map[scheduler.Ref]bool, refused []scheduler.Ref) {
		c := fleetConfig{
			instances: 1, engines: 4, slots: 20, learns: learns, delay: 70 * time.Millisecond, promptTokens: 1300, tokens: 70, seed: seed,
			goals: []time.Duration{200 * time.Millisecond, time.Second},
		}
		f := newFleet(c)
		held = map[scheduler.Ref]bool{}
		f.onAction = func(a scheduler.Action) {
			if w, ok := a.(scheduler.Wait); ok && w.Reason == scheduler.ReasonPastLimits {
				held[w.Ref] = true
			}
		}
		f.addLoad(c, 0, 6*time.Second, 48)
		f.addLoad(c, 6*time.Second, time.Second, 90)
		f.run(20 * time.Second)
		for _, r := range f.results {
			if _, ok := r.outcome.(scheduler.NotRun); ok {
				refused = append(refused, r.ref)
			}
		}
		return held, refused
	}
	heldCount := 0
	var more []float64
	for seed := range uint64(20) {
		_, plain := simulate(seed, false)
		held, refused := simulate(seed, true)
		heldCount += len(held)
		more = append(more, float64(len(refused)-len(plain)))
		for _, ref := range refused {
			is.True(!held[ref])
		}
	}
	mean, standardError := meanDifference(more)
	t.Logf("%d requests were held; %+.2f refused for each seed (standard error %.2f)", heldCount, mean, standardError)
	is.True(heldCount > 0)
	is.True(mean-2*standardError <= 0) // a difference within two standard errors counts as none
}
