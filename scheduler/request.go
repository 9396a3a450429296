package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Ref identifies a request at this instance from its arrival to its outcome.
type Ref uint64

// Request holds the properties of a request that scheduling depends on.
type Request struct {
	Fingerprint  identifier.Fingerprint   // the same for all tries of the request; see RestrictionSet
	Parts        []identifier.Fingerprint // of the parts of the prompt that other requests may share; see RestrictionSet
	Service      identifier.Service       // service whose retry budget pays for retries
	Pool         identifier.Pool
	Repeatable   bool // may run at a second target after a first target may have run it
	Stream       bool
	ArrivedAt    time.Time
	PromptTokens int           // zero if unknown
	LatencyGoal  time.Duration // time from arrival to the first event or complete answer
	GapGoal      time.Duration // time between two events of a stream
	Deadline     time.Time     // after which the caller no longer waits for the answer
	MaxAttempts  int           // number of targets that may run the request
	Priority     int           // 0 is the highest priority
	MinRunDelay  time.Duration // from the arrival at an idle target until the request begins to run; zero if unknown

	ViaPeer bool                  // another instance accepted the request and counts its retries; it is sent to endpoints from here only
	Avoid   []identifier.Endpoint // endpoints that get no attempt, because earlier ones failed there
}
