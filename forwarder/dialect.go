package forwarder

import (
	"net/http"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// Dialect reads and writes the header fields of requests and answers. Its methods must be safe for concurrent use.
type Dialect interface {
	// ParseRequest reads what a caller's request says of itself. Its error is *MalformedError.
	ParseRequest(h http.Header) (RequestFields, error)
	// SetFields sets the fields that the system sets itself and takes away those that concern the caller alone.
	SetFields(h http.Header, s EndpointFields)
	// ParseAnswer reads the header of an endpoint's answer.
	ParseAnswer(status int, h http.Header) AnswerFields
	// IdentityHeader names the field by which an answer tells whose it is.
	IdentityHeader() string
}

// RequestFields is what a caller's request says of itself.
type RequestFields struct {
	ID           string        // of this try
	Timeout      time.Duration // for which the caller waits; zero if it does not say
	Key          string        // empty for none
	Model        string        // empty for none
	PromptTokens int           // tokens; zero if it does not say
	LastEventID  int           // the last event of the stream that the caller has; -1 for none
}

// EndpointFields is what the system says to an endpoint of a request.
type EndpointFields struct {
	Endpoint    identifier.Endpoint // the only one that may run it
	Account     identifier.ClientAccount
	TimeLeft    time.Duration // that is left
	LastEventID int           // after which the stream goes on; -1 for the whole stream
}

// AnswerFields is what the header of an endpoint's answer says.
type AnswerFields struct {
	NotRun      bool // the endpoint did not run the request and never will
	Misdirected bool // another endpoint has the address, or the endpoint is not the head any more
	Signed      bool // the answer is the endpoint's own
	Encoded     bool // the body is not as the endpoint wrote it
	Load        scheduler.Load
}

// MalformedError says that a request can't be understood.
type MalformedError struct {
	Field   string // the header field
	Problem string // what is wrong with it and what mends it
}

func (e *MalformedError) Error() string { return "forwarder: " + e.Field + " " + e.Problem }
