package administrator

import (
	"time"

	"amaranthmill/auditor"
	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// BundleIdentity identifies a bundle that was checked, stored or accepted.
type BundleIdentity struct {
	Version identifier.BundleVersion `json:"version"`
	Digest  string                   `json:"digest"`
}

// BundleContent holds the exact bytes of a bundle and, for an accepted one, its signer.
type BundleContent struct {
	Version identifier.BundleVersion `json:"version"`
	Digest  string                   `json:"digest"`
	Signer  string                   `json:"signer,omitempty"` // empty for a proposal
	Bytes   []byte                   `json:"content"`
}

func newBundleContent(d *bundler.Document) BundleContent {
	return BundleContent{Version: d.Bundle.Version, Digest: d.Digest.String(), Signer: d.Signer, Bytes: d.Content}
}

// signatureWire is a sign-off. The signer is the operator who sends it.
type signatureWire struct {
	Signature []byte `json:"signature"`
}

// BundleList holds the proposals and the latest accepted versions, each with the newest last.
type BundleList struct {
	InForce   identifier.BundleVersion `json:"inForce"`
	Accepted  []Acceptance             `json:"accepted"`
	Proposals []Proposal               `json:"proposals"`
}

// Acceptance describes an accepted version.
type Acceptance struct {
	Version  identifier.BundleVersion `json:"version"`
	Previous identifier.BundleVersion `json:"previous"`
	Signer   string                   `json:"signer"`
	Digest   string                   `json:"digest"`
	Note     string                   `json:"note,omitempty"`
	At       time.Time                `json:"at"`
}

// Proposal describes a bundle that awaits its sign-off.
type Proposal struct {
	Version  identifier.BundleVersion `json:"version"`
	Previous identifier.BundleVersion `json:"previous"`
	Author   string                   `json:"author"`
	Note     string                   `json:"note,omitempty"`
}

func newBundleList(inForce *bundler.Document, proposals []*bundler.Bundle, last auditor.Page) BundleList {
	list := BundleList{Accepted: []Acceptance{}, Proposals: []Proposal{}}
	if inForce != nil {
		list.InForce = inForce.Bundle.Version
	}
	for _, e := range last.Entries {
		if e.Action == auditor.ActionAccepted {
			list.Accepted = append(list.Accepted, Acceptance{Version: e.To, Previous: e.From, Signer: e.Actor, Digest: e.Digest, Note: e.Detail, At: e.At})
		}
	}
	for _, b := range proposals {
		list.Proposals = append(list.Proposals, Proposal{Version: b.Version, Previous: b.Previous, Author: b.Author, Note: b.Note})
	}
	return list
}

// Rollout describes the progress of the rollout of the bundle that is in force on the
// answering instance.
type Rollout struct {
	InForce   identifier.BundleVersion `json:"inForce"`
	Digest    string                   `json:"digest,omitempty"`
	Behind    int                      `json:"behind"` // instances whose version is lower, absent or unknown
	Instances []InstanceStatus         `json:"instances"`
}

// FleetStatus holds the instances and endpoints known to the answering instance.
type FleetStatus struct {
	Instances []InstanceStatus `json:"instances"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// GroupList holds the replica groups known to the answering instance.
type GroupList struct {
	Groups []GroupStatus `json:"groups"`
}
