// Package leaser holds leases of the platform's service and notices when its process was paused.
//
// A lease is a key of the platform's service that goes when its holder stops renewing. The
// holder counts from the moment before it sent the last renewal that succeeded and stops
// acting a margin before the platform may give the lease away. A process that was paused
// does not trust what it knew before the pause until a renewal has succeeded. A lease
// spares others work; what must never happen twice is guarded by a fencing number besides.
package leaser
