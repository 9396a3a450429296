// Package bundler validates, signs, verifies and spreads bundles; the version in force
// only grows.
//
// A bundle is everything that operators decide. Its bytes never change under its version.
// A signed document holds the bytes, the signer's name and an Ed25519 signature over their
// digest. Parse and Validate find every fault of a bundle at once; Signers.Open checks a
// whole document, and every instance does so itself, whoever it has the document from.
//
// A Core decides which document is in force on one instance: it applies only one whose
// sign-off counts and whose version is higher. A Store runs a Core before the platform's
// key-value service and the peers, and writes the document in force back if the service
// was set back to an older one.
//
// A Registrar stores proposals and accepts bundles. Acceptance is the compare-and-swap of
// the key "bundles/current", from the version that the bundle names as its previous one.
// Before a document is replaced it is stored under its version, so whether a bundle was
// accepted can always be read back.
//
// Limits: who the author is, is known from the administration API's tokens and not from a
// signature; an instance that starts while the service is set back, and reaches no peer
// within a second, begins with the older version.
package bundler
