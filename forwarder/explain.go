package forwarder

import (
	"fmt"
	"strings"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// Query describes a request that is explained and not sent.
type Query struct {
	Host, Path, Method string
	Account            identifier.ClientAccount // whose first key the request has; empty if Key says it
	Key                string
	Model              string
	PromptTokens       int
}

// Explanation is what a request would get at this instance.
type Explanation struct {
	At       time.Time
	Version  identifier.BundleVersion // of the configuration in force; zero for none
	Route    string                   // empty if the request is refused before it is scheduled
	Account  identifier.ClientAccount
	Priority int
	Refusal  Refusal // the zero value if the request is scheduled
	Services []ServiceExplanation
}

// Refusal says why a request is refused before it is scheduled. Status is zero if the query itself is wrong.
type Refusal struct {
	Status         int
	Reason, Detail string
}

// ServiceExplanation is what a request would get that the route's traffic split sends to a service.
type ServiceExplanation struct {
	Service identifier.Service
	Weight  int // of the service in the split
	Pool    identifier.Pool
	Hint    string // what is missing in the query; empty for nothing
	scheduler.Explanation
}

// Explain returns what a request would get that arrived now. It draws no service of a traffic split but explains each, and
// changes nothing.
func (f *Forwarder) Explain(q Query) Explanation {
	out := Explanation{At: time.Now(), Version: f.cfg.Resolver.Version()}
	key, ok := f.keyOf(q)
	if !ok {
		out.Refusal = Refusal{Reason: "unknownAccount", Detail: fmt.Sprintf("version %d has no client account %q with a key", out.Version, q.Account)}
		return out
	}
	path, _, _ := strings.Cut(q.Path, "?")
	match, err := f.cfg.Resolver.Resolve(resolver.Query{Host: q.Host, Path: path, Key: key})
	if err != nil {
		status, reason := refusalStatus(err)
		out.Refusal = Refusal{Status: status, Reason: reason, Detail: err.Error()}
		return out
	}
	out.Version, out.Route, out.Account, out.Priority = match.Version, match.Route.Name, match.Account, match.Priority
	for _, share := range match.Route.Shares {
		if share.Weight > 0 {
			out.Services = append(out.Services, f.explainService(out.At, q, match, share))
		}
	}
	return out
}

// explainService explains a request that the traffic split sends to a service.
func (f *Forwarder) explainService(at time.Time, q Query, match resolver.Match, share resolver.Share) ServiceExplanation {
	fields := RequestFields{Model: q.Model, PromptTokens: q.PromptTokens}
	x := &exchange{arrivedAt: at, match: match, fields: fields, service: share.Service, deadline: at.Add(match.Route.Timeout), pool: f.poolOf(share.Service, fields)}
	out := ServiceExplanation{Service: share.Service, Weight: share.Weight, Pool: x.pool, Hint: f.modelHint(share.Service, q.Model)}
	f.step.Inspect(func() {
		out.Explanation = f.core.Explain(at, scheduler.Ref(f.lastRef.Load()+1), f.schedulerRequest(x))
	})
	return out
}

// keyOf returns the key that q's request has, or false if q names an account that the configuration does not have, or that has no key.
func (f *Forwarder) keyOf(q Query) (string, bool) {
	if q.Account == "" {
		return q.Key, true
	}
	if c := f.cfg.Resolver.Configuration(); c != nil {
		for _, a := range c.Accounts {
			if a.Name == q.Account && len(a.Keys) > 0 {
				return a.Keys[0], true
			}
		}
	}
	return "", false
}

// modelHint says which models a service runs if it does not run this one.
func (f *Forwarder) modelHint(service identifier.Service, model string) string {
	s := f.cfg.Resolver.Service(service)
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return ""
	}
	if _, ok := s.Engine.Model(model); ok {
		return ""
	}
	var names []string
	for _, m := range s.Engine.Models {
		names = append(names, m.Name)
	}
	return fmt.Sprintf("service %s has no model %q; it runs %s", service, model, strings.Join(names, ", "))
}
