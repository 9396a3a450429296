package bundler

import (
	"fmt"
	"strings"

	"amaranthmill/internal/identifier"
)

// Problem is one fault of a bundle.
type Problem struct {
	Path    string `json:"path"`    // of the faulty value, such as "pools[0].groupSize"; empty for the whole bundle
	Message string `json:"message"` // what is wrong and how to mend it
}

// String returns the path and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// InvalidError says that a bundle is faulty and holds every fault found.
type InvalidError struct{ Problems []Problem }

// Error returns all problems, separated by semicolons.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		texts[i] = p.String()
	}
	return "bundler: invalid bundle: " + strings.Join(texts, "; ")
}

// DocumentError says that bytes are not a signed document.
type DocumentError struct{ Reason string }

// Error returns the reason.
func (e *DocumentError) Error() string { return "bundler: not a signed bundle: " + e.Reason }

// SignOffError says that the sign-off of a bundle does not count.
type SignOffError struct {
	Signer string
	Reason string
}

// Error returns the signer and the reason.
func (e *SignOffError) Error() string {
	return fmt.Sprintf("bundler: sign-off by %q does not count: %s", e.Signer, e.Reason)
}

// OutdatedError says that an offered version is lower than the one in force.
type OutdatedError struct{ Offered, InForce identifier.BundleVersion }

// Error returns both versions.
func (e *OutdatedError) Error() string {
	return fmt.Sprintf("bundler: version %d is offered, but version %d is in force", e.Offered, e.InForce)
}

// ReusedVersionError says that one version has two contents.
type ReusedVersionError struct {
	Version        identifier.BundleVersion
	Offered, Known Digest
}

// Error returns the version and both digests.
func (e *ReusedVersionError) Error() string {
	return fmt.Sprintf("bundler: version %d is offered with digest %s, but it is known with digest %s; use a higher version", e.Version, e.Offered, e.Known)
}

// ConflictError says that a bundle was made from, or numbered after, a version that is
// no longer in force. InForce won.
type ConflictError struct {
	Version  identifier.BundleVersion
	Previous identifier.BundleVersion // that the bundle names; zero if there was none or its proposal is gone
	InForce  identifier.BundleVersion
	Signer   string // who signed InForce off; empty if there is none
}

// Error names the version that won and the mend.
func (e *ConflictError) Error() string {
	won := fmt.Sprintf("version %d, signed off by %q, is in force", e.InForce, e.Signer)
	if e.InForce == 0 {
		won = "no version is in force"
	}
	return fmt.Sprintf("bundler: version %d, made from version %d, conflicts: %s; propose a version above %d with \"previous\": %d",
		e.Version, e.Previous, won, max(e.InForce, e.Version), e.InForce)
}

// NotFoundError says that there is no such proposal or version.
type NotFoundError struct{ Version identifier.BundleVersion }

// Error names the version.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("bundler: no bundle of version %d is known", e.Version)
}

// UnsettledError says that it is not known whether a bundle was accepted.
type UnsettledError struct {
	Version identifier.BundleVersion
	Cause   error
}

// Error says what to do.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("bundler: version %d may have been accepted; sign it off again, which is safe: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }
