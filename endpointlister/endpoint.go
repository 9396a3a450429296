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
	Warmup        time.Duration // remaining time in which it serves more slowly after its start
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

func (e Endpoint) isEqual(o Endpoint) bool { return reflect.DeepEqual(e, o) }
