package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"

	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// hopField is the header field that makes a request one of another instance, which reaches no endpoint, and
// that says in the answer where it comes from. Its value is JSON.
const hopField = "Amaranthmill-Hop"

// hopRequest is what the instance that accepted a request tells the peer that sends it to endpoints. The
// peer decides which endpoint runs it, at most one. The route was resolved where the request was accepted,
// so that the peer needs no configuration of the same version.
type hopRequest struct {
	From        identifier.Instance      `json:"from"`
	Version     identifier.BundleVersion `json:"version"` // of the configuration under which the request was accepted
	Route       string                   `json:"route"`
	Kind        string                   `json:"kind"` // as in the logs
	Resumable   bool                     `json:"resumable,omitempty"`
	Account     identifier.ClientAccount `json:"account,omitempty"`
	Service     identifier.Service       `json:"service"`
	Pool        identifier.Pool          `json:"pool"`
	Priority    int                      `json:"priority"`
	LatencyGoal formatter.Duration       `json:"latencyGoal,omitempty"`
	GapGoal     formatter.Duration       `json:"gapGoal,omitempty"`
	Age         formatter.Duration       `json:"age"`                // since the request arrived at its instance
	Left        formatter.Duration       `json:"left"`               // until the caller no longer waits
	LastEvent   int                      `json:"lastEvent"`          // that the caller has received; -1 for none
	FailedAt    []identifier.Endpoint    `json:"failedAt,omitempty"` // endpoints that get no attempt
}

// HopError reports that the header field of a request or an answer of a peer is malformed.
type HopError struct{ Problem string }

func (e *HopError) Error() string { return "forwarder: " + hopField + " " + e.Problem }

// parseHopRequest parses the field of a request. Its error is *HopError.
func parseHopRequest(h http.Header) (*hopRequest, error) {
	var r hopRequest
	if err := json.Unmarshal([]byte(h.Get(hopField)), &r); err != nil {
		return nil, &HopError{Problem: "is no JSON object of a request: " + err.Error()}
	}
	_, isKnown := resolver.ParseKind(r.Kind)
	switch {
	case r.From == "":
		return nil, &HopError{Problem: `lacks "from", the instance that accepted the request`}
	case !isKnown:
		return nil, &HopError{Problem: fmt.Sprintf("has the unknown kind %q", r.Kind)}
	case r.Service == "" || r.Pool == "":
		return nil, &HopError{Problem: `lacks "service" or "pool"`}
	case r.Left <= 0 || r.Age < 0 || r.LatencyGoal < 0 || r.GapGoal < 0:
		return nil, &HopError{Problem: `has a time below zero, or no time "left"`}
	}
	return &r, nil
}

// match returns the route and the client account of the request.
func (r *hopRequest) match() resolver.Match {
	kind, _ := resolver.ParseKind(r.Kind)
	return resolver.Match{Version: r.Version, Account: r.Account, Priority: r.Priority, Route: &resolver.Route{
		Name: r.Route, Kind: kind, Timeout: r.Left.Std(), LatencyGoal: r.LatencyGoal.Std(), GapGoal: r.GapGoal.Std(),
		Priority: r.Priority, MaxAttempts: 1, Resumable: r.Resumable,
	}}
}

// Outcomes of a request of a peer.
const (
	hopAnswered = "answered" // the answer is the endpoint's own
	hopNotRun   = "notRun"
	hopUnknown  = "unknown"
)

// hopAnswer is what a peer says about the answer to a request of another instance.
type hopAnswer struct {
	Outcome      string                  `json:"outcome"`
	Reason       scheduler.Reason        `json:"reason,omitempty"`
	RetryAfter   formatter.Duration      `json:"retryAfter,omitempty"`
	Endpoint     identifier.Endpoint     `json:"endpoint,omitempty"` // that answered
	ProcessStart identifier.ProcessStart `json:"processStart,omitempty"`
}

func (a hopAnswer) encode() string {
	text, err := json.Marshal(a)
	if err != nil {
		panic(err) // its fields always encode
	}
	return string(text)
}

// process returns the process that answered.
func (a hopAnswer) process() identifier.Process {
	return identifier.Process{Endpoint: a.Endpoint, Start: a.ProcessStart}
}

// parseHopAnswer parses the field of an answer. Its error is *HopError.
func parseHopAnswer(h http.Header) (hopAnswer, error) {
	var a hopAnswer
	if err := json.Unmarshal([]byte(h.Get(hopField)), &a); err != nil {
		return a, &HopError{Problem: "is no JSON object of an answer: " + err.Error()}
	}
	switch {
	case a.Outcome == hopAnswered && a.Endpoint != "", a.Outcome == hopNotRun, a.Outcome == hopUnknown:
		return a, nil
	}
	return a, &HopError{Problem: fmt.Sprintf("has the outcome %q, or lacks the endpoint", a.Outcome)}
}
