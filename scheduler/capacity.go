package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amaranthmill/estimator"
)

// Times and weights of the learned limits.
const (
	capacityRefresh      = 100 * time.Millisecond // between two evaluations of the mean speed of a pool
	capacityReportPause  = time.Second            // between two checks for limits that have changed
	capacityReportMargin = 0.25                   // part of a limit by which it changes until it is reported
	goalMemory           = 10 * time.Second       // for which the strictest goal of a pool counts for the limits that are shown
	failurePenalty       = 1                      // for a target all of whose requests fail
)

// poolCapacity is what the targets of a pool have in common for their learned limits.
type poolCapacity struct {
	model         *estimator.Pool
	refreshedAt   time.Time
	otherRequests float64 // means.otherRequests, as computed last
	goals         shownGoals
}

func newPoolCapacity() poolCapacity { return poolCapacity{model: estimator.NewPool()} }

// shownGoals are the goals of the strictest request of a pool lately, for which limits are shown to operators.
type shownGoals struct {
	goals estimator.Goals
	at    time.Time
}

// note records the goals of a request that was sent.
func (g *shownGoals) note(now time.Time, f *flight) {
	if g.goals.FirstEvent == 0 || f.LatencyGoal <= g.goals.FirstEvent || now.Sub(g.at) > goalMemory {
		g.goals = estimator.Goals{FirstEvent: f.LatencyGoal, Gap: f.GapGoal, TokensAhead: f.PromptTokens}
		g.at = now
	}
}

// refreshCapacity evaluates new samples of p at intervals.
func (p *pool) refreshCapacity(now time.Time) {
	c := &p.capacity
	if now.Sub(c.refreshedAt) < capacityRefresh {
		return
	}
	c.refreshedAt = now
	sum, n := 0.0, 0
	for _, t := range p.targets {
		if t.stalledAt.IsZero() && t.estimator.IsRecent(now) {
			sum += t.estimator.Speed(now, c.model)
			n++
		}
	}
	c.model.Refresh(now, sum, n)
}

// isLearned reports whether a limit is learned for t: it runs a model or reports its load, and requests with a goal were answered in its pool.
func (t *target) isLearned() bool {
	return (t.Group != "" || t.isLoaded) && t.pool.capacity.model.HasSamples()
}

// isEstimated reports whether a's time to the first event tells something about its target. The complete answer of a
// model takes as long as the answer is long.
func (f *flight) isEstimated(t *target) bool { return f.LatencyGoal > 0 && f.Stream == (t.Group != "") }

// slowness returns the slowness of t, or zero if no limit is learned for it.
func (t *target) slowness(now time.Time) float64 {
	if !t.isLearned() {
		return 0
	}
	return t.estimator.Slowness(now, t.pool.capacity.model)
}

// goalsAt returns what f needs of t now.
func (f *flight) goalsAt(now time.Time, t *target) estimator.Goals {
	g := estimator.Goals{FirstEvent: f.ArrivedAt.Add(f.LatencyGoal).Sub(now), TokensAhead: t.backlog + f.PromptTokens}
	if f.Stream {
		g.Gap = f.GapGoal
	}
	return g
}

// isWithinLimit reports whether f would probably meet its goals at c's target. A stalled target gets a trial request
// whatever its limit.
func (c *candidate) isWithinLimit(now time.Time, f *flight) bool {
	t := c.target
	if c.slowness == 0 || !t.stalledAt.IsZero() || !f.isEstimated(t) {
		return true
	}
	return t.pool.capacity.model.Meets(f.goalsAt(now, t), c.slowness, c.load)
}

// isHelpedByWaiting reports whether f would meet its goals at an idle target of the same speed.
func (c *candidate) isHelpedByWaiting(now time.Time, f *flight) bool {
	g := f.goalsAt(now, c.target)
	g.TokensAhead = f.PromptTokens
	return c.target.pool.capacity.model.Meets(g, min(c.slowness, 1), 0)
}

// leastFirstEvent returns the time to the first event of f that is expected at an idle target of the same speed.
func (c *candidate) leastFirstEvent(f *flight) time.Duration {
	mean := c.target.pool.capacity.model.MeanFirstEvent(0, f.PromptTokens)
	return time.Duration(float64(mean) * min(c.slowness, 1))
}

// enterBacklog counts a, which was sent while its target had a load, in the backlog of the target.
func (a *attempt) enterBacklog(load float64) {
	t := a.target
	a.load, a.tokensAhead, a.isPending = load, t.backlog+a.flight.PromptTokens, true
	t.backlog += a.flight.PromptTokens
	t.pending++
}

// leaveBacklog removes a from the backlog of its target, if it counts there.
func (a *attempt) leaveBacklog() {
	if a.isPending {
		a.isPending = false
		a.target.backlog -= a.flight.PromptTokens
		a.target.pending--
	}
}

// learnFirstEvent records the time to the first event or complete answer of a.
func (a *attempt) learnFirstEvent(now time.Time) {
	t, f := a.target, a.flight
	a.leaveBacklog()
	if !f.isEstimated(t) {
		return
	}
	t.estimator.RecordFirstEvent(now, t.pool.capacity.model, a.load, a.tokensAhead, now.Sub(a.sentAt))
	t.pool.capacity.goals.note(now, f)
}

// learnGap records the time since the last event of a.
func (a *attempt) learnGap(now time.Time) {
	t := a.target
	if a.flight.isEstimated(t) {
		t.estimator.RecordGap(now, t.pool.capacity.model, t.load(now, t.pool.capacity.otherRequests), now.Sub(a.lastProgressAt))
	}
}

// learnEnd records whether a failed because of its target.
func (a *attempt) learnEnd(now time.Time, e Ending) {
	switch e.(type) {
	case Completed:
		a.target.estimator.RecordEnd(now, false)
	case Failed, Broken, NotSent:
		a.target.estimator.RecordEnd(now, true)
	}
}

// checkOverdue records which targets owe a first event for longer than expected. A target that slows down shows it
// this way before any of its answers does.
func (s *Scheduler) checkOverdue(now time.Time) {
	for _, t := range s.targets {
		if t.pending == 0 || !t.isLearned() {
			continue
		}
		for _, a := range t.attempts {
			if a.isPending && a.flight.isEstimated(t) {
				t.estimator.RecordOverdue(now, t.pool.capacity.model, a.load, a.tokensAhead, now.Sub(a.sentAt))
			}
		}
	}
}

// Capacity is the learned limit of a target, with what it follows from.
type Capacity struct {
	Target      *Target
	Limit       float64       // load, as a fraction of the slots, up to which a request meets its goals; the hard maximum if nothing else is learned
	Load        float64       // now, as estimated
	Speed       float64       // relative to the mean of the pool
	FailureRate float64       // part of the requests that failed lately
	FirstEvent  time.Duration // expected mean time to the first event at this load; zero if it is not known
	Backlog     int           // prompt tokens of this instance's requests that are not prefilled
	LatencyGoal time.Duration // of the request for which the limit holds: the strictest of the pool lately
	GapGoal     time.Duration
}

// capacityOf returns the learned limit of t, or false if none is learned.
func (s *Scheduler) capacityOf(now time.Time, t *target) (Capacity, bool) {
	slowness := t.slowness(now)
	if slowness == 0 {
		return Capacity{}, false
	}
	p := &t.pool.capacity
	g := p.goals.goals
	c := candidate{target: t, load: t.load(now, p.otherRequests), slowness: slowness}
	out := Capacity{
		Target: t.Target, Limit: p.model.Limit(g, slowness, s.cfg.MaxLoad), Load: c.load, Speed: 1 / slowness, FailureRate: t.estimator.FailureRate(now),
		FirstEvent: time.Duration(float64(p.model.MeanFirstEvent(c.load, t.backlog)) * slowness), Backlog: t.backlog, LatencyGoal: g.FirstEvent, GapGoal: g.Gap,
	}
	return out, true
}

// Capacities returns the learned limits of the targets, sorted by target.
func (s *Scheduler) Capacities(now time.Time) []Capacity {
	var out []Capacity
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if c, ok := s.capacityOf(now, s.targets[id]); ok {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b Capacity) int { return cmp.Compare(a.Target.Pool, b.Target.Pool) })
	return out
}

// reportCapacity reports the limits that have changed, at intervals.
func (s *Scheduler) reportCapacity(now time.Time) {
	if now.Sub(s.capacityReportedAt) < capacityReportPause {
		return
	}
	s.capacityReportedAt = now
	for _, c := range s.Capacities(now) {
		t := s.targets[c.Target.ID]
		previous := t.toldLimit
		if previous == 0 {
			previous = s.cfg.MaxLoad
		}
		if math.Abs(c.Limit-previous) <= capacityReportMargin*previous {
			continue
		}
		t.toldLimit = max(c.Limit, math.SmallestNonzeroFloat64)
		s.emit(CapacityChanged{Capacity: c, Previous: previous})
	}
}
