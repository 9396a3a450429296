// Package storeclient is the client of the platform's key-value service and list of instances.
//
// It carries the promise that an instance acts only on what it knows of a write. Each
// write is conditional on the revision that the writer read, and its stored value
// begins with a line that names the write. When an answer is lost, the same write is
// sent again: at most one of the two can pass the condition, and a conflict is settled by reading
// the key back and comparing that line. So a caller sees success, *ConflictError or
// *UnavailableError (the write certainly has no effect) or, when the service stays out
// of reach or another writer has replaced the value meanwhile, *UnknownError.
//
// Every call is counted by its kind and result, waits for the instance's budget of
// reads or writes, has a timeout, and fails at once while the circuit is open, which
// it is after a run of failures until a single trial call succeeds.
package storeclient
