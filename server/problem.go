package server

import (
	"math"
	"net/http"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/problemwriter"
	"amaranthmill/router"
)

// refusal returns the outcome of a request that was refused before anything was sent.
func refusal(status int, reason, detail string) router.NotRun {
	return router.NotRun{Status: status, Reason: reason, Detail: detail}
}

// problemOf returns the document of an outcome, or false for a whole answer.
func problemOf(o router.Outcome, id identifier.Request) (problemwriter.Problem, bool) {
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

// writeProblem sends the problem document of o as the whole answer.
func writeProblem(w http.ResponseWriter, id identifier.Request, o router.Outcome) {
	if p, ok := problemOf(o, id); ok {
		p.Write(w)
	}
}
