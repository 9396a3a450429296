package auditor

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"
	"unicode/utf8"

	"amaranthmill/internal/identifier"
)

// Actions that are recorded in the trail.
const (
	ActionProposed = "bundle.proposed" // an author stored a bundle for sign-off
	ActionSigned   = "bundle.signed"   // a signer signed a bundle off; recorded before the acceptance
	ActionAccepted = "bundle.accepted" // a signed bundle became the current one
	ActionRestored = "bundle.restored" // an instance wrote the bundle in force over an older value of the platform
	ActionRewound  = "audit.rewound"   // the trail lacks an entry that an instance had read or appended
)

// maxDetail is the size limit of Record.Detail in bytes; a longer text is truncated.
const maxDetail = 2048

// Record describes a change: the actor, the action, and the versions before and after.
type Record struct {
	ID       string                   `json:"id"` // the same for a repeated append; if empty, it is derived from the other fields
	At       time.Time                `json:"at"`
	Actor    string                   `json:"actor"` // name of an operator or instance
	Instance identifier.Instance      `json:"instance"`
	Action   string                   `json:"action"`
	From     identifier.BundleVersion `json:"from"`
	To       identifier.BundleVersion `json:"to"`
	Digest   string                   `json:"digest,omitempty"` // SHA-256 digest of the bundle's content
	Detail   string                   `json:"detail,omitempty"`
}

// Entry is a record with its position in the chain.
type Entry struct {
	Sequence uint64 `json:"sequence"` // from 1, without gaps
	Record
	Previous string `json:"previous"` // hash of the previous entry; empty for the first
	Hash     string `json:"hash"`     // of all other fields
}

// chain returns the entry for r that follows last. A zero last means that the trail is empty.
func chain(last Entry, r Record) Entry {
	r.At = r.At.UTC().Truncate(time.Millisecond)
	r.Detail = truncate(r.Detail)
	e := Entry{Sequence: last.Sequence + 1, Record: r, Previous: last.Hash}
	e.Hash = e.hash()
	return e
}

// hash returns the hash computed from e's other fields.
func (e Entry) hash() string {
	e.Hash = ""
	text, err := json.Marshal(e)
	if err != nil { // only a time with a year above 9999 fails to marshal
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// withID returns r with an ID, which is derived from the other fields if r has none.
func withID(r Record) Record {
	if r.ID == "" {
		r.ID = Entry{Record: r}.hash()[:16]
	}
	return r
}

// truncate limits detail to maxDetail bytes without splitting a character, and replaces
// invalid UTF-8 by question marks.
func truncate(detail string) string {
	if len(detail) > maxDetail {
		detail = detail[:maxDetail]
		for !utf8.ValidString(detail) && len(detail) > maxDetail-utf8.UTFMax {
			detail = detail[:len(detail)-1]
		}
	}
	return strings.ToValidUTF8(detail, "?")
}
