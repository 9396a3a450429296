package messenger

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"amaranthmill/forwarder"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// explainQueryWire is the wire form of forwarder.Query.
type explainQueryWire struct {
	Host         string                   `json:"host"`
	Path         string                   `json:"path"`
	Method       string                   `json:"method,omitempty"`
	Account      identifier.ClientAccount `json:"account,omitempty"`
	Key          string                   `json:"key,omitempty"`
	Model        string                   `json:"model,omitempty"`
	PromptTokens int                      `json:"promptTokens,omitempty"`
}

// Explanation is what a request would get at an instance. It is the answer to POST /explain, and what millctl shows. Times
// are relative to the moment of the explanation, because clocks differ.
type Explanation struct {
	Instance         identifier.Instance        `json:"instance"`
	FailureDomain    identifier.FailureDomain   `json:"failureDomain"`
	Version          identifier.BundleVersion   `json:"version"`
	EvacuatedDomains []identifier.FailureDomain `json:"evacuatedDomains"`
	Route            string                     `json:"route,omitempty"`
	Account          identifier.ClientAccount   `json:"account,omitempty"`
	Priority         int                        `json:"priority"`
	Refusal          *ExplainedRefusal          `json:"refusal,omitempty"` // why the request is refused before it is scheduled
	Services         []ExplainedService         `json:"services"`          // of the route's traffic split
}

// ExplainedRefusal says why a request is refused before it is scheduled. Status is zero if the query itself is wrong.
type ExplainedRefusal struct {
	Status int    `json:"status,omitempty"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

// ExplainedService is what a request would get that the traffic split sends to a service.
type ExplainedService struct {
	Service    identifier.Service   `json:"service"`
	Weight     int                  `json:"weight"`
	Pool       identifier.Pool      `json:"pool"`
	Hint       string               `json:"hint,omitempty"`
	Decision   ExplainedDecision    `json:"decision"`
	Candidates []ExplainedCandidate `json:"candidates"` // those that may take the request first, in the order of preference
}

// Outcomes of ExplainedDecision.
const (
	ExplainedSent    = "sent"
	ExplainedWaits   = "waits"
	ExplainedRefused = "refused"
)

// ExplainedDecision is the wire form of scheduler.Decision.
type ExplainedDecision struct {
	Outcome    string              `json:"outcome"`
	Endpoint   identifier.Endpoint `json:"endpoint,omitempty"`
	Peer       identifier.Instance `json:"peer,omitempty"`
	Reason     scheduler.Reason    `json:"reason,omitempty"`
	Position   int                 `json:"position,omitempty"`
	ExpectedIn formatter.Duration  `json:"expectedIn,omitempty"` // absent if it is not known
	GivenUpIn  formatter.Duration  `json:"givenUpIn,omitempty"`
	RetryAfter formatter.Duration  `json:"retryAfter,omitempty"`
}

// ExplainedCandidate is the wire form of scheduler.Candidate.
type ExplainedCandidate struct {
	Endpoint       identifier.Endpoint      `json:"endpoint"`
	Group          identifier.Group         `json:"group,omitempty"`
	FailureDomain  identifier.FailureDomain `json:"failureDomain"`
	Slots          int                      `json:"slots"`
	Obstacle       scheduler.Obstacle       `json:"obstacle,omitempty"`
	ObstacleEndsIn formatter.Duration       `json:"obstacleEndsIn,omitempty"`
	Score          float64                  `json:"score"`
	Load           float64                  `json:"load"`
	LoadReportAge  *formatter.Duration      `json:"loadReportAge,omitempty"` // absent if the endpoint has reported no load
	LearnedLimit   float64                  `json:"learnedLimit,omitempty"`
	PastLimit      bool                     `json:"pastLearnedLimit,omitempty"`
	Penalties      map[string]float64       `json:"penalties,omitempty"`
	ColdFor        formatter.Duration       `json:"coldFor,omitempty"`
	RateLimit      float64                  `json:"limitPerSecond,omitempty"`
	StalledFor     formatter.Duration       `json:"stalledFor,omitempty"`
}

// serveExplain answers the operator with what a request would get at this instance.
func (m *Messenger) serveExplain(w http.ResponseWriter, r *http.Request) {
	var q explainQueryWire
	if !readBody(w, r, &q) {
		return
	}
	if q.Host == "" || q.Path == "" || q.PromptTokens < 0 {
		http.Error(w, "host and path are required, and promptTokens must not be negative", http.StatusBadRequest)
		return
	}
	out := encodeExplanation(m.cfg.Explain(forwarder.Query(q)))
	out.Instance, out.FailureDomain = m.cfg.Instance, m.cfg.FailureDomain
	out.EvacuatedDomains = []identifier.FailureDomain{}
	for _, e := range m.cfg.Evacuations() {
		out.EvacuatedDomains = append(out.EvacuatedDomains, e.FailureDomain)
	}
	m.writeJSON(w, out)
}

func encodeExplanation(e forwarder.Explanation) Explanation {
	out := Explanation{Version: e.Version, Route: e.Route, Account: e.Account, Priority: e.Priority, Services: []ExplainedService{}}
	if e.Refusal.Reason != "" {
		r := ExplainedRefusal(e.Refusal)
		out.Refusal = &r
	}
	for _, s := range e.Services {
		x := ExplainedService{
			Service: s.Service, Weight: s.Weight, Pool: s.Pool, Hint: s.Hint, Decision: encodeDecision(e.At, s.Decision), Candidates: []ExplainedCandidate{},
		}
		for _, c := range s.Candidates {
			x.Candidates = append(x.Candidates, encodeCandidate(e.At, c))
		}
		out.Services = append(out.Services, x)
	}
	return out
}

func encodeDecision(now time.Time, d scheduler.Decision) ExplainedDecision {
	out := ExplainedDecision{
		Outcome: ExplainedRefused, Peer: d.Peer, Reason: d.Reason, Position: d.Position,
		ExpectedIn: timeUntil(now, d.ExpectedAt), GivenUpIn: timeUntil(now, d.GivenUpAt), RetryAfter: formatter.Duration(d.RetryAfter),
	}
	if d.Target != nil {
		out.Endpoint = d.Target.ID
	}
	switch {
	case d.IsSent():
		out.Outcome = ExplainedSent
	case d.Waits():
		out.Outcome = ExplainedWaits
	}
	return out
}

func encodeCandidate(now time.Time, c scheduler.Candidate) ExplainedCandidate {
	out := ExplainedCandidate{
		Endpoint: c.Target.ID, Group: c.Target.Group, FailureDomain: c.Target.FailureDomain, Slots: c.Target.Slots, Obstacle: c.Obstacle,
		ObstacleEndsIn: timeUntil(now, c.Until), Score: c.Score, Load: c.Load, LearnedLimit: c.LearnedLimit, PastLimit: c.PastLimit,
		Penalties: map[string]float64{}, ColdFor: timeUntil(now, c.ColdUntil), RateLimit: c.RateLimit,
	}
	if c.LoadAge >= 0 {
		age := formatter.Duration(c.LoadAge.Round(time.Millisecond))
		out.LoadReportAge = &age
	}
	if !c.StalledSince.IsZero() {
		out.StalledFor = formatter.Duration(now.Sub(c.StalledSince).Round(time.Millisecond))
	}
	for _, p := range c.Penalties {
		out.Penalties[p.Name] = p.Value
	}
	return out
}

// timeUntil returns the time from now until at in whole milliseconds, or zero if at is zero.
func timeUntil(now, at time.Time) formatter.Duration {
	if at.IsZero() {
		return 0
	}
	return formatter.Duration(at.Sub(now).Round(time.Millisecond))
}

// Explain returns what a request would get at the instance that answers peers at an address. Its error is *StatusError, with
// status 404 from an instance of a version without explanations, or an error of the HTTP exchange.
func (o Operator) Explain(ctx context.Context, address netip.AddrPort, q forwarder.Query) (Explanation, error) {
	m := Messenger{cfg: Config{HTTP: o.HTTP}}
	var out Explanation
	err := m.exchange(ctx, Peer{Address: address}, http.MethodPost, pathExplain, explainQueryWire(q), &out)
	return out, err
}
