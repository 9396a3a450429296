package storeclient

import "fmt"

// NotFoundError says that the key or the lease does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("storeclient: no %q", e.Key) }

// ConflictError says that a conditional write found another revision and had no effect.
// Revision is the present one, or zero if the service named none.
type ConflictError struct {
	Key      string
	Revision uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("storeclient: %q is at revision %d", e.Key, e.Revision)
}

// UnavailableError says that the service could not be used. A write that returns it has
// certainly had no effect and will have none.
type UnavailableError struct {
	Call  Operation
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("storeclient: %s: service unavailable: %v", e.Call, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError says that a write may have taken effect, or may still take effect.
type UnknownError struct {
	Call  Operation
	Key   string
	Cause error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("storeclient: %s of %q has an unknown outcome: %v", e.Call, e.Key, e.Cause)
}

func (e *UnknownError) Unwrap() error { return e.Cause }

// CircuitError is the cause of an *UnavailableError of a call that was not sent, because
// the calls before it failed.
type CircuitError struct{}

func (e *CircuitError) Error() string { return "storeclient: circuit open" }

// StatusError is the cause of an error that comes from an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("storeclient: unexpected status %d", e.Status)
}

// StaleError is the cause of an *UnavailableError of a read that kept giving an older
// state of Key than Revision, which the service had named before.
type StaleError struct {
	Key      string
	Revision uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("storeclient: read of %q is older than revision %d", e.Key, e.Revision)
}

// MalformedError is the cause of an error that comes from an answer whose body makes no sense.
type MalformedError struct {
	Status int
	Cause  error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("storeclient: answer with status %d makes no sense: %v", e.Status, e.Cause)
}

func (e *MalformedError) Unwrap() error { return e.Cause }

// CompactedError says that the changes of Prefix right after Revision are not kept any
// more, so that they have to be listed anew.
type CompactedError struct {
	Prefix   string
	Revision uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("storeclient: the history of %q after revision %d is gone", e.Prefix, e.Revision)
}
