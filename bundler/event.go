package bundler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Event is what a Core is told: Offered, Accepted, PlatformRead or Ticked.
type Event interface{ event() }

// Offered is a signed document from a peer.
type Offered struct {
	From     identifier.Instance // empty if unknown
	Document []byte
}

// Accepted is a document that this instance has opened with the same signers and accepted.
type Accepted struct{ Document *Document }

// PlatformRead is the platform's value of the key CurrentKey. A nil Document means that
// the key is absent, a zero Revision then included.
type PlatformRead struct {
	Revision uint64
	Document []byte
}

// Ticked is the passing of time.
type Ticked struct{}

func (Offered) event()      {}
func (Accepted) event()     {}
func (PlatformRead) event() {}
func (Ticked) event()       {}

// Action is what a Core wants done: Apply, Refuse or Restore.
type Action interface{ action() }

// Apply puts a document in force.
type Apply struct{ Document *Document }

// Refuse says that a document was not applied, and why. Alarm marks a cause that an
// operator has to look into, and is set once for each cause in a row.
type Refuse struct {
	From  identifier.Instance // empty for the platform
	Err   error
	Alarm bool
}

// Restore writes the document in force over an older or absent one of the platform,
// if its revision is still Revision. A zero Revision means that the key is absent.
type Restore struct {
	Revision        uint64
	ReplacedVersion identifier.BundleVersion // zero if the platform had none that is signed
	Document        *Document
}

func (Apply) action()   {}
func (Refuse) action()  {}
func (Restore) action() {}

// restoreSpread is the time over which instances spread the rewriting of the platform's value.
const restoreSpread = 2 * time.Second
