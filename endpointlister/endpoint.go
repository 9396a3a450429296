package endpointlister

import (
	"net/netip"
	"reflect"
	"time"

	"amaranthmill/internal/identifier"
)

// Endpoint is a model engine or an instance of a plain service, as it describes itself.
type Endpoint struct {
	ID            identifier.Endpoint
	Service       identifier.Service
	Address       netip.AddrPort
	FailureDomain identifier.FailureDomain
	FabricDomain  identifier.FabricDomain // empty for a plain service
	Slots         int                     // requests that it runs at once
	Draining      bool
	Warmup        time.Duration // that it stays slow after its start
	ProcessStart  identifier.ProcessStart
	Models        []string   // whose weights it holds
	Staged        []string   // models that its host has at hand
	Membership    Membership // zero if it is in no group
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

// String names the state in logs and metrics.
func (s MemberState) String() string {
	return [...]string{"none", "joining", "ready", "open", "closing", "broken"}[s]
}

// Membership is an endpoint's place in a replica group. Rank 0 is the head, which takes the group's requests.
type Membership struct {
	Group identifier.Group
	Epoch identifier.Epoch
	Rank  int
	State MemberState
}

// IsSameGroup reports whether m and o are places in the same forming of the same group.
func (m Membership) IsSameGroup(o Membership) bool { return m.Group == o.Group && m.Epoch == o.Epoch }

// isEqual reports whether e and o say the same.
func (e Endpoint) isEqual(o Endpoint) bool { return reflect.DeepEqual(e, o) }
