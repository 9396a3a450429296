package bundler

import (
	"fmt"
	"strings"

	"amaranthmill/internal/identifier"
)

// Problem is one fault of a bundle.
type Problem struct {
	Path    string `json:"path"`    // path of the faulty value, such as "pools[0].groupSize"; empty for the whole bundle
	Message string `json:"message"` // what is wrong and how to correct it
}

// String returns the path and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// InvalidError reports an invalid bundle with all its faults.
type InvalidError struct{ Problems []Problem }

// Error returns all problems, separated by semicolons.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		texts[i] = p.String()
	}
	return "bundler: invalid bundle: " + strings.Join(texts, "; ")
}

// DocumentError reports bytes that are not a valid signed document.
type DocumentError struct{ Reason string }

// Error returns the reason.
func (e *DocumentError) Error() string { return "bundler: not a signed bundle: " + e.Reason }

// SignOffError reports an invalid sign-off of a bundle.
type SignOffError struct {
	Signer string
	Reason string
}

// Error returns the signer and the reason.
func (e *SignOffError) Error() string {
	return fmt.Sprintf("bundler: sign-off by %q does not count: %s", e.Signer, e.Reason)
}

// OutdatedError reports an offered version that is lower than the one in force.
type OutdatedError struct{ Offered, InForce identifier.BundleVersion }

// Error returns both versions.
func (e *OutdatedError) Error() string {
	return fmt.Sprintf("bundler: version %d is offered, but version %d is in force", e.Offered, e.InForce)
}

// ReusedVersionError reports a second content for a known version.
type ReusedVersionError struct {
	Version        identifier.BundleVersion
	Offered, Known Digest
}

// Error returns the version and both digests.
func (e *ReusedVersionError) Error() string {
	return fmt.Sprintf("bundler: version %d is offered with digest %s, but it is known with digest %s; use a higher version", e.Version, e.Offered, e.Known)
}

// ConflictError reports a bundle that does not follow the version in force: its previous
// version is another one, or its own version is not higher.
type ConflictError struct {
	Version  identifier.BundleVersion
	Previous identifier.BundleVersion // named by the bundle; zero if the bundle names none or its proposal was deleted
	InForce  identifier.BundleVersion
	Signer   string // signer of InForce; empty if no version is in force
}

// Error names the version in force and says how to correct the bundle.
func (e *ConflictError) Error() string {
	winner := fmt.Sprintf("version %d, signed off by %q, is in force", e.InForce, e.Signer)
	if e.InForce == 0 {
		winner = "no version is in force"
	}
	return fmt.Sprintf("bundler: version %d, made from version %d, conflicts: %s; propose a version above %d with \"previous\": %d",
		e.Version, e.Previous, winner, max(e.InForce, e.Version), e.InForce)
}

// NotFoundError reports that a proposal or an accepted version does not exist.
type NotFoundError struct{ Version identifier.BundleVersion }

// Error names the version.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("bundler: no bundle of version %d is known", e.Version)
}

// UnsettledError reports that the outcome of an acceptance is unknown: the bundle may or may
// not have been accepted.
type UnsettledError struct {
	Version identifier.BundleVersion
	Cause   error
}

// Error returns the version, the safe next step and the cause.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("bundler: version %d may have been accepted; sign it off again, which is safe: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }
