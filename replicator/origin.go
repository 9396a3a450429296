package replicator

import (
	"fmt"

	"github.com/rs/zerolog"

	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// OriginKind is the kind of an answer from which a replica has changes.
type OriginKind uint8

// The kinds of answers.
const (
	OriginList   OriginKind = iota // a list of the store
	OriginWatch                    // a watch of the store or of the peer that the replica follows
	OriginUpdate                   // what a peer has returned to a query
	OriginValue                    // the value of a reference
	OriginGrace                    // none: the time in which entries may be written again after a restore has ended
)

// String returns the name of the kind in logs.
func (k OriginKind) String() string {
	switch k {
	case OriginList:
		return "list"
	case OriginWatch:
		return "watch"
	case OriginUpdate:
		return "update"
	case OriginValue:
		return "value"
	case OriginGrace:
		return "grace"
	}
	return fmt.Sprintf("OriginKind(%d)", uint8(k))
}

// Origin describes where a replica has changes from.
type Origin struct {
	Kind OriginKind
	Era  storeclient.Era     // in which the revisions of the changes count
	Peer identifier.Instance // that has returned them; empty for the store
}

// MarshalZerologObject adds the fields source, era and, for a peer, peer to a log line.
func (o Origin) MarshalZerologObject(e *zerolog.Event) {
	e.Stringer("source", o.Kind).Uint64("era", uint64(o.Era))
	if o.Peer != "" {
		e.Str("peer", string(o.Peer))
	}
}

// IgnoreReason is why something in an answer was not applied.
type IgnoreReason uint8

// The reasons.
const (
	IgnoredOlder     IgnoreReason = iota // the replica holds a newer version of the key or knows that it was removed
	IgnoredOvertaken                     // the store has answered a later call since
	IgnoredOtherEra                      // the answer, or the revision that was asked for, is of another era
)

// String returns the name of the reason in logs.
func (r IgnoreReason) String() string {
	switch r {
	case IgnoredOlder:
		return "older"
	case IgnoredOvertaken:
		return "overtaken"
	case IgnoredOtherEra:
		return "otherEra"
	}
	return fmt.Sprintf("IgnoreReason(%d)", uint8(r))
}

// Ignored reports an answer that was not applied, or entries of it.
type Ignored struct {
	Reason   IgnoreReason
	Origin   Origin
	Revision uint64 // of the answer
	Key      string // the first one that was ignored; empty if nothing of the answer was applied
	Held     uint64 // revision of the replica
	HeldEra  storeclient.Era
}

func (Ignored) action() {}

// ignore returns the report of an answer of which nothing is applied.
func (c *Core) ignore(reason IgnoreReason, from Origin, revision uint64) []Action {
	return []Action{Ignored{Reason: reason, Origin: from, Revision: revision, Held: c.revision, HeldEra: c.era}}
}
