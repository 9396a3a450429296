package bundler

import (
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
)

// Bundle is the configuration that operators control: which models and services run, in
// which failure domains, for which client accounts and with which priority. The content of
// a version never changes. The JSON names are in camel case.
type Bundle struct {
	Version  identifier.BundleVersion `json:"version"`
	Previous identifier.BundleVersion `json:"previous,omitempty"` // the version that this bundle was derived from; zero for the first bundle
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
	Priority  int             `json:"priority"` // 0 to 100; pools of higher priority are rolled out and repaired first
	Groups    []Placement     `json:"groups"`
}

// Placement is the number of replica groups that a pool runs in a failure domain.
type Placement struct {
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Count         int                      `json:"count"`
}

// Model maps a model name in requests to a pool and an optional adapter.
type Model struct {
	Name     identifier.Service `json:"name"`
	Pool     identifier.Pool    `json:"pool"`
	Adapter  string             `json:"adapter,omitempty"`
	Deadline formatter.Duration `json:"deadline"` // default for requests without a deadline
}

// Service is a service other than a model to which the system routes calls.
type Service struct {
	Name       identifier.Service `json:"name"`
	Deadline   formatter.Duration `json:"deadline"` // default for calls without a deadline
	Repeatable []CallRule         `json:"repeatable,omitempty"`
}

// CallRule marks the calls that it matches as repeatable. A call that no rule matches runs
// at most once.
type CallRule struct {
	Method string `json:"method"`
	Path   string `json:"path"` // path.Match pattern, relative to the service
}

// Account is a client account with its keys and limits.
type Account struct {
	Name              identifier.ClientAccount `json:"name"`
	KeyDigests        []string                 `json:"keyDigests"` // hexadecimal SHA-256 of each bearer key
	Priority          int                      `json:"priority"`   // 0 to 9; requests of higher priority are scheduled first
	RequestsPerSecond float64                  `json:"requestsPerSecond"`
	Burst             int                      `json:"burst"`
	Services          []identifier.Service     `json:"services"` // models and plain services that the account may use
}

// RepairWeights holds the relative weights of the two measures of the repair policy.
type RepairWeights struct {
	GroupDowntime        float64 `json:"groupDowntime"`
	StrandedAccelerators float64 `json:"strandedAccelerators"`
}
