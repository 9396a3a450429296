package grouper

import (
	"fmt"
	"net/netip"
	"slices"

	"amaranthmill/internal/identifier"
)

// EpochStep is the distance between the epochs that records give. A promise of a standby
// takes such a step of its own, with an epoch for the succession to each member.
const EpochStep = 64

// MaxGroupSize is the largest number of members of a group, so that each member's
// succession has an epoch of its own below the next EpochStep.
const MaxGroupSize = EpochStep

// Record is all replica groups of one fabric domain, kept as one value of the platform's
// service. The zero value has no groups and is valid.
type Record struct {
	FabricDomain  identifier.FabricDomain  `json:"fabricDomain"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	LastEpoch     identifier.Epoch         `json:"lastEpoch"` // the highest that was given here, a multiple of EpochStep
	Groups        []Assignment             `json:"groups"`    // by name
}

// Assignment is one replica group: which endpoints run what.
type Assignment struct {
	Group         identifier.Group         `json:"group"`
	Pool          identifier.Pool          `json:"pool"`
	Epoch         identifier.Epoch         `json:"epoch"`
	Members       []Member                 `json:"members"`
	Standby       *Standby                 `json:"standby,omitempty"` // promised to this group alone
	BundleVersion identifier.BundleVersion `json:"bundleVersion"`     // in which the group's model was last changed
	Base          string                   `json:"base"`
	Version       string                   `json:"version"`
	Adapters      []string                 `json:"adapters,omitempty"`
	Draining      bool                     `json:"draining,omitempty"` // gets no new requests
}

// model is what an endpoint loads from the weight store.
type model struct{ base, version string }

func (a *Assignment) model() model { return model{base: a.Base, version: a.Version} }

// Member is one endpoint of a group in one run of its process.
type Member struct {
	Endpoint     identifier.Endpoint     `json:"endpoint"`
	Address      netip.AddrPort          `json:"address"`
	ProcessStart identifier.ProcessStart `json:"processStart"`
}

// Standby is an endpoint that takes the place of a member that is lost, without a further
// change of the record. Epoch is that of the group if the standby succeeds its first member,
// Epoch+1 its second, and so on. A new promise has new epochs, so that an epoch stands for
// the same members for ever.
type Standby struct {
	Member

	Epoch identifier.Epoch `json:"epoch"`
}

// InvalidRecordError says why a record must not be kept.
type InvalidRecordError struct {
	FabricDomain identifier.FabricDomain
	Reason       string
}

// Error returns the fabric domain and the reason.
func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("grouper: invalid record of fabric domain %s: %s", e.FabricDomain, e.Reason)
}

// Check returns an *InvalidRecordError if an endpoint stands in r twice, as member or
// standby, if two groups share a name or an epoch, or if a group's size is out of range.
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
			return r.invalidError("group name %q is empty or stands twice", g.Group)
		case g.Epoch == 0 || base > r.LastEpoch || epochs[base]:
			return r.invalidError("epoch %d of group %s is zero, too high or stands twice", g.Epoch, g.Group)
		case g.Standby != nil && (next != BaseEpoch(next) || next <= g.Epoch || next > r.LastEpoch || epochs[next]):
			return r.invalidError("epoch %d of the standby of group %s is too low, too high or stands twice", next, g.Group)
		case len(g.Members) == 0 || len(g.Members) > MaxGroupSize:
			return r.invalidError("group %s has %d members", g.Group, len(g.Members))
		}
		groups[g.Group], epochs[base], epochs[next] = true, true, true
		for _, m := range g.membersAndStandby() {
			if other, ok := endpoints[m.Endpoint]; ok || m.Endpoint == "" {
				return r.invalidError("endpoint %q stands in group %q and in group %q", m.Endpoint, other, g.Group)
			}
			endpoints[m.Endpoint] = g.Group
		}
	}
	return nil
}

func (r *Record) invalidError(format string, args ...any) error {
	return &InvalidRecordError{FabricDomain: r.FabricDomain, Reason: fmt.Sprintf(format, args...)}
}

// BaseEpoch returns the epoch that a record gave and to whose step e belongs.
func BaseEpoch(e identifier.Epoch) identifier.Epoch { return e - e%EpochStep }

// membersAndStandby returns the members of a and its standby.
func (a *Assignment) membersAndStandby() []Member {
	if a.Standby == nil {
		return a.Members
	}
	return append(slices.Clone(a.Members), a.Standby.Member)
}

// Successions returns what a becomes if its standby takes a member's place: one assignment
// for each member, or none without a standby. A succession has no standby.
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

// clone returns a copy of r that shares nothing that a planner changes.
func (r *Record) clone() Record {
	c := *r
	c.Groups = slices.Clone(r.Groups)
	for i := range c.Groups {
		c.Groups[i].Members = slices.Clone(c.Groups[i].Members)
	}
	return c
}

// nextEpoch gives the next epoch of the fabric domain.
func (r *Record) nextEpoch() identifier.Epoch {
	r.LastEpoch += EpochStep
	return r.LastEpoch
}
