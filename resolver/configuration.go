package resolver

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  identifier.BundleVersion
	Routes   []Route
	Services []Service
	Accounts []Account // empty if requests need no key
	Limits   Limits
}

// Kind says whether a request may be repeated and how its answer is sent.
type Kind uint8

// The kinds of request.
const (
	KindNonIdempotent Kind = iota // may run at most once
	KindIdempotent                // may run more than once
	KindStream                    // answered with server-sent events
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	}
	return "nonIdempotent"
}

// ParseKind returns the kind with a name that Kind.String returns, or false if there is none.
func ParseKind(name string) (Kind, bool) {
	for k := KindNonIdempotent; k <= KindStream; k++ {
		if k.String() == name {
			return k, true
		}
	}
	return 0, false
}

// Route configures how requests below a path prefix of a host are served.
type Route struct {
	Name        string
	Host        string // in lower case, without a port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // upper bound on the time that a request is kept waiting
	LatencyGoal time.Duration // until the complete answer, or until the first event of a stream
	GapGoal     time.Duration // between two events of a stream; zero for other kinds
	Priority    int           // 0 is the highest
	Shares      []Share       // the services among which requests are split
	MaxAttempts int           // the number of endpoints at which one request may run
	Public      bool          // requests need no key
	NamesModel  bool          // each request names a model, which replica groups serve
	Resumable   bool          // another endpoint may resume a stream after its last event
}

// IsRepeatable reports whether a request may run at a second endpoint after it may have run at a first.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService picks the service of a request in proportion to the weights of the shares. The
// argument draw is a random number, uniform in [0, 1).
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

// Share is the weight of a service in the traffic split of a route.
type Share struct {
	Service identifier.Service
	Weight  int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           identifier.Service
	HealthPath     string
	MaxConnections int            // to one endpoint, from all callers
	Cold           ColdProfile    // the zero value if its endpoints are never cold
	Engine         *EngineProfile // nil for a plain service
}

// ColdProfile describes the endpoints of a service that are cold: for a time after their start, or after their
// failure domain was evacuated, they bear only a low rate of requests.
type ColdProfile struct {
	Duration  time.Duration // for which an endpoint is cold after its start
	PerSecond float64       // requests that a cold endpoint takes from all instances together; zero for no limit
}

// EngineProfile describes the engines of a service and the models that they run.
type EngineProfile struct {
	Slots                  int // requests that one replica group runs concurrently
	Models                 []Model
	LoadsPerSecond         float64       // loads of weights that may start per second, over all engines
	FullSpeedLoads         int           // concurrent loads beyond which each load takes longer
	StagedModels           int           // models whose weights the host of one engine can keep
	OpenTime               time.Duration // from the order to open a group until the group serves
	MeanPromptTokens       int
	MeanAnswerTokens       int
	PrefillTokensPerSecond float64       // prompt tokens that one engine processes per second
	TokensPerEvent         int           // tokens that an event of a stream holds, because an engine decodes so many steps in one pass; at least 1
	DecodeStep             time.Duration // time to generate one token at an otherwise idle engine
	DecodeStepPerRequest   time.Duration // by which each running request lengthens that time
}

// Model returns the named model. The second result is false if the profile has no such model.
func (p *EngineProfile) Model(name string) (Model, bool) {
	for _, m := range p.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Model describes a model that replica groups run.
type Model struct {
	Name         string
	GroupSize    int           // number of engines in one group
	Share        float64       // initial part of the service's engines, which demand adjusts
	TimeFactor   float64       // factor on the engine's processing times
	LoadTime     time.Duration // to load the weights from the weight store
	WarmLoadTime time.Duration // to load the weights from the engine's host, where they are staged
}

// Account is a client account and its API keys.
type Account struct {
	Name        identifier.ClientAccount
	Keys        []string
	Priority    int
	HasPriority bool // Priority overrides the priority of the route
}

// Limits bounds the size and duration of requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
