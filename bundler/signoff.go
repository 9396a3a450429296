package bundler

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"amaranthmill/auditor"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

const (
	// documentOverhead is the space in bytes that a document reserves for its field names, the
	// signer's name and the signature.
	documentOverhead = 1000
	// keptVersions is the number of versions below the one in force for which the archived
	// document is kept.
	keptVersions = 500
	// keptProposals is the number of versions, up to the one in force, for which the proposal
	// is kept, so that a late sign-off of a superseded proposal reports the
	// version in force.
	keptProposals = 20
	// maxPrunedVersions bounds the versions for which one acceptance deletes keys.
	maxPrunedVersions = 10
	// maxSignOffAttempts bounds the attempts of one acceptance, which are repeated after
	// concurrent writes and unknown outcomes.
	maxSignOffAttempts = 10
)

// currentState is the state that a new bundle has to follow.
type currentState struct {
	document *Document // the document of the highest version known to be in force; nil if there is none
	revision uint64    // of the platform's value; zero if it is absent
}

// SignOff accepts a proposed bundle: if the signature is valid and the bundle was derived
// from the version in force, it becomes the platform's current one. A second sign-off of an
// accepted bundle also succeeds, so a caller that received no answer can repeat the call.
// Its errors are *NotFoundError, *InvalidError, *SignOffError, *ConflictError,
// *ReusedVersionError, *UnsettledError and those of the platform. After an error of the
// platform, nothing was accepted.
func (r *Registrar) SignOff(ctx context.Context, v identifier.BundleVersion, signer string, signature []byte) (*Document, error) {
	d, err := r.buildDocument(ctx, v, signer, signature)
	if err != nil {
		return nil, err
	}
	d, err = r.accept(ctx, d)
	if err != nil {
		return nil, err
	}
	_ = r.cfg.Store.submit(Accepted{Document: d}) // the core refuses no accepted document
	r.recordAcceptance(ctx, d)
	r.prune(ctx, d.Bundle)
	return d, nil
}

// buildDocument builds and verifies the signed document of a proposal.
func (r *Registrar) buildDocument(ctx context.Context, v identifier.BundleVersion, signer string, signature []byte) (*Document, error) {
	content, err := r.readContent(ctx, v)
	if err != nil {
		return nil, err
	}
	encoded, err := EncodeDocument(content, signer, signature)
	if err != nil {
		return nil, eris.Wrap(err, "encode the document")
	}
	d, err := r.cfg.Signers.Open(encoded)
	if err != nil {
		return nil, err
	}
	inv, err := r.cfg.Inventory(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the fleet")
	}
	if problems := Validate(d.Bundle, inv); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return d, nil
}

// readContent returns the bytes of a proposal, or of an accepted version whose proposal was
// deleted. If neither exists and a later version is in force, the proposal may have been
// superseded and deleted, and the error is a *ConflictError.
func (r *Registrar) readContent(ctx context.Context, v identifier.BundleVersion) ([]byte, error) {
	content, err := r.Proposal(ctx, v)
	if !errors.As(err, new(*NotFoundError)) {
		return content, err
	}
	d, err := r.Accepted(ctx, v)
	if err == nil {
		return d.Content, nil
	}
	current, currentErr := r.readCurrent(ctx)
	if errors.As(err, new(*NotFoundError)) && currentErr == nil && current.document != nil && current.document.Bundle.Version > v {
		return nil, &ConflictError{Version: v, InForce: current.document.Bundle.Version, Signer: current.document.Signer}
	}
	return nil, err
}

// accept makes d the current document and returns the accepted document, which carries
// another sign-off if another signer was first. After a write with an unknown outcome it
// reads the state again until the outcome is known, ctx ends or the attempts are used up.
func (r *Registrar) accept(ctx context.Context, d *Document) (*Document, error) {
	var unknown error
	for range maxSignOffAttempts {
		accepted, err := r.acceptOnce(ctx, d)
		if accepted != nil {
			return accepted, nil
		}
		var unavailable *storeclient.UnavailableError
		switch {
		case err == nil: // the platform's value changed before the write
		case errors.As(err, new(*storeclient.UnknownError)):
			unknown = err
		case unknown != nil && errors.As(err, &unavailable):
		default:
			return nil, err
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			r.pause(ctx, retryDelay)
		}
	}
	if unknown == nil {
		return nil, &storeclient.UnavailableError{Call: "swap", Cause: &storeclient.ConflictError{Key: CurrentKey}}
	}
	return nil, &UnsettledError{Version: d.Bundle.Version, Cause: unknown}
}

// acceptOnce attempts the compare-and-swap once. It returns neither a document nor an error
// if the platform's value changed between the read and the write.
func (r *Registrar) acceptOnce(ctx context.Context, d *Document) (*Document, error) {
	current, err := r.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	if earlier, err := r.findAccepted(ctx, d, current); earlier != nil || err != nil {
		return earlier, err
	}
	if err := checkFollows(d.Bundle, current.document); err != nil {
		return nil, err
	}
	if err := r.prepare(ctx, d, current.document); err != nil {
		return nil, notAccepted(err)
	}
	if current.revision == 0 {
		_, err = r.cfg.Platform.Create(ctx, CurrentKey, d.Encoded, "")
	} else {
		_, err = r.cfg.Platform.Swap(ctx, CurrentKey, current.revision, d.Encoded)
	}
	if errors.As(err, new(*storeclient.ConflictError)) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "write the current bundle")
	}
	return d, nil
}

// readCurrent returns the document of the higher version of the platform's and this
// instance's. If the platform's document cannot be verified, only its revision is used.
func (r *Registrar) readCurrent(ctx context.Context) (currentState, error) {
	current := currentState{document: r.cfg.Store.CurrentDocument()}
	entry, err := r.cfg.Platform.Get(ctx, CurrentKey)
	if errors.As(err, new(*storeclient.NotFoundError)) {
		return current, nil
	}
	if err != nil {
		return current, eris.Wrap(err, "read the current bundle")
	}
	current.revision = entry.Revision
	if current.document != nil && bytes.Equal(entry.Value, current.document.Encoded) {
		return current, nil
	}
	d, err := r.cfg.Signers.Open(entry.Value)
	if err != nil {
		r.cfg.Logger.Error().Err(err).Msg("bundler: current bundle of the platform failed verification; using only its revision")
		return current, nil
	}
	if current.document == nil || d.Bundle.Version > current.document.Bundle.Version {
		current.document = d
	}
	return current, nil
}

// findAccepted returns the accepted document with d's version and content, which is either
// in force or was archived when a later document replaced it. It is nil if there is none.
func (r *Registrar) findAccepted(ctx context.Context, d *Document, current currentState) (*Document, error) {
	if current.document == nil || d.Bundle.Version > current.document.Bundle.Version {
		return nil, nil
	}
	if d.Digest == current.document.Digest {
		return current.document, nil
	}
	entry, err := r.cfg.Platform.Get(ctx, versionKey(d.Bundle.Version))
	if errors.As(err, new(*storeclient.NotFoundError)) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the archived version")
	}
	archived, err := r.cfg.Signers.Open(entry.Value)
	if err != nil || archived.Digest != d.Digest {
		return nil, nil
	}
	return archived, nil
}

// prepare writes what has to be stored before d replaces the document in force. It archives
// the document in force under its version, so that exactly the accepted versions can be
// read later. It records the acceptance of that document, because the instance that accepted
// it may have failed before it recorded the acceptance. Then it records the sign-off of d.
func (r *Registrar) prepare(ctx context.Context, d, inForce *Document) error {
	if inForce != nil {
		_, err := r.cfg.Platform.Create(ctx, versionKey(inForce.Bundle.Version), inForce.Encoded, "")
		if err != nil && !errors.As(err, new(*storeclient.ConflictError)) {
			return eris.Wrap(err, "archive the bundle in force")
		}
		if _, err := r.cfg.Trail.Append(ctx, newAuditRecord(auditor.ActionAccepted, inForce)); err != nil {
			return eris.Wrap(err, "record the acceptance of the bundle in force")
		}
	}
	_, err := r.cfg.Trail.Append(ctx, newAuditRecord(auditor.ActionSigned, d))
	return eris.Wrap(err, "record the sign-off")
}

// createProposal stores content under its version. It succeeds if the same content is stored
// already.
func (r *Registrar) createProposal(ctx context.Context, v identifier.BundleVersion, content []byte) error {
	compressed, err := compress(content)
	if err != nil {
		return err
	}
	if len(compressed)*4/3 > MaxDocumentSize-documentOverhead {
		return &DocumentError{Reason: fmt.Sprintf("the bundle has %d bytes compressed, too many for a signed document of %d", len(compressed), MaxDocumentSize)}
	}
	_, err = r.cfg.Platform.Create(ctx, proposalKey(v), compressed, "")
	if !errors.As(err, new(*storeclient.ConflictError)) {
		return eris.Wrap(err, "store the proposal")
	}
	stored, err := r.Proposal(ctx, v)
	if err != nil {
		return err
	}
	if DigestOf(stored) != DigestOf(content) {
		return &ReusedVersionError{Version: v, Offered: DigestOf(content), Known: DigestOf(stored)}
	}
	return nil
}

// newAuditRecord returns the audit record of an action by d's signer on d.
func newAuditRecord(action string, d *Document) auditor.Record {
	id := recordID(action, d.Bundle.Version, d.Digest)
	if action == auditor.ActionSigned { // the sign-off of each signer is recorded
		id += "/" + d.Signer
	}
	return auditor.Record{
		ID: id, Actor: d.Signer, Action: action,
		From: d.Bundle.Previous, To: d.Bundle.Version, Digest: d.Digest.String(), Detail: d.Bundle.Note,
	}
}

// recordAcceptance records the acceptance of d in the audit trail after the fact. If it
// fails, the trail already holds the sign-off, and the next acceptance records this one.
func (r *Registrar) recordAcceptance(ctx context.Context, d *Document) {
	if _, err := r.cfg.Trail.Append(ctx, newAuditRecord(auditor.ActionAccepted, d)); err != nil {
		r.cfg.Logger.Error().Err(err).Uint64("version", uint64(d.Bundle.Version)).Msg("bundler: acceptance not recorded in the audit trail")
	}
}

// prune deletes the proposals and archived versions that are no longer kept. A failed
// deletion only wastes space.
func (r *Registrar) prune(ctx context.Context, b *Bundle) {
	first := max(b.Previous+1, b.Version-min(b.Version, maxPrunedVersions)+1)
	for v := first; v <= b.Version; v++ {
		if v > keptProposals {
			r.deleteKey(ctx, proposalKey(v-keptProposals))
		}
		if v > keptVersions {
			r.deleteKey(ctx, versionKey(v-keptVersions))
		}
	}
}

func (r *Registrar) deleteKey(ctx context.Context, key string) {
	entry, err := r.cfg.Platform.Get(ctx, key)
	if err != nil {
		return
	}
	if err := r.cfg.Platform.Delete(ctx, key, entry.Revision); err != nil {
		r.cfg.Logger.Warn().Err(err).Str("key", key).Msg("bundler: key not deleted")
	}
}

// checkFollows checks that b was derived from the document in force and has a higher version.
// The error is a *ConflictError.
func checkFollows(b *Bundle, inForce *Document) error {
	var version identifier.BundleVersion
	var signer string
	if inForce != nil {
		version, signer = inForce.Bundle.Version, inForce.Signer
	}
	if b.Version > version && b.Previous == version {
		return nil
	}
	return &ConflictError{Version: b.Version, Previous: b.Previous, InForce: version, Signer: signer}
}

// notAccepted converts an unknown outcome of a write before the acceptance to a
// *storeclient.UnavailableError, which states that nothing was accepted: only the write of
// CurrentKey accepts a bundle, and a retry finds the earlier write if it took effect.
func notAccepted(err error) error {
	if unknown := (*storeclient.UnknownError)(nil); errors.As(err, &unknown) {
		return &storeclient.UnavailableError{Call: unknown.Call, Cause: unknown}
	}
	return err
}
