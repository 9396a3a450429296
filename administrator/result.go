package administrator

import (
	"time"

	"amaranthmill/auditor"
	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// BundleIdentity names a bundle that was checked, stored or accepted.
type BundleIdentity struct {
	Version identifier.BundleVersion `json:"version"`
	Digest  string                   `json:"digest"`
}

// BundleContent is a bundle's exact bytes with its sign-off, if it has one.
type BundleContent struct {
	Version identifier.BundleVersion `json:"version"`
	Digest  string                   `json:"digest"`
	Signer  string                   `json:"signer,omitempty"` // empty for a proposal
	Bytes   []byte                   `json:"content"`
}

func contentOf(d *bundler.Document) BundleContent {
	return BundleContent{Version: d.Bundle.Version, Digest: d.Digest.String(), Signer: d.Signer, Bytes: d.Content}
}

// signatureWire is a sign-off. The signer is the operator who sends it.
type signatureWire struct {
	Signature []byte `json:"signature"`
}

// BundleList lists the proposals and the latest accepted versions, the newest last.
type BundleList struct {
	InForce   identifier.BundleVersion `json:"inForce"`
	Accepted  []Acceptance             `json:"accepted"`
	Proposals []Proposal               `json:"proposals"`
}

// Acceptance is a version that was accepted.
type Acceptance struct {
	Version  identifier.BundleVersion `json:"version"`
	Previous identifier.BundleVersion `json:"previous"`
	Signer   string                   `json:"signer"`
	Digest   string                   `json:"digest"`
	Note     string                   `json:"note,omitempty"`
	At       time.Time                `json:"at"`
}

// Proposal is a bundle that waits for its sign-off.
type Proposal struct {
	Version  identifier.BundleVersion `json:"version"`
	Previous identifier.BundleVersion `json:"previous"`
	Author   string                   `json:"author"`
	Note     string                   `json:"note,omitempty"`
}

func listOf(inForce *bundler.Document, proposals []*bundler.Bundle, last auditor.Page) BundleList {
	l := BundleList{Accepted: []Acceptance{}, Proposals: []Proposal{}}
	if inForce != nil {
		l.InForce = inForce.Bundle.Version
	}
	for _, e := range last.Entries {
		if e.Action == auditor.ActionAccepted {
			l.Accepted = append(l.Accepted, Acceptance{Version: e.To, Previous: e.From, Signer: e.Actor, Digest: e.Digest, Note: e.Detail, At: e.At})
		}
	}
	for _, b := range proposals {
		l.Proposals = append(l.Proposals, Proposal{Version: b.Version, Previous: b.Previous, Author: b.Author, Note: b.Note})
	}
	return l
}

// Rollout says how far the bundle in force on the answering instance has spread.
type Rollout struct {
	InForce   identifier.BundleVersion `json:"inForce"`
	Digest    string                   `json:"digest,omitempty"`
	Behind    int                      `json:"behind"` // instances with a lower version, or none in reach
	Instances []InstanceStatus         `json:"instances"`
}

// FleetStatus is every instance that the answering instance knows.
type FleetStatus struct {
	Instances []InstanceStatus `json:"instances"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// GroupList is every replica group that the answering instance knows.
type GroupList struct {
	Groups []GroupStatus `json:"groups"`
}
