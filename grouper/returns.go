package grouper

import (
	"slices"
	"time"
)

// maxAbsences is how many of the last absences a core remembers.
const maxAbsences = 64

// absence is how long an endpoint was away, and whether its process was another one after.
type absence struct {
	duration  time.Duration
	restarted bool
}

// priorAbsences stand for what a core that has seen nothing expects: short pauses that the
// process survives, and as many endpoints that come back without it or not at all.
var priorAbsences = []absence{
	{duration: 3 * time.Second},
	{duration: 5 * time.Second},
	{duration: 8 * time.Second},
	{duration: 15 * time.Second},
	{duration: 30 * time.Second},
	{duration: time.Minute, restarted: true},
	{duration: 2 * time.Minute, restarted: true},
	{duration: 4 * time.Minute, restarted: true},
	{duration: time.Hour, restarted: true},
	{duration: 4 * time.Hour, restarted: true},
}

// absenceHistory remembers the last absences.
type absenceHistory struct{ recent []absence }

func (r *absenceHistory) add(a absence) {
	r.recent = append(r.recent, a)
	if len(r.recent) > maxAbsences {
		r.recent = r.recent[1:]
	}
}

// bestWait returns how long to bestWait for an endpoint that is away before another takes its place:
// the time that would have cost least downtime over the absences seen, if loading the
// model takes load.
func (r *absenceHistory) bestWait(load time.Duration) time.Duration {
	all := slices.Concat(priorAbsences, r.recent)
	best, bestCost := time.Duration(0), downtime(all, 0, load)
	for _, a := range all {
		if a.restarted {
			continue
		}
		limit := a.duration + waitMargin
		if c := downtime(all, limit, load); c < bestCost || c == bestCost && limit < best {
			best, bestCost = limit, c
		}
	}
	return best
}

// waitMargin is added to the absence that is to be sat out.
const waitMargin = time.Second

// downtime returns the downtime over all absences if each is waited for up to limit.
func downtime(all []absence, limit, load time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, a := range all {
		switch {
		case a.duration > limit:
			sum += limit + load
		case a.restarted:
			sum += a.duration + load
		default:
			sum += a.duration
		}
	}
	return sum
}

// swapTime is how long a group is down while a loaded endpoint takes a member's place.
const swapTime = 2 * time.Second

// replaceDelay returns how long to wait for an endpoint that is away before another takes its
// place that is loaded, or must load first.
func (c *Core) replaceDelay(loaded bool) time.Duration {
	if loaded {
		return c.absences.bestWait(swapTime)
	}
	return c.absences.bestWait(c.loadTime())
}

// loadTime returns how long an endpoint takes to load a model, as lately seen.
func (c *Core) loadTime() time.Duration {
	if c.meanLoadTime != 0 {
		return c.meanLoadTime
	}
	return c.policy.LoadTime
}

// loadSmoothing is over how many loads the time of a load is averaged.
const loadSmoothing = 4

// recordLoadTime takes the time of one load.
func (c *Core) recordLoadTime(d time.Duration) {
	c.meanLoadTime = c.loadTime() + (d-c.loadTime())/loadSmoothing
}
