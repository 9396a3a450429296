package forwarder

import (
	"net/http"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// Dialect reads and writes the header fields of requests and answers. Its methods must be safe for concurrent use.
type Dialect interface {
	// ParseRequest reads the header fields of a caller's request. Its error is *MalformedError.
	ParseRequest(h http.Header) (RequestFields, error)
	// SetFields sets the fields for the endpoint and removes those that concern only the caller and this system.
	SetFields(h http.Header, fields EndpointFields)
	// ParseAnswer reads the status and the header of an endpoint's answer.
	ParseAnswer(status int, h http.Header) AnswerFields
	// IdentityHeader returns the name of the field with the request's ID, which endpoints echo in their answers.
	IdentityHeader() string
}

// RequestFields holds the header fields of a caller's request.
type RequestFields struct {
	ID           string            // ID of this try by the caller
	Timeout      time.Duration     // time for which the caller waits; zero if not given
	Key          string            // key of the client account; empty for none
	Model        string            // empty for none
	PromptTokens int               // zero if not given
	LastEventID  int               // last event of the stream that the caller received; -1 for none
	Parts        []identifier.Part // of the prompt that other requests may share, without duplicates
}

// EndpointFields holds the header fields that the system sets in a request to an endpoint.
type EndpointFields struct {
	Endpoint    identifier.Endpoint // the only endpoint that may run the request
	Account     identifier.ClientAccount
	TimeLeft    time.Duration // time left until the deadline
	LastEventID int           // event after which the stream resumes; -1 for the complete stream
}

// AnswerFields holds what the status and the header of an endpoint's answer state.
type AnswerFields struct {
	NotRun      bool          // the endpoint did not run the request and will not
	Misdirected bool          // another endpoint has the address, or the endpoint is no longer the head of its group
	Signed      bool          // the endpoint signed the answer as its own
	Encoded     bool          // a content encoding was applied to the body after the endpoint wrote it
	Leaving     bool          // the endpoint's process leaves
	ClosedFor   time.Duration // the process wants no requests from this instance for so long; zero if it does not say so
	Limit       scheduler.LimitStatement
	ColdFor     time.Duration // remaining time in which the process is cold; zero if it does not say so
	Load        scheduler.Load

	Malformed []MalformedError // fields that are ignored, or that count as another value
}

// MalformedError reports a malformed header field of a request or an answer.
type MalformedError struct {
	Field   string // name of the header field
	Problem string // what is wrong with the field and how to correct it
}

func (e *MalformedError) Error() string { return "forwarder: " + e.Field + " " + e.Problem }
