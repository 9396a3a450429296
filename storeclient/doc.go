// Package storeclient is the client of the platform's key-value store and list of instances.
//
// The client ensures that an instance acts only on what is known about the outcome of a write.
// Each write is conditional on the revision that the writer read, and its stored value begins
// with a line that names the write. If an answer is lost, the client sends the same write again:
// at most one of the two can satisfy the condition, and a conflict is resolved by reading the key
// back and comparing that line. The caller receives success; *ConflictError or *UnavailableError,
// after which the write certainly has no effect; or *UnknownError, if the store stays unreachable
// or another writer has replaced the value in the meantime.
//
// A store that was restored from an older copy is in a later era, which its answers name. Revisions and leases count in
// one era only: the client uses no answer of an earlier era, sends no write that names a revision or a lease of an era
// that has ended, and reports the outcome of one that was answered in a later era as unknown.
//
// Every call is counted by its kind and result, waits for the instance's budget of reads or
// writes, and has a timeout. While the circuit breaker is open, calls fail at once. The circuit
// opens after a number of consecutive failures and closes when a single trial call succeeds.
package storeclient
