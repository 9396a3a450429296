package main

import (
	"slices"
	"time"
)

const (
	warmUp         = 20 * time.Second // load measures other than goodput ignore earlier arrivals
	recoveryWindow = 5 * time.Second  // length of the windows of arrivals
	recoveredShare = 0.95             // minimum fraction of requests on time in a recovered window
)

// loadMeasures returns the measures of a run without an outage: goodput as a percentage of the
// capacity; for each of the priorities 5, 3, 2, 1 and 0 the percentage of requests whose first
// attempt was answered before its deadline; the lowest percentage, over the client accounts, of
// requests that were answered by any attempt; and the 95th percentile of the time to a refusal,
// in seconds.
func (s *simulation) loadMeasures() []float64 {
	capacity := time.Duration(s.trace.Slots) * s.length
	out := []float64{100 * float64(s.usefulTime) / float64(capacity)}
	for _, priority := range []int{5, 3, 2, 1, 0} {
		out = append(out, s.percentage(func(q *request) bool { return s.trace.Accounts[q.account].Priority == priority }, isOnTime))
	}
	worst := 100.0
	for a := range s.trace.Accounts {
		worst = min(worst, s.percentage(func(q *request) bool { return q.account == a }, func(q *request) bool { return q.answered }))
	}
	return append(out, worst, s.refusalTimeP95())
}

func isOnTime(q *request) bool { return q.onTime }

// percentage returns the percentage of the included requests that are counted. It ignores
// requests that arrived during the warm-up, or so close to the end of the run that their attempts
// may not have ended.
func (s *simulation) percentage(included, counted func(*request) bool) float64 {
	all, matching := 0, 0
	for _, q := range s.requests {
		if elapsed(q.arrivedAt) < warmUp || elapsed(q.arrivedAt) > s.length-4*s.trace.Deadline.Std() || !included(q) {
			continue
		}
		all++
		if counted(q) {
			matching++
		}
	}
	return 100 * float64(matching) / float64(max(all, 1))
}

// refusalTimeP95 returns the 95th percentile of the time to a refusal in seconds, or 0 if no
// attempt was refused.
func (s *simulation) refusalTimeP95() float64 {
	if len(s.refusals) == 0 {
		return 0
	}
	slices.Sort(s.refusals)
	return s.refusals[len(s.refusals)*95/100].Seconds()
}

// recoveryMeasures returns the recovery time in seconds after an outage, for the highest priority
// and for all priorities, and the number of attempts per request during the outage.
func (s *simulation) recoveryMeasures(outage outage) []float64 {
	highest := 0
	for _, a := range s.trace.Accounts {
		highest = max(highest, a.Priority)
	}
	from, to := outage.From.Std(), outage.To.Std()
	attempts, requests := 0, 0
	for _, at := range s.attemptTimes {
		if elapsed(at) >= from && elapsed(at) < to {
			attempts++
		}
	}
	for _, q := range s.requests {
		if elapsed(q.arrivedAt) >= from && elapsed(q.arrivedAt) < to {
			requests++
		}
	}
	return []float64{s.recoveryTime(to, highest), s.recoveryTime(to, 0), float64(attempts) / float64(max(requests, 1))}
}

// recoveryTime returns the seconds from outageEnd to the end of the last window in which the
// fraction of requests on time is below recoveredShare, or 0 if there is no such window. It counts
// requests of at least the given priority.
func (s *simulation) recoveryTime(outageEnd time.Duration, priority int) float64 {
	recovered := outageEnd
	for start := outageEnd; start+recoveryWindow <= s.length-s.trace.Deadline.Std(); start += recoveryWindow {
		if s.onTimeShare(start, priority) < recoveredShare {
			recovered = start + recoveryWindow
		}
	}
	return (recovered - outageEnd).Seconds()
}

// onTimeShare returns the fraction of requests on time among those of at least the given priority
// that arrived in the window that begins at start.
func (s *simulation) onTimeShare(start time.Duration, priority int) float64 {
	all, onTime := 0, 0
	for _, q := range s.requests {
		arrivedAt := elapsed(q.arrivedAt)
		if arrivedAt < start || arrivedAt >= start+recoveryWindow || s.trace.Accounts[q.account].Priority < priority {
			continue
		}
		all++
		if q.onTime {
			onTime++
		}
	}
	return float64(onTime) / float64(max(all, 1))
}
