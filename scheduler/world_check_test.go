package scheduler_test

import (
	"fmt"
	"slices"

	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// recordRun records that the endpoint of a runs it and checks the number of runs.
func (w *world) recordRun(a *simAttempt) {
	if a.ran {
		return
	}
	a.ran = true
	r := a.request
	r.ran++
	if r.ran > r.runLimit() {
		w.errorf(r, "runs in %d attempts, at most %d allowed", r.ran, r.runLimit())
	}
}

// runLimit returns the number of attempts that may run r.
func (r *simRequest) runLimit() int {
	if !r.Repeatable {
		return 1
	}
	return max(r.MaxAttempts, 1)
}

// countPossibleRuns returns the number of attempts of r that have run or may still run.
func (r *simRequest) countPossibleRuns() int {
	n := 0
	for _, a := range r.attempts {
		if a.ran || a.live {
			n++
		}
	}
	return n
}

// checkSend checks that the send of a keeps the retry budget and the bound on runs, which is
// one run if the request is not repeatable.
func (w *world) checkSend(a *simAttempt) {
	r := a.request
	if n := r.countPossibleRuns(); n > r.runLimit() {
		w.errorf(r, "may run in %d attempts, at most %d allowed", n, r.runLimit())
	}
	if a.number != len(r.attempts) {
		w.errorf(r, "has attempt %d as its attempt %d", len(r.attempts), a.number)
	}
	if a.number == 1 {
		return
	}
	w.retries++
	if bound := w.slack + w.ratio*float64(w.arrivals); float64(w.retries) > bound {
		w.errorf(r, "is retry %d, at most %.2f allowed", w.retries, bound)
	}
}

// checkOutcome checks that no answer ends early. All endpoints that accepted r would have
// completed it, unless they are gone.
func (w *world) checkOutcome(r *simRequest) {
	accepted := slices.ContainsFunc(r.attempts, func(a *simAttempt) bool { return a.accepted })
	switch o := r.outcome.(type) {
	case scheduler.Delivered:
		if r.relayed != r.events {
			w.errorf(r, "is delivered after event %d of %d", r.relayed, r.events)
		}
		return
	case scheduler.NotRun:
		if r.ran > 0 {
			w.errorf(r, "has run and ends as %s", describeOutcome(o))
		}
	}
	if !w.now.Before(r.Deadline) {
		return
	}
	_, unknown := r.outcome.(scheduler.Unknown)
	switch {
	case r.relayed > 0:
		w.errorf(r, "is cut after event %d of %d: %s", r.relayed, r.events, describeOutcome(r.outcome))
	case !r.Repeatable && r.ran > 0, unknown && accepted:
		w.errorf(r, "was accepted and gets neither an answer nor a refusal: %s", describeOutcome(r.outcome))
	}
}

func (w *world) errorf(r *simRequest, format string, args ...any) {
	w.t.Errorf("%s: request %d %s", w.now.Sub(scripter.Start), r.ref, fmt.Sprintf(format, args...))
}
