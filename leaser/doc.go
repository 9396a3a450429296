// Package leaser holds leases in the platform's key-value store and detects pauses of its process.
//
// A lease covers a key in the store that the store deletes when the holder stops renewing the
// lease. The holder measures the lease from just before it sent the last successful renewal, and
// stops acting a margin before the lease can expire. After a pause, the process does not act on
// the lease until a renewal sent after the pause has succeeded. A lease only avoids duplicate
// work; actions that must never happen twice are additionally guarded by a fencing number.
//
// A store that was restored from an older copy may not know a lease. The holder gives its lease up and acquires another
// one; others acquire none before the holder's last renewal has ended.
package leaser
