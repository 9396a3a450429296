package problemwriter

import (
	"encoding/json"
	"net/http"
	"strconv"

	"amaranthmill/internal/identifier"
)

// The values of Problem.Outcome.
const (
	OutcomeNotRun  = "notRun"
	OutcomeUnknown = "unknown"
)

// Problem is a problem document with the outcome of the request.
type Problem struct {
	Type       string             `json:"type"`
	Title      string             `json:"title"`
	Status     int                `json:"status"`
	Detail     string             `json:"detail"`
	Outcome    string             `json:"outcome"`
	Reason     string             `json:"reason"`
	Request    identifier.Request `json:"request,omitempty"`
	RetryAfter float64            `json:"retryAfter,omitempty"` // seconds
}

// New returns the problem document of the request id. The reason is a short code in camel case
// and ends the URN in Problem.Type.
func New(outcome string, status int, reason, detail string, id identifier.Request) Problem {
	return Problem{
		Type: "urn:amaranthmill:problem:" + reason, Title: http.StatusText(status), Status: status,
		Detail: detail, Outcome: outcome, Reason: reason, Request: id,
	}
}

// Write writes p as the complete HTTP answer. It ignores write errors, because a caller that
// has disconnected needs no answer.
func (p Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(p.RetryAfter, 'f', -1, 64))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
