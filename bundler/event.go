package bundler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Event is an input of a Core: Offered, Accepted, PlatformRead or Ticked.
type Event interface{ event() }

// Offered provides a signed document from a peer.
type Offered struct {
	From     identifier.Instance // empty if unknown
	Document []byte
}

// Accepted provides a document that this instance's Registrar opened with the same signers
// and accepted.
type Accepted struct{ Document *Document }

// PlatformRead provides the platform's value of the key CurrentKey. If the key is absent,
// Document is nil and Revision is zero.
type PlatformRead struct {
	Revision uint64
	Document []byte
}

// Ticked reports only that time has passed.
type Ticked struct{}

func (Offered) event()      {}
func (Accepted) event()     {}
func (PlatformRead) event() {}
func (Ticked) event()       {}

// Action is an output of a Core: Apply, Refuse or Restore.
type Action interface{ action() }

// Apply puts a document in force.
type Apply struct{ Document *Document }

// Refuse reports that a document was not applied, and the cause. Alarm marks a cause that an
// operator has to investigate; it is not set again for the same cause as the last alarm.
type Refuse struct {
	From  identifier.Instance // empty for the platform or an unknown peer
	Err   error
	Alarm bool
}

// Restore writes the document in force over an older or absent value of the platform, if
// the value's revision is still Revision. A zero Revision means that the key is absent.
type Restore struct {
	Revision        uint64
	ReplacedVersion identifier.BundleVersion // zero if the key was absent
	Document        *Document
}

func (Apply) action()   {}
func (Refuse) action()  {}
func (Restore) action() {}

// restoreSpread is the upper limit of the random wait before an instance restores the
// platform's value, and the time between its attempts.
const restoreSpread = 2 * time.Second
