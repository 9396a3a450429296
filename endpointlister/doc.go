// Package endpointlister maintains the list of endpoints from their entries in the platform's store.
//
// The core, Lister, is a deterministic state machine whose events are writes and removals
// of entries. An endpoint whose entry is marked as draining stays on the list with that
// mark. An endpoint whose entry is removed while the store is stable leaves the list at
// once. While the store is unreachable, endpoints can't renew their entries, and the entries
// expire although the endpoints live. Therefore a removal that is observed during an outage,
// or within a grace period after its end, takes effect only if the entry is still missing
// when the grace period ends.
package endpointlister
