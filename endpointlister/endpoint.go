package endpointlister

import (
	"net/netip"
	"reflect"
	"time"

	"amaranthmill/internal/identifier"
)

// Endpoint is a model engine or a server of a plain service, as its entry in the store or its
// own report describes it.
type Endpoint struct {
	ID            identifier.Endpoint
	Service       identifier.Service
	Address       netip.AddrPort
	FailureDomain identifier.FailureDomain
	FabricDomain  identifier.FabricDomain // empty for a plain service
	Slots         int                     // requests that it runs concurrently
	Draining      bool
	Warmup        time.Duration // remaining time in which it serves more slowly after its start, as of the write of its entry
	WarmAt        time.Time     // end of Warmup, counted from when the entry was received; zero if the endpoint was not cold. A Lister sets it
	ProcessStart  identifier.ProcessStart
	Models        []string   // models whose weights are loaded in the engine
	Staged        []string   // models whose weights are on the engine's host
	Membership    Membership // zero if it belongs to no group
}

// MemberState is the state of an endpoint in its replica group.
type MemberState uint8

// The states of a member.
const (
	MemberNone MemberState = iota
	MemberJoining
	MemberReady
	MemberOpen
	MemberClosing
	MemberBroken
)

// String returns the name of the state in logs and metrics.
func (s MemberState) String() string {
	return [...]string{"none", "joining", "ready", "open", "closing", "broken"}[s]
}

// Membership describes the group to which an endpoint belongs, and its rank and state there.
// The member with rank 0 is the head, which receives the group's requests.
type Membership struct {
	Group identifier.Group
	Epoch identifier.Epoch
	Rank  int
	State MemberState
}

// IsSameGroup reports whether m and o belong to the same group in the same epoch. Rank and state may differ.
func (m Membership) IsSameGroup(o Membership) bool { return m.Group == o.Group && m.Epoch == o.Epoch }

// isEqual reports whether e and o say the same. Warmup, which shrinks with each write of an entry, counts only by its end.
func (e Endpoint) isEqual(o Endpoint) bool {
	e.Warmup, o.Warmup = 0, 0
	return reflect.DeepEqual(e, o)
}

// warmAtTolerance is the time by which the end of an endpoint's cold time may come earlier with a new entry
// without counting as a change: entries take different times to arrive, and each write of them would change the list.
const warmAtTolerance = 300 * time.Millisecond

// setWarmAt sets WarmAt from Warmup as of now. old is the endpoint's earlier entry, or the zero value. An entry that took
// long to arrive lengthens the cold time, and the next one corrects that.
func (e *Endpoint) setWarmAt(now time.Time, old Endpoint) {
	e.WarmAt = time.Time{}
	if e.Warmup > 0 {
		e.WarmAt = now.Add(e.Warmup)
	}
	if old.ProcessStart != e.ProcessStart || old.WarmAt.IsZero() {
		return
	}
	end := e.WarmAt
	if end.IsZero() {
		end = now
	}
	if !end.After(old.WarmAt) && old.WarmAt.Sub(end) < warmAtTolerance || e.Warmup <= 0 && !old.WarmAt.After(now) {
		e.WarmAt = old.WarmAt
	}
}
