package grouper

import (
	"fmt"
	"net/netip"
	"slices"

	"amaranthmill/internal/identifier"
)

// EpochStep is the distance between the epochs that a record assigns. The reservation of a
// standby takes a step of its own, with a separate epoch for the succession to each member.
const EpochStep = 64

// MaxGroupSize is the largest number of members of a group. It ensures that the succession to
// each member has its own epoch below the next EpochStep.
const MaxGroupSize = EpochStep

// Record contains all replica groups of one fabric domain and is stored as one value on the
// platform. The zero value has no groups and is valid.
type Record struct {
	FabricDomain  identifier.FabricDomain  `json:"fabricDomain"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	LastEpoch     identifier.Epoch         `json:"lastEpoch"` // the highest epoch assigned so far, a multiple of EpochStep
	Groups        []Assignment             `json:"groups"`    // sorted by name
}

// Assignment is one replica group: its endpoints and the model that they run.
type Assignment struct {
	Group         identifier.Group         `json:"group"`
	Pool          identifier.Pool          `json:"pool"`
	Epoch         identifier.Epoch         `json:"epoch"`
	Members       []Member                 `json:"members"`
	Standby       *Standby                 `json:"standby,omitempty"` // reserved for this group alone
	BundleVersion identifier.BundleVersion `json:"bundleVersion"`     // version in which the group's model last changed
	Base          string                   `json:"base"`
	Version       string                   `json:"version"`
	Adapters      []string                 `json:"adapters,omitempty"`
	Draining      bool                     `json:"draining,omitempty"` // the group receives no new requests
}

// model identifies the weights that an endpoint loads from the weight store.
type model struct{ base, version string }

func (a *Assignment) model() model { return model{base: a.Base, version: a.Version} }

// Member is one endpoint of a group, identified by one start of its process.
type Member struct {
	Endpoint     identifier.Endpoint     `json:"endpoint"`
	Address      netip.AddrPort          `json:"address"`
	ProcessStart identifier.ProcessStart `json:"processStart"`
}

// Standby is an endpoint that replaces a lost member without a further change of the record.
// If the standby replaces the first member, the group's epoch becomes Epoch; if it replaces
// the second, Epoch+1; and so on. A new reservation gets new epochs, so that an epoch always
// stands for the same members.
type Standby struct {
	Member

	Epoch identifier.Epoch `json:"epoch"`
}

// InvalidRecordError says why a record is invalid.
type InvalidRecordError struct {
	FabricDomain identifier.FabricDomain
	Reason       string
}

// Error returns a message with the fabric domain and the reason.
func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("grouper: invalid record of fabric domain %s: %s", e.FabricDomain, e.Reason)
}

// Check returns an *InvalidRecordError if r lists an endpoint twice, as member or standby, if
// two groups share a name or an epoch, or if the size of a group is out of range.
func (r *Record) Check() error {
	endpoints := map[identifier.Endpoint]identifier.Group{}
	groups := map[identifier.Group]bool{}
	epochs := map[identifier.Epoch]bool{}
	for _, g := range r.Groups {
		base, next := BaseEpoch(g.Epoch), identifier.Epoch(0)
		if g.Standby != nil {
			next = g.Standby.Epoch
		}
		switch {
		case g.Group == "" || groups[g.Group]:
			return r.invalidError("group name %q is empty or not unique", g.Group)
		case g.Epoch == 0 || base > r.LastEpoch || epochs[base]:
			return r.invalidError("epoch %d of group %s is zero, too high or not unique", g.Epoch, g.Group)
		case g.Standby != nil && (next != BaseEpoch(next) || next <= g.Epoch || next > r.LastEpoch || epochs[next]):
			return r.invalidError("epoch %d of the standby of group %s is too low, too high or not unique", next, g.Group)
		case len(g.Members) == 0 || len(g.Members) > MaxGroupSize:
			return r.invalidError("group %s has %d members", g.Group, len(g.Members))
		}
		groups[g.Group], epochs[base], epochs[next] = true, true, true
		for _, m := range g.membersAndStandby() {
			if other, ok := endpoints[m.Endpoint]; ok || m.Endpoint == "" {
				return r.invalidError("endpoint %q is listed in group %q and in group %q", m.Endpoint, other, g.Group)
			}
			endpoints[m.Endpoint] = g.Group
		}
	}
	return nil
}

func (r *Record) invalidError(format string, args ...any) error {
	return &InvalidRecordError{FabricDomain: r.FabricDomain, Reason: fmt.Sprintf(format, args...)}
}

// BaseEpoch returns the multiple of EpochStep, as assigned by a record, to whose step e
// belongs.
func BaseEpoch(e identifier.Epoch) identifier.Epoch { return e - e%EpochStep }

// membersAndStandby returns the members of a followed by its standby, if any.
func (a *Assignment) membersAndStandby() []Member {
	if a.Standby == nil {
		return a.Members
	}
	return append(slices.Clone(a.Members), a.Standby.Member)
}

// Successions returns one assignment for each member of a, in which the standby of a replaces
// that member. It returns none if a has no standby. A succession has no standby itself.
func (a *Assignment) Successions() []Assignment {
	if a.Standby == nil {
		return nil
	}
	out := make([]Assignment, len(a.Members))
	for i := range a.Members {
		s := *a
		s.Epoch = a.Standby.Epoch + identifier.Epoch(i)
		s.Members = slices.Clone(a.Members)
		s.Members[i] = a.Standby.Member
		s.Standby = nil
		out[i] = s
	}
	return out
}

// clone returns a copy of r that shares no memory that a planner changes.
func (r *Record) clone() Record {
	c := *r
	c.Groups = slices.Clone(r.Groups)
	for i := range c.Groups {
		c.Groups[i].Members = slices.Clone(c.Groups[i].Members)
	}
	return c
}

// nextEpoch assigns and returns the next epoch of the fabric domain.
func (r *Record) nextEpoch() identifier.Epoch {
	r.LastEpoch += EpochStep
	return r.LastEpoch
}
