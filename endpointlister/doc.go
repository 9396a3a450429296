// Package endpointlister maintains the list of endpoints from their entries in the platform's store.
//
// The core, Lister, is a deterministic state machine whose events are writes and removals
// of entries. An endpoint whose entry is marked as draining stays on the list with that
// mark. An endpoint whose entry is removed while the store is stable leaves the list at
// once. During an outage of the store, endpoints can't renew their entries, and the entries
// expire although the endpoints live. Therefore a removal that is observed during an outage,
// or within a grace period after its end, takes effect only if the entry is still missing
// when the grace period ends.
//
// That the store does not answer this instance is no outage of the store: if it has answered
// another instance all the while, a missing entry shows that its endpoint has left. Only a short
// time is allowed after the end of such a cut, in which endpoints that were cut off together with
// this instance renew their entries. The shells report what other instances say as StoreSeen.
//
// A store that was restored from an older copy holds entries that endpoints have replaced or removed since. What an
// endpoint has said last, by the start of its process and the number of the write, holds until it has had the time to
// write again; an entry that is still there then shows that the endpoint lives.
package endpointlister
