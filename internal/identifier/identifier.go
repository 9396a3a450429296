package identifier

import (
	"cmp"
	"fmt"
	"strconv"
)

// Instance names one entry instance of the system. It is unique in the fleet.
type Instance string

// Endpoint names one instance of the platform that runs a model engine or a plain service.
type Endpoint string

// FailureDomain names a set of instances that a network partition can cut off together.
type FailureDomain string

// FabricDomain names a set of endpoints that share a fast fabric. A replica group lies within
// one, except that package groupformer can form groups that span several.
type FabricDomain string

// Group names one replica group.
type Group string

// Epoch numbers the successive memberships of one replica group. It only increases; zero means "no group".
type Epoch uint64

// ProcessStart distinguishes the successive processes of an endpoint. Zero means "unknown".
type ProcessStart int64

// Process identifies one process of an endpoint, whichever replica group it serves.
type Process struct {
	Endpoint Endpoint
	Start    ProcessStart
}

// Compare orders processes by endpoint and start.
func (p Process) Compare(o Process) int {
	return cmp.Or(cmp.Compare(p.Endpoint, o.Endpoint), cmp.Compare(p.Start, o.Start))
}

// ClientAccount names a client account, as defined in the bundle.
type ClientAccount string

// Pool names a set of replica groups that run the same model version.
type Pool string

// Service names what a caller requests: a model or a plain service.
type Service string

// BundleVersion numbers the bundles. It only increases; zero means "no bundle".
type BundleVersion uint64

// Fingerprint is a hash of what identifies a request over all tries of its callers, or of what
// identifies a part of prompts. Requests with the same Fingerprint ask endpoints for the same work.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the form that String returns. Its error is *FingerprintError.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &FingerprintError{Text: text}
	}
	return Fingerprint(f), nil
}

// FingerprintError reports a text that is no fingerprint.
type FingerprintError struct{ Text string }

func (e *FingerprintError) Error() string {
	return fmt.Sprintf("identifier: %q is not a fingerprint of at most 16 hexadecimal digits, such as 0c42f55332b80925", e.Text)
}

// Part names a part of the prompts of requests. Several requests can share it.
type Part string

// Request identifies one request from its arrival to its outcome, across all hops.
type Request string
