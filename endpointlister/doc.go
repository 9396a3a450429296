// Package endpointlister keeps the list of endpoints that their own entries in the platform's store make up.
//
// The core, Lister, takes entries as they are written and removed. An endpoint that says it
// is draining, or whose entry is removed while the store is calm, counts as leaving at
// once. While the store is out of reach entries lapse that their endpoints could not renew:
// a removal seen during an outage, or shortly after its end, counts only if the entry is
// still missing after a grace time.
package endpointlister
