package bundler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"amaranthmill/auditor"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

const (
	proposalPrefix = "bundles/proposals/"
	versionPrefix  = "bundles/versions/"
)

// Recorder appends records to the audit trail. auditor.Trail implements it.
type Recorder interface {
	Append(ctx context.Context, r auditor.Record) (auditor.Entry, error)
}

// RegistrarConfig configures a Registrar. All fields but Logger are required.
type RegistrarConfig struct {
	Signers   Signers
	Platform  Platform
	Store     *Store // of this instance; applies a bundle as soon as the Registrar has accepted it
	Trail     Recorder
	Inventory func(ctx context.Context) (*Inventory, error) // deployed engines, for validation
	Logger    zerolog.Logger
}

// Registrar stores proposals and accepts signed bundles. Any number of Registrars may use
// the same platform. A Registrar is safe for concurrent use.
type Registrar struct {
	cfg   RegistrarConfig
	pause func(ctx context.Context, d time.Duration)
}

// NewRegistrar returns a Registrar for cfg.
func NewRegistrar(cfg RegistrarConfig) *Registrar { return &Registrar{cfg: cfg, pause: pause} }

// Check validates a bundle against the fleet's inventory and stores nothing. Its errors are
// *InvalidError and those of the platform.
func (r *Registrar) Check(ctx context.Context, content []byte) (*Bundle, error) {
	inv, err := r.cfg.Inventory(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the fleet")
	}
	return Check(content, inv)
}

// Propose checks a bundle and stores it for sign-off. It succeeds again for the same
// content. Its errors are *InvalidError, *DocumentError, *ConflictError,
// *ReusedVersionError and those of the platform.
func (r *Registrar) Propose(ctx context.Context, actor string, content []byte) (*Bundle, error) {
	b, err := r.Check(ctx, content)
	if err != nil {
		return nil, err
	}
	if b.Author != actor {
		return nil, &InvalidError{Problems: []Problem{{Path: "author", Message: fmt.Sprintf("is %q; set it to your own name, %q", b.Author, actor)}}}
	}
	current, err := r.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	if err := checkFollows(b, current.document); err != nil {
		return nil, err
	}
	if err := r.createProposal(ctx, b.Version, content); err != nil {
		return nil, err
	}
	_, err = r.cfg.Trail.Append(ctx, auditor.Record{
		ID: recordID(auditor.ActionProposed, b.Version, DigestOf(content)), Actor: actor, Action: auditor.ActionProposed,
		From: b.Previous, To: b.Version, Digest: DigestOf(content).String(), Detail: b.Note,
	})
	return b, eris.Wrap(err, "record the proposal")
}

// Proposal returns the exact bytes of a proposed bundle. Its errors are *NotFoundError and
// those of the platform.
func (r *Registrar) Proposal(ctx context.Context, v identifier.BundleVersion) ([]byte, error) {
	entry, err := r.cfg.Platform.Get(ctx, proposalKey(v))
	var notFound *storeclient.NotFoundError
	if errors.As(err, &notFound) {
		return nil, &NotFoundError{Version: v}
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the proposal")
	}
	return decompress(entry.Value)
}

// Accepted returns the signed document of an accepted version. Its errors are
// *NotFoundError, those of the platform and those of Signers.Open.
func (r *Registrar) Accepted(ctx context.Context, v identifier.BundleVersion) (*Document, error) {
	if d := r.cfg.Store.CurrentDocument(); d != nil && d.Bundle.Version == v {
		return d, nil
	}
	current, err := r.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	if current.document != nil && current.document.Bundle.Version == v {
		return current.document, nil
	}
	entry, err := r.cfg.Platform.Get(ctx, versionKey(v))
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return nil, &NotFoundError{Version: v}
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the version")
	}
	return r.cfg.Signers.Open(entry.Value)
}

// Proposals returns the proposed bundles with a version above the one in force, in
// ascending order of version. It skips proposals that it cannot decode. Its errors are
// those of the platform.
func (r *Registrar) Proposals(ctx context.Context) ([]*Bundle, error) {
	entries, err := r.cfg.Platform.List(ctx, proposalPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "list the proposals")
	}
	inForce, _ := r.cfg.Store.EncodedDocument()
	var proposals []*Bundle
	for _, e := range entries {
		content, err := decompress(e.Value)
		if err != nil {
			continue
		}
		b, err := Parse(content)
		if err == nil && b.Version > inForce {
			proposals = append(proposals, b)
		}
	}
	slices.SortFunc(proposals, func(a, b *Bundle) int { return cmp.Compare(a.Version, b.Version) })
	return proposals, nil
}

func proposalKey(v identifier.BundleVersion) string   { return proposalPrefix + formatVersion(v) }
func versionKey(v identifier.BundleVersion) string    { return versionPrefix + formatVersion(v) }
func formatVersion(v identifier.BundleVersion) string { return strconv.FormatUint(uint64(v), 10) }

func recordID(action string, v identifier.BundleVersion, d Digest) string {
	return fmt.Sprintf("%s/%d/%s", action, v, d.String()[:16])
}
