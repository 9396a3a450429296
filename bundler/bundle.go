package bundler

import (
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
)

// Bundle is everything that operators decide: what runs where, for whom and with what
// priority. It never changes under its version. In JSON its names are camel case.
type Bundle struct {
	Version  identifier.BundleVersion `json:"version"`
	Previous identifier.BundleVersion `json:"previous,omitempty"` // the version that it was made from; zero for the first
	Author   string                   `json:"author"`
	Note     string                   `json:"note,omitempty"`
	Pools    []Pool                   `json:"pools"`
	Models   []Model                  `json:"models"`
	Services []Service                `json:"services"`
	Accounts []Account                `json:"accounts"`
	Repair   RepairWeights            `json:"repair"`
}

// Pool is a set of replica groups that run one version of a model with its adapters.
type Pool struct {
	Name      identifier.Pool `json:"name"`
	Base      string          `json:"base"`    // the model's name in the weight store
	Version   string          `json:"version"` // the model's version in the weight store
	Adapters  []string        `json:"adapters,omitempty"`
	GroupSize int             `json:"groupSize"`
	Priority  int             `json:"priority"` // the higher is rolled out and repaired first
	Groups    []Placement     `json:"groups"`
}

// Placement says how many replica groups a failure domain should run.
type Placement struct {
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Count         int                      `json:"count"`
}

// Model is a name that callers ask for.
type Model struct {
	Name     identifier.Service `json:"name"`
	Pool     identifier.Pool    `json:"pool"`
	Adapter  string             `json:"adapter,omitempty"`
	Deadline formatter.Duration `json:"deadline"` // of a request that names none
}

// Service is a plain service that the system routes to.
type Service struct {
	Name       identifier.Service `json:"name"`
	Deadline   formatter.Duration `json:"deadline"` // of a call that names none
	Repeatable []CallRule         `json:"repeatable,omitempty"`
}

// CallRule marks calls as repeatable; a call that no rule matches runs at most once.
type CallRule struct {
	Method string `json:"method"`
	Path   string `json:"path"` // a path.Match pattern below the service
}

// Account is a client account with its keys and limits.
type Account struct {
	Name              identifier.ClientAccount `json:"name"`
	KeyDigests        []string                 `json:"keyDigests"` // hexadecimal SHA-256 of each bearer key
	Priority          int                      `json:"priority"`   // 0 to 9, the higher goes first
	RequestsPerSecond float64                  `json:"requestsPerSecond"`
	Burst             int                      `json:"burst"`
	Services          []identifier.Service     `json:"services"` // models and plain services that it may use
}

// RepairWeights weighs the two measures of the repair policy against each other.
type RepairWeights struct {
	GroupDowntime        float64 `json:"groupDowntime"`
	StrandedAccelerators float64 `json:"strandedAccelerators"`
}
