// Package auditor keeps the audit trail of changes in the platform's key-value service.
//
// The trail is a chain of entries: each holds the SHA-256 hash of the one before, so a
// changed, removed or inserted entry breaks the chain for every reader. Entries stand in
// pages, one key a page, that stay far below the platform's value size; a page is only
// ever changed by compare-and-swap. An append whose answer was lost is settled by reading
// the page back and looking for the entry's identity.
//
// The chain shows a change to whoever knows a later hash. Against a rewriting of the
// whole trail, or the cutting of its end, a reader compares it with an Anchor kept
// elsewhere; each instance keeps the newest that it has seen for as long as it runs.
package auditor
