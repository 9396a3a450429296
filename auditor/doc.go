// Package auditor keeps the audit trail of changes in the platform's key-value store.
//
// The trail is a hash chain: each entry holds the SHA-256 hash of the previous entry, so
// every reader can detect an entry that was changed, removed or inserted. Entries are stored
// in pages, one page under each key. A page stays far below the platform's limit on the size
// of a value and is modified only by compare-and-swap. If the answer to an append is lost,
// the Trail reads the page again and searches it for the entry's ID.
//
// The chain reveals a change only to readers that know a later hash. To detect that the
// whole trail was rewritten or that its end was truncated, a reader compares the trail with
// an Anchor that is stored elsewhere. Each instance keeps the newest entry that it has read
// or appended in memory while it runs.
package auditor
