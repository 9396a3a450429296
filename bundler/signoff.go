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
	// documentOverhead is the room in bytes for a document's names and signature.
	documentOverhead = 1000
	// keptVersions is how many accepted versions stay readable behind the one in force.
	keptVersions = 500
	// keptProposals is how many versions' proposals stay readable up to the one in force,
	// so that whoever signs one that lost is told which version won.
	keptProposals = 20
	// prunedAtOnce bounds the deletions that one acceptance makes.
	prunedAtOnce = 10
	// signOffRounds bounds the rounds of one acceptance against concurrent writers.
	signOffRounds = 10
)

// currentState is what a new bundle has to follow.
type currentState struct {
	document *Document // the highest known to be in force; nil if there is none
	revision uint64    // of the platform's value; zero if it is absent
}

// SignOff accepts a proposed bundle: if the signature counts and the bundle was made from
// the version in force, it becomes the platform's current one. Signing off again what is
// accepted is no error, so a caller without an answer asks again. Its errors are
// *NotFoundError, *InvalidError, *SignOffError, *ConflictError, *ReusedVersionError,
// *UnsettledError and those of the platform, after which nothing was accepted.
func (r *Registrar) SignOff(ctx context.Context, v identifier.BundleVersion, signer string, signature []byte) (*Document, error) {
	d, err := r.signed(ctx, v, signer, signature)
	if err != nil {
		return nil, err
	}
	d, err = r.accept(ctx, d)
	if err != nil {
		return nil, err
	}
	_ = r.cfg.Store.submit(Accepted{Document: d}) // an accepted document is never refused
	r.recordAcceptance(ctx, d)
	r.prune(ctx, d.Bundle)
	return d, nil
}

// signed builds and verifies the signed document of a proposal.
func (r *Registrar) signed(ctx context.Context, v identifier.BundleVersion, signer string, signature []byte) (*Document, error) {
	content, err := r.content(ctx, v)
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

// content returns the bytes of a proposal, or of an accepted version whose proposal is
// gone. A proposal that lost against a later version is gone too, which is a conflict.
func (r *Registrar) content(ctx context.Context, v identifier.BundleVersion) ([]byte, error) {
	content, err := r.Proposal(ctx, v)
	if !errors.As(err, new(*NotFoundError)) {
		return content, err
	}
	d, err := r.Accepted(ctx, v)
	if err == nil {
		return d.Content, nil
	}
	at, baseErr := r.base(ctx)
	if errors.As(err, new(*NotFoundError)) && baseErr == nil && at.document != nil && at.document.Bundle.Version > v {
		return nil, &ConflictError{Version: v, InForce: at.document.Bundle.Version, Signer: at.document.Signer}
	}
	return nil, err
}

// accept makes d the current document and returns the one accepted, which has another
// sign-off if another signer was first. Once a write has an unknown outcome, it reads back
// until the outcome is known or ctx ends.
func (r *Registrar) accept(ctx context.Context, d *Document) (*Document, error) {
	var unknown error
	for range signOffRounds {
		accepted, err := r.acceptOnce(ctx, d)
		if accepted != nil {
			return accepted, nil
		}
		var unavailable *storeclient.UnavailableError
		switch {
		case err == nil: // another write came between
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
			r.pause(ctx, readAgain)
		}
	}
	if unknown == nil {
		return nil, &storeclient.UnavailableError{Call: "swap", Cause: &storeclient.ConflictError{Key: CurrentKey}}
	}
	return nil, &UnsettledError{Version: d.Bundle.Version, Cause: unknown}
}

// acceptOnce tries the compare-and-swap once. It returns neither a document nor an error
// if the platform's value changed in between.
func (r *Registrar) acceptOnce(ctx context.Context, d *Document) (*Document, error) {
	at, err := r.base(ctx)
	if err != nil {
		return nil, err
	}
	if was, err := r.acceptedBefore(ctx, d, at); was != nil || err != nil {
		return was, err
	}
	if err := follows(d.Bundle, at.document); err != nil {
		return nil, err
	}
	if err := r.prepare(ctx, d, at.document); err != nil {
		return nil, notDone(err)
	}
	if at.revision == 0 {
		_, err = r.cfg.Platform.Create(ctx, CurrentKey, d.Encoded, "")
	} else {
		_, err = r.cfg.Platform.Swap(ctx, CurrentKey, at.revision, d.Encoded)
	}
	if errors.As(err, new(*storeclient.ConflictError)) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "write the current bundle")
	}
	return d, nil
}

// base reads what is in force: the higher of the platform's document and this
// instance's. A platform's document that cannot be verified counts for its revision only.
func (r *Registrar) base(ctx context.Context) (currentState, error) {
	at := currentState{document: r.cfg.Store.CurrentDocument()}
	entry, err := r.cfg.Platform.Get(ctx, CurrentKey)
	if errors.As(err, new(*storeclient.NotFoundError)) {
		return at, nil
	}
	if err != nil {
		return at, eris.Wrap(err, "read the current bundle")
	}
	at.revision = entry.Revision
	if at.document != nil && bytes.Equal(entry.Value, at.document.Encoded) {
		return at, nil
	}
	d, err := r.cfg.Signers.Open(entry.Value)
	if err != nil {
		r.cfg.Logger.Error().Err(err).Msg("bundler: current bundle of the platform does not count")
		return at, nil
	}
	if at.document == nil || d.Bundle.Version > at.document.Bundle.Version {
		at.document = d
	}
	return at, nil
}

// acceptedBefore returns the accepted document with d's version and content: the one in
// force, or one that was archived when a later one replaced it. It is nil if there is none.
func (r *Registrar) acceptedBefore(ctx context.Context, d *Document, at currentState) (*Document, error) {
	if at.document == nil || d.Bundle.Version > at.document.Bundle.Version {
		return nil, nil
	}
	if d.Digest == at.document.Digest {
		return at.document, nil
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

// prepare does what has to stand before d replaces the document in force. That one is
// stored under its version, so that every accepted version can be read later and one that
// never was cannot; and its acceptance is recorded if the instance that accepted it
// failed before it could. Then the sign-off of d is recorded.
func (r *Registrar) prepare(ctx context.Context, d, inForce *Document) error {
	if inForce != nil {
		_, err := r.cfg.Platform.Create(ctx, versionKey(inForce.Bundle.Version), inForce.Encoded, "")
		if err != nil && !errors.As(err, new(*storeclient.ConflictError)) {
			return eris.Wrap(err, "archive the bundle in force")
		}
		if _, err := r.cfg.Trail.Append(ctx, entryOf(auditor.ActionAccepted, inForce)); err != nil {
			return eris.Wrap(err, "record the acceptance before")
		}
	}
	_, err := r.cfg.Trail.Append(ctx, entryOf(auditor.ActionSigned, d))
	return eris.Wrap(err, "record the sign-off")
}

// createProposal stores content under its version once. The same content again is no error.
func (r *Registrar) createProposal(ctx context.Context, v identifier.BundleVersion, content []byte) error {
	packed, err := pack(content)
	if err != nil {
		return err
	}
	if len(packed)*4/3 > MaxDocumentSize-documentOverhead {
		return &DocumentError{Reason: fmt.Sprintf("the bundle has %d bytes compressed, too many for a signed document of %d", len(packed), MaxDocumentSize)}
	}
	_, err = r.cfg.Platform.Create(ctx, proposalKey(v), packed, "")
	if !errors.As(err, new(*storeclient.ConflictError)) {
		return eris.Wrap(err, "store the proposal")
	}
	known, err := r.Proposal(ctx, v)
	if err != nil {
		return err
	}
	if DigestOf(known) != DigestOf(content) {
		return &ReusedVersionError{Version: v, Offered: DigestOf(content), Known: DigestOf(known)}
	}
	return nil
}

// entryOf returns the trail's record of an action of d's signer on d.
func entryOf(action string, d *Document) auditor.Record {
	id := recordID(action, d.Bundle.Version, d.Digest)
	if action == auditor.ActionSigned { // each signer's counts
		id += "/" + d.Signer
	}
	return auditor.Record{
		ID: id, Actor: d.Signer, Action: action,
		From: d.Bundle.Previous, To: d.Bundle.Version, Digest: d.Digest.String(), Detail: d.Bundle.Note,
	}
}

// recordAcceptance appends to the trail what is done already. The sign-off stands there
// before it, and the next acceptance makes up for a failure here.
func (r *Registrar) recordAcceptance(ctx context.Context, d *Document) {
	if _, err := r.cfg.Trail.Append(ctx, entryOf(auditor.ActionAccepted, d)); err != nil {
		r.cfg.Logger.Error().Err(err).Uint64("version", uint64(d.Bundle.Version)).Msg("bundler: acceptance not recorded in the audit trail")
	}
}

// prune deletes the proposals and versions that are no longer kept. What it fails to
// delete costs room only.
func (r *Registrar) prune(ctx context.Context, b *Bundle) {
	first := max(b.Previous+1, b.Version-min(b.Version, prunedAtOnce)+1)
	for v := first; v <= b.Version; v++ {
		if v > keptProposals {
			r.remove(ctx, proposalKey(v-keptProposals))
		}
		if v > keptVersions {
			r.remove(ctx, versionKey(v-keptVersions))
		}
	}
}

func (r *Registrar) remove(ctx context.Context, key string) {
	entry, err := r.cfg.Platform.Get(ctx, key)
	if err != nil {
		return
	}
	if err := r.cfg.Platform.Delete(ctx, key, entry.Revision); err != nil {
		r.cfg.Logger.Warn().Err(err).Str("key", key).Msg("bundler: key not deleted")
	}
}

// follows checks that b was made from the document in force and is numbered above it.
func follows(b *Bundle, inForce *Document) error {
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

// notDone turns the unknown outcome of a write that a repetition finds done into "not
// accepted": only the write of the current bundle accepts it.
func notDone(err error) error {
	if unknown := (*storeclient.UnknownError)(nil); errors.As(err, &unknown) {
		return &storeclient.UnavailableError{Call: unknown.Call, Cause: unknown}
	}
	return err
}
