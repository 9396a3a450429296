// Package bundler validates, signs, verifies and distributes bundles.
//
// A bundle is the configuration that operators control. The content of a version never
// changes. A signed document holds the bundle's bytes, the signer's name and an Ed25519
// signature over the digest of the bytes. Parse and Validate report all faults of a bundle
// in one pass. Signers.Open verifies a complete document. Every instance verifies each
// document itself, even if a peer has already done so.
//
// The document in force is the one that an instance applies. A Core chooses it: it applies
// a document only if its sign-off is valid and its version is higher than the one in force,
// so the version in force never decreases while the process runs. A Store connects a Core to
// the platform's key-value store and to the peers. If the platform's store was restored from
// an older backup, the Store writes the document in force back to it.
//
// A Registrar stores proposals and accepts bundles. It accepts a bundle by a
// compare-and-swap of the key "bundles/current" that replaces the version named as the
// bundle's previous one. Before the swap, the document in force is archived under its own
// version, so a reader can always find out whether a bundle was accepted.
//
// Limits: the author is authenticated by the token of the administration API and not by a
// signature. An instance that starts while the platform's store holds an older backup,
// and reaches no peer within a second, applies the older version first.
package bundler
