package forwarder

import (
	"net/http"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// Dialect reads and writes the header fields of requests and answers. Its methods must be safe for concurrent use.
type Dialect interface {
	// Describe reads what a caller's request says of itself. Its error is *MalformedError.
	Describe(h http.Header) (Description, error)
	// Stamp sets the fields that the system sets itself and takes away those that concern the caller alone.
	Stamp(h http.Header, s Stamp)
	// Judge reads the header of an endpoint's answer.
	Judge(status int, h http.Header) Verdict
	// IdentityHeader names the field by which an answer tells whose it is.
	IdentityHeader() string
}

// Description is what a caller's request says of itself.
type Description struct {
	ID        string        // of this try
	Patience  time.Duration // for which the caller waits; zero if it does not say
	Key       string        // empty for none
	Model     string        // empty for none
	Prompt    int           // tokens; zero if it does not say
	LastEvent int           // the last event of the stream that the caller has; -1 for none
}

// Stamp is what the system says to an endpoint of a request.
type Stamp struct {
	Endpoint  identifier.Endpoint // the only one that may run it
	Account   identifier.ClientAccount
	Patience  time.Duration // that is left
	LastEvent int           // after which the stream goes on; -1 for the whole stream
}

// Verdict is what the header of an endpoint's answer says.
type Verdict struct {
	NotRun    bool // the endpoint did not run the request and never will
	Elsewhere bool // another endpoint has the address, or the endpoint is not the head any more
	Signed    bool // the answer is the endpoint's own
	Encoded   bool // the body is not as the endpoint wrote it
	Load      scheduler.Load
}

// MalformedError says that a request can't be understood.
type MalformedError struct {
	Field string // the header field
	Mend  string // what is wrong with it and what mends it
}

func (e *MalformedError) Error() string { return "forwarder: " + e.Field + " " + e.Mend }
