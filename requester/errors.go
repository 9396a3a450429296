package requester

import (
	"errors"
	"fmt"
)

// NotSentError means that no byte of the request was sent.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("requester: not sent: %v", e.Cause) }

func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError means that the endpoint may have received the request, but that no complete answer arrived.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string {
	return fmt.Sprintf("requester: no complete answer: %v", e.Cause)
}

func (e *BrokenError) Unwrap() error { return e.Cause }

// MismatchedAnswerError is the cause of a *BrokenError if an answer does not carry the
// request's ID and can't be skipped as a stale answer.
type MismatchedAnswerError struct {
	Status int
	ID     string // ID that the answer carries; empty for none
}

func (e *MismatchedAnswerError) Error() string {
	return fmt.Sprintf("requester: an answer with status %d has the ID %q instead of the request's", e.Status, e.ID)
}

// StatusError is the cause of a *BrokenError if an answer has a status that HTTP does not have.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("requester: an answer has the status %03d instead of one from 100 to 599", e.Status)
}

// errTooManyStaleAnswers is the cause of a *BrokenError after more than maxStaleAnswers stale answers.
var errTooManyStaleAnswers = errors.New("requester: too many stale answers to earlier requests")
