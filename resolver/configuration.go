package resolver

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Configuration is what the operator wants to run, under one version.
type Configuration struct {
	Version  identifier.BundleVersion
	Routes   []Route
	Services []Service
	Accounts []Account // empty if requests need no key
	Limits   Limits
}

// Kind says what may be repeated of a request.
type Kind uint8

// The kinds of request.
const (
	KindNonIdempotent Kind = iota // runs at most once
	KindIdempotent                // may run more than once
	KindStream                    // answered by server-sent events
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	}
	return "nonIdempotent"
}

// Route says how the requests below a path prefix of a host are served.
type Route struct {
	Name        string
	Host        string // in lower case, without a port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // that a request is kept waiting at most
	LatencyGoal time.Duration // to the whole answer, or to the first event of a stream
	GapGoal     time.Duration // between two events of a stream; zero for other kinds
	Priority    int           // 0 goes first
	Shares      []Share       // the services that requests are split over
	MaxAttempts int           // endpoints that one request may run at
	Public      bool          // needs no key
	NamesModel  bool          // requests name a model, which replica groups serve
	Resumable   bool          // a stream may go on at another endpoint after its last event
}

// IsRepeatable reports whether a request may run at a second endpoint after a first one may have run it.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService returns the service of a request, given a number drawn evenly from 0 to 1.
func (r *Route) PickService(draw float64) identifier.Service {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return ""
}

// Share is a service's part of a route's requests, in proportion to the other weights.
type Share struct {
	Service identifier.Service
	Weight  int
}

// Service is a set of endpoints that do the same.
type Service struct {
	Name           identifier.Service
	HealthPath     string
	MaxConnections int            // of one endpoint, from all callers
	Engine         *EngineProfile // nil for a plain service
}

// EngineProfile describes the engines of a service and the models that they run.
type EngineProfile struct {
	Slots                  int // requests that one replica group runs at once
	Models                 []Model
	LoadsPerSecond         float64       // of weights, that may start over all engines
	FullSpeedLoads         int           // beyond which each load takes longer
	StagedModels           int           // that the host of an engine keeps at hand
	OpenTime               time.Duration // from the order to open a group until it serves
	MeanPromptTokens       int           // tokens, mean
	MeanAnswerTokens       int           // tokens, mean
	PrefillTokensPerSecond float64       // prompt tokens that an engine reads
	DecodeStep             time.Duration // of one token at an idle engine
}

// Model returns the model of that name, or false.
func (p *EngineProfile) Model(name string) (Model, bool) {
	for _, m := range p.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Model is a model that replica groups run.
type Model struct {
	Name         string
	GroupSize    int           // engines of one group
	Share        float64       // of the work at the start
	TimeFactor   float64       // factor on the engine's times
	LoadTime     time.Duration // of its weights from the weight store
	WarmLoadTime time.Duration // of its weights from the engine's host
}

// Account is a client account and the keys that stand for it.
type Account struct {
	Name        identifier.ClientAccount
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before the route's
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
