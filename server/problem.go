package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/router"
)

// The outcomes that a problem document names.
const (
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"
)

// problem is a problem document (RFC 9457) with the outcome of the request.
type problem struct {
	Type       string             `json:"type"`
	Title      string             `json:"title"`
	Status     int                `json:"status"`
	Detail     string             `json:"detail"`
	Outcome    string             `json:"outcome"`
	Reason     string             `json:"reason"`
	Request    identifier.Request `json:"request,omitempty"`
	RetryAfter int                `json:"retryAfter,omitempty"` // seconds
}

// refusal returns the outcome of a request that was refused before anything was sent.
func refusal(status int, reason, detail string) router.NotRun {
	return router.NotRun{Status: status, Reason: reason, Detail: detail}
}

// problemOf returns the document of an outcome, or false for a whole answer.
func problemOf(o router.Outcome, id identifier.Request) (problem, bool) {
	switch o := o.(type) {
	case router.NotRun:
		return newProblem(outcomeNotRun, o.Status, o.Reason, o.Detail, o.RetryAfter, id), true
	case router.Unknown:
		return newProblem(outcomeUnknown, o.Status, o.Reason, o.Detail, o.RetryAfter, id), true
	default:
		return problem{}, false
	}
}

func newProblem(outcome string, status int, reason, detail string, retry time.Duration, id identifier.Request) problem {
	return problem{
		Type: "urn:amaranthmill:problem:" + reason, Title: http.StatusText(status), Status: status,
		Detail: detail, Outcome: outcome, Reason: reason, Request: id,
		RetryAfter: int(math.Ceil(retry.Seconds())),
	}
}

// writeProblem sends the problem document of o as the whole answer.
func writeProblem(w http.ResponseWriter, id identifier.Request, o router.Outcome) {
	p, ok := problemOf(o, id)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // a caller that has gone needs no answer
}
