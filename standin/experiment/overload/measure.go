package main

import (
	"slices"
	"time"
)

// Times of a run that count.
const (
	warmUp         = 20 * time.Second
	recoveryWindow = 5 * time.Second
	recoveredShare = 0.95
)

// load returns the measures of a run without a stop, in percent and seconds: goodput, the
// first tries on time for the priorities 5, 3, 2, 1 and 0, the least share of an
// account's requests that were answered in some try, and the 95th percentile of the
// time to a refusal.
func (w *world) load() []float64 {
	capacity := time.Duration(w.trace.Slots) * w.length
	out := []float64{100 * float64(w.useful) / float64(capacity)}
	for _, priority := range []int{5, 3, 2, 1, 0} {
		out = append(out, w.share(func(q *request) bool { return w.trace.Accounts[q.account].Priority == priority }, isOnTime))
	}
	worst := 100.0
	for a := range w.trace.Accounts {
		worst = min(worst, w.share(func(q *request) bool { return q.account == a }, func(q *request) bool { return q.answered }))
	}
	return append(out, worst, w.refusalTime())
}

func isOnTime(q *request) bool { return q.onTime }

// share returns the percentage of the requests of some that have a property, leaving
// out those of the warm-up and those whose time is not over.
func (w *world) share(of, has func(*request) bool) float64 {
	all, having := 0, 0
	for _, q := range w.requests {
		if since(q.came) < warmUp || since(q.came) > w.length-4*w.trace.Deadline.Std() || !of(q) {
			continue
		}
		all++
		if has(q) {
			having++
		}
	}
	return 100 * float64(having) / float64(max(all, 1))
}

func (w *world) refusalTime() float64 {
	if len(w.refusals) == 0 {
		return 0
	}
	slices.Sort(w.refusals)
	return w.refusals[len(w.refusals)*95/100].Seconds()
}

// recovery returns the seconds after a stop from which on every window of arrivals has its
// share on time for the rest of the run, for the highest priority and for all, and the
// tries to a request while it lasted.
func (w *world) recovery(stop outage) []float64 {
	highest := 0
	for _, a := range w.trace.Accounts {
		highest = max(highest, a.Priority)
	}
	from, to := stop.From.Std(), stop.To.Std()
	tries, requests := 0, 0
	for _, at := range w.starts {
		if since(at) >= from && since(at) < to {
			tries++
		}
	}
	for _, q := range w.requests {
		if since(q.came) >= from && since(q.came) < to {
			requests++
		}
	}
	return []float64{w.recoveryOf(to, highest), w.recoveryOf(to, 0), float64(tries) / float64(max(requests, 1))}
}

// recoveryOf returns the seconds after a stop that ended at to until the requests of at
// least a priority are on time again.
func (w *world) recoveryOf(to time.Duration, priority int) float64 {
	recovered := to
	for at := to; at+recoveryWindow <= w.length-w.trace.Deadline.Std(); at += recoveryWindow {
		if w.windowShare(at, priority) < recoveredShare {
			recovered = at + recoveryWindow
		}
	}
	return (recovered - to).Seconds()
}

// windowShare returns the share on time of the requests of at least a priority that came
// in the window from at.
func (w *world) windowShare(at time.Duration, priority int) float64 {
	all, onTime := 0, 0
	for _, q := range w.requests {
		came := since(q.came)
		if came < at || came >= at+recoveryWindow || w.trace.Accounts[q.account].Priority < priority {
			continue
		}
		all++
		if q.onTime {
			onTime++
		}
	}
	return float64(onTime) / float64(max(all, 1))
}
