package grouper

import (
	"slices"
	"time"
)

// maxAbsences is the number of most recent absences that a core keeps.
const maxAbsences = 64

// absence is how long an endpoint was unreachable, and whether its process had restarted when
// it returned.
type absence struct {
	duration  time.Duration
	restarted bool
}

// priorAbsences are the expectations of a core without history: short pauses that the process
// survives, and as many endpoints that return with a new process or not at all.
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

// absenceHistory contains the most recent absences.
type absenceHistory struct{ recent []absence }

func (r *absenceHistory) add(a absence) {
	r.recent = append(r.recent, a)
	if len(r.recent) > maxAbsences {
		r.recent = r.recent[1:]
	}
}

// bestWait returns how long to wait for an unreachable endpoint before another endpoint
// replaces it: the limit that would have caused the least downtime over the prior and the
// recorded absences. load is the time that a replacement takes.
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

// waitMargin is added to the duration of an absence to get a wait that outlasts the absence.
const waitMargin = time.Second

// downtime returns the total downtime over all absences if each is waited for up to limit;
// load is the time that a replacement takes.
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

// swapTime is how long a group is down while an endpoint that has loaded the model replaces a
// member.
const swapTime = 2 * time.Second

// maxSilence is how long reports of a live endpoint may be missing because it is silent for a
// second or two. Its group still serves: answers that have begun continue afterwards.
const maxSilence = 2500 * time.Millisecond

// isSilent reports whether the reports of ep are missing and nothing else shows that its process
// has ended.
func (ep *endpointState) isSilent() bool { return !ep.Fresh && !ep.Exited }

// mayHaveWork reports whether the last report of ep still tells what the endpoint does: it is
// fresh, or ep has been silent for no longer than a live endpoint may be.
func (ep *endpointState) mayHaveWork(now time.Time) bool {
	return ep.Fresh || ep.isSilent() && !ep.unreachableSince.IsZero() && now.Sub(ep.unreachableSince) < maxSilence
}

// replaceDelay returns how long to wait for the lost endpoint ep before it is replaced by an
// endpoint that has loaded the model, or by one that must load the model first.
func (c *Core) replaceDelay(ep *endpointState, loaded bool) time.Duration {
	load := c.loadTime()
	if loaded {
		load = swapTime
	}
	wait := c.absences.bestWait(load)
	if ep.isSilent() {
		return max(wait, maxSilence)
	}
	return wait
}

// loadTime returns the average time of recent loads, or Policy.LoadTime before the first load.
func (c *Core) loadTime() time.Duration {
	if c.meanLoadTime != 0 {
		return c.meanLoadTime
	}
	return c.policy.LoadTime
}

// loadSmoothing is the number of loads over which the load time is smoothed.
const loadSmoothing = 4

// recordLoadTime updates the average load time with the time of one load.
func (c *Core) recordLoadTime(d time.Duration) {
	c.meanLoadTime = c.loadTime() + (d-c.loadTime())/loadSmoothing
}
