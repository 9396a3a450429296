package router

import (
	"net/http"
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
)

// Kind says how a request is carried out.
type Kind uint8

// The kinds of request.
const (
	KindModel         Kind = iota // a streamed or whole answer of a model; may be resumed on another group
	KindRepeatable                // a call of a plain service that may run more than once
	KindNonIdempotent             // a call of a plain service that runs at most once
)

// Request is one caller's request as admitted by an instance.
type Request struct {
	ID            identifier.Request
	Account       identifier.ClientAccount
	Service       identifier.Service
	Kind          Kind
	Priority      int // higher goes first
	Deadline      time.Time
	BundleVersion identifier.BundleVersion // in force when the request was admitted
	Hops          int                      // links between instances crossed so far, at most 1
	Pool          identifier.Pool          // of a model request; the service's name otherwise
	Adapter       string                   // of a model request; empty for none
	Method        string
	Path          string // with its query, as the endpoint gets it
	Header        http.Header
	Body          []byte
	Stream        bool // a model request whose answer goes out as server-sent events
}

// Target is an endpoint or a replica group that can take requests. A prober sends the
// whole set of its failure domain's targets as it changes.
type Target struct {
	ID            string // the group's name, or the endpoint's of a plain service
	Pool          identifier.Pool
	FailureDomain identifier.FailureDomain
	Address       netip.AddrPort // the group's first member, or the endpoint
	Members       []identifier.Endpoint
	Epoch         identifier.Epoch        // zero for a plain service
	ProcessStart  identifier.ProcessStart // of the endpoint at Address
	Adapters      []string
	Ready         bool // every member is fresh and reports the same group, epoch and version
	Leaving       bool
	Slow          bool // a straggler, to be used last
	InFlight      int  // requests that run there, as last reported
	Queued        int  // requests that wait there, as last reported
	Capacity      int  // requests that it can run at once
	ReportedAt    time.Time
}

// Outcome is how a request ended: Answered, NotRun or Unknown.
type Outcome interface{ outcome() }

// Answered is the outcome of a request whose whole answer went to the caller.
type Answered struct{}

// NotRun is the outcome of a request that certainly did not run at any endpoint.
type NotRun struct {
	Status     int           // the HTTP status for the caller
	Reason     string        // a short code in camel case, such as "overloaded"
	Detail     string        // a sentence for the caller
	RetryAfter time.Duration // when to come back; zero if coming back does not help
}

// Unknown is the outcome of a request that may have run, wholly or in part.
type Unknown struct {
	Status     int
	Reason     string
	Detail     string
	RetryAfter time.Duration
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Writer receives the answer to one request. Its methods block while the caller reads
// slowly, and return an error once the caller has gone.
type Writer interface {
	// Start sends the status and header. It is called at most once, before Write.
	Start(status int, header http.Header) error
	// Write sends a part of the body at once.
	Write(part []byte) error
}
