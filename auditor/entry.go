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

// The actions of the trail.
const (
	ActionProposed = "bundle.proposed" // an author stored a bundle for sign-off
	ActionSigned   = "bundle.signed"   // a signer signed a bundle off; the acceptance follows
	ActionAccepted = "bundle.accepted" // a signed bundle became the current one
	ActionRestored = "bundle.restored" // an instance wrote the bundle in force over an older one
	ActionRewound  = "audit.rewound"   // the trail lacks entries that an instance had seen
)

// maxDetail is the largest Detail in bytes; a longer one is cut.
const maxDetail = 2048

// Record is one change to be kept: who did what, from which version to which.
type Record struct {
	ID       string                   `json:"id"` // the same for a repeated append; empty derives it from the other fields
	At       time.Time                `json:"at"`
	Actor    string                   `json:"actor"` // the operator's or instance's name
	Instance identifier.Instance      `json:"instance"`
	Action   string                   `json:"action"`
	From     identifier.BundleVersion `json:"from"`
	To       identifier.BundleVersion `json:"to"`
	Digest   string                   `json:"digest,omitempty"` // of the bundle's content
	Detail   string                   `json:"detail,omitempty"`
}

// Entry is a record in its place in the chain.
type Entry struct {
	Sequence uint64 `json:"sequence"` // from 1, without gaps
	Record
	Previous string `json:"previous"` // the hash of the entry before; empty for the first
	Hash     string `json:"hash"`     // over all other fields
}

// chain returns r as the entry after last. The zero last stands for the trail's beginning.
func chain(last Entry, r Record) Entry {
	r.At = r.At.UTC().Truncate(time.Millisecond)
	r.Detail = cut(r.Detail)
	e := Entry{Sequence: last.Sequence + 1, Record: r, Previous: last.Hash}
	e.Hash = e.hash()
	return e
}

// hash returns the hash that e should hold.
func (e Entry) hash() string {
	e.Hash = ""
	text, err := json.Marshal(e)
	if err != nil { // only a year past 9999 does not marshal
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// identified returns r with an ID.
func identified(r Record) Record {
	if r.ID == "" {
		r.ID = Entry{Record: r}.hash()[:16]
	}
	return r
}

func cut(detail string) string {
	if len(detail) > maxDetail {
		detail = detail[:maxDetail]
		for !utf8.ValidString(detail) && len(detail) > maxDetail-utf8.UTFMax {
			detail = detail[:len(detail)-1]
		}
	}
	return strings.ToValidUTF8(detail, "?")
}
