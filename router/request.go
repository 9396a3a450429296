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
	KindModel         Kind = iota // a call of a model, answered as a stream or at once; may be resumed on another group
	KindRepeatable                // a call of a plain service that may run more than once
	KindNonIdempotent             // a call of a plain service that runs at most once
)

// Request is one caller's request as admitted by an instance.
type Request struct {
	ID            identifier.Request
	Account       identifier.ClientAccount
	Service       identifier.Service
	Kind          Kind
	Priority      int // higher is served first
	Deadline      time.Time
	BundleVersion identifier.BundleVersion // in force when the request was admitted
	Hops          int                      // links between instances that the request has crossed, at most 1
	Pool          identifier.Pool          // of a model request; the service's name otherwise
	Adapter       string                   // of a model request; empty for none
	Method        string
	Path          string // with its query, as the endpoint gets it
	Header        http.Header
	Body          []byte
	Stream        bool // a model request whose answer goes out as server-sent events
}

// Target is an endpoint or a replica group that can take requests. A prober reports the
// complete set of its failure domain's targets whenever the set changes.
type Target struct {
	ID            string // the group's name, or the endpoint's of a plain service
	Pool          identifier.Pool
	FailureDomain identifier.FailureDomain
	Address       netip.AddrPort // the group's first member, or the endpoint
	Members       []identifier.Endpoint
	Epoch         identifier.Epoch        // zero for a plain service
	ProcessStart  identifier.ProcessStart // of the endpoint at Address
	Adapters      []string
	Ready         bool // the last report of each member is fresh, and all report the same group, epoch and version
	Leaving       bool
	Slow          bool // a straggler, used only if no other target is usable
	InFlight      int  // running requests, as last reported
	Queued        int  // waiting requests, as last reported
	Capacity      int  // requests that it can run at once
	ReportedAt    time.Time
}

// Outcome is how a request ended: Answered, NotRun or Unknown.
type Outcome interface{ outcome() }

// Answered is the outcome of a request whose complete answer was delivered to the caller.
type Answered struct{}

// NotRun is the outcome of a request that certainly did not run at any endpoint.
type NotRun struct {
	Status     int           // the HTTP status for the caller
	Reason     string        // a short code in camel case, such as "overloaded"
	Detail     string        // a sentence for the caller
	RetryAfter time.Duration // delay after which a retry may succeed; zero if a retry does not help
}

// Unknown is the outcome of a request that may have run, completely or in part.
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
// slowly, and return an error once the caller has disconnected.
type Writer interface {
	// Start sends the status and header. It is called at most once, before Write.
	Start(status int, header http.Header) error
	// Write sends a part of the body immediately.
	Write(part []byte) error
}
