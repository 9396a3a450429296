package storeclient

import "fmt"

// NotFoundError reports that the key or lease named by Key does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("storeclient: %q does not exist", e.Key) }

// ConflictError reports that a conditional write found another revision and had no effect.
// Revision is the current revision, or zero if the store reported none.
type ConflictError struct {
	Key      string
	Revision uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("storeclient: %q is at revision %d", e.Key, e.Revision)
}

// UnavailableError reports that the store could not be used. A write that returns this error
// certainly had no effect and will have none.
type UnavailableError struct {
	Call  Operation
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("storeclient: %s: service unavailable: %v", e.Call, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError reports that a write may have taken effect, or may still take effect.
type UnknownError struct {
	Call  Operation
	Key   string
	Cause error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("storeclient: %s of %q has an unknown outcome: %v", e.Call, e.Key, e.Cause)
}

func (e *UnknownError) Unwrap() error { return e.Cause }

// CircuitError is the cause of an *UnavailableError if the call was not sent because previous
// calls failed.
type CircuitError struct{}

func (e *CircuitError) Error() string { return "storeclient: circuit open" }

// StatusError is the cause of an error if the HTTP status of the answer was unexpected.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("storeclient: unexpected status %d", e.Status)
}

// StaleError is the cause of an *UnavailableError if repeated reads of Key returned a state older
// than Revision, which the store had reported before.
type StaleError struct {
	Key      string
	Revision uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("storeclient: read of %q is older than revision %d", e.Key, e.Revision)
}

// MalformedError is the cause of an error if the body of the answer could not be decoded.
type MalformedError struct {
	Status int
	Cause  error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("storeclient: answer with status %d has a malformed body: %v", e.Status, e.Cause)
}

func (e *MalformedError) Unwrap() error { return e.Cause }

// CompactedError reports that the store no longer holds the changes of Prefix directly after
// Revision, so that the caller must list the entries again.
type CompactedError struct {
	Prefix   string
	Revision uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("storeclient: the history of %q after revision %d has been compacted", e.Prefix, e.Revision)
}
