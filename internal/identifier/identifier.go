package identifier

// Instance names one entry instance of the system. It is unique in the fleet.
type Instance string

// Endpoint names one instance of the platform that runs a model engine or a plain service.
type Endpoint string

// FailureDomain names a set of instances that a network partition can cut off together.
type FailureDomain string

// FabricDomain names a set of endpoints that share a fast fabric. A replica group never spans two.
type FabricDomain string

// Group names one replica group.
type Group string

// Epoch numbers the memberships of one replica group. It only grows; zero means "no group".
type Epoch uint64

// ProcessStart tells one run of an endpoint's process from the next. Zero means "unknown".
type ProcessStart int64

// ClientAccount names a caller of the system as the bundle does.
type ClientAccount string

// Pool names a set of replica groups that run the same model version.
type Pool string

// Service names what a caller asks for: a model's name or a plain service's name.
type Service string

// BundleVersion numbers the bundles. It only grows; zero means "no bundle".
type BundleVersion uint64

// Request names one request from its arrival to its outcome, over every hop.
type Request string
