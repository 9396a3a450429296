package grouper

import (
	"slices"
	"time"
)

// returnsKept is how many of the last absences a core remembers.
const returnsKept = 64

// absence is how long an endpoint was away, and whether its process was another one after.
type absence struct {
	away      time.Duration
	restarted bool
}

// priorAbsences stand for what a core that has seen nothing expects: short pauses that the
// process survives, and as many endpoints that come back without it or not at all.
var priorAbsences = []absence{
	{away: 3 * time.Second},
	{away: 5 * time.Second},
	{away: 8 * time.Second},
	{away: 15 * time.Second},
	{away: 30 * time.Second},
	{away: time.Minute, restarted: true},
	{away: 2 * time.Minute, restarted: true},
	{away: 4 * time.Minute, restarted: true},
	{away: time.Hour, restarted: true},
	{away: 4 * time.Hour, restarted: true},
}

// returnTimes remembers the last absences.
type returnTimes struct{ seen []absence }

func (r *returnTimes) add(a absence) {
	r.seen = append(r.seen, a)
	if len(r.seen) > returnsKept {
		r.seen = r.seen[1:]
	}
}

// wait returns how long to wait for an endpoint that is away before another takes its place:
// the time that would have cost least downtime over the absences seen, if loading the
// model takes load.
func (r *returnTimes) wait(load time.Duration) time.Duration {
	all := slices.Concat(priorAbsences, r.seen)
	best, bestCost := time.Duration(0), cost(all, 0, load)
	for _, a := range all {
		if a.restarted {
			continue
		}
		limit := a.away + waitMargin
		if c := cost(all, limit, load); c < bestCost || c == bestCost && limit < best {
			best, bestCost = limit, c
		}
	}
	return best
}

// waitMargin is added to the absence that is to be sat out.
const waitMargin = time.Second

// cost returns the downtime over all absences if each is waited for up to limit.
func cost(all []absence, limit, load time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, a := range all {
		switch {
		case a.away > limit:
			sum += limit + load
		case a.restarted:
			sum += a.away + load
		default:
			sum += a.away
		}
	}
	return sum
}

// swapTime is how long a group is down while a loaded endpoint takes a member's place.
const swapTime = 2 * time.Second

// patience returns how long to wait for an endpoint that is away before another takes its
// place that is loaded, or must load first.
func (c *Core) patience(loaded bool) time.Duration {
	if loaded {
		return c.returns.wait(swapTime)
	}
	return c.returns.wait(c.loadTime())
}

// loadTime returns how long an endpoint takes to load a model, as lately seen.
func (c *Core) loadTime() time.Duration {
	if c.loadSeen != 0 {
		return c.loadSeen
	}
	return c.policy.LoadTime
}

// loadSmoothing is over how many loads the time of a load is averaged.
const loadSmoothing = 4

// sawLoad takes the time of one load.
func (c *Core) sawLoad(d time.Duration) {
	c.loadSeen = c.loadTime() + (d-c.loadTime())/loadSmoothing
}
