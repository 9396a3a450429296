package requester

import (
	"errors"
	"fmt"
)

// NotSentError says that no byte of the request left this process.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("requester: not sent: %v", e.Cause) }

func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError says that the request may have been received and that no whole answer came.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string { return fmt.Sprintf("requester: no whole answer: %v", e.Cause) }

func (e *BrokenError) Unwrap() error { return e.Cause }

// MismatchedAnswerError is the cause of a *BrokenError of an answer that carries no identity of the request.
type MismatchedAnswerError struct {
	Status int
	ID     string // identity that the answer carries
}

func (e *MismatchedAnswerError) Error() string {
	return fmt.Sprintf("requester: an answer with status %d has the identity %q", e.Status, e.ID)
}

// errTooMany is the cause of a *BrokenError after too many answers to earlier requests.
var errTooMany = errors.New("requester: too many answers to earlier requests")
