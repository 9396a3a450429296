package server

import (
	"math"
	"net/http"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/problemwriter"
	"amaranthmill/router"
)

// newRefusal returns the outcome of a request that was refused before any part was sent to an
// endpoint.
func newRefusal(status int, reason, detail string) router.NotRun {
	return router.NotRun{Status: status, Reason: reason, Detail: detail}
}

// newProblem returns the problem document of an outcome, or false if the answer is complete.
func newProblem(o router.Outcome, id identifier.Request) (problemwriter.Problem, bool) {
	var p problemwriter.Problem
	var wait time.Duration
	switch o := o.(type) {
	case router.NotRun:
		p, wait = problemwriter.New(problemwriter.OutcomeNotRun, o.Status, o.Reason, o.Detail, id), o.RetryAfter
	case router.Unknown:
		p, wait = problemwriter.New(problemwriter.OutcomeUnknown, o.Status, o.Reason, o.Detail, id), o.RetryAfter
	default:
		return p, false
	}
	p.RetryAfter = math.Ceil(wait.Seconds())
	return p, true
}

// writeProblem sends the problem document of o as the complete answer.
func writeProblem(w http.ResponseWriter, id identifier.Request, o router.Outcome) {
	if p, ok := newProblem(o, id); ok {
		p.Write(w)
	}
}
