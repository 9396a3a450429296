// Package forwarder serves callers' requests by forwarding them unchanged to endpoints.
//
// It drives the scheduler core: it resolves a request to its route and client account, reads
// the complete request, executes the scheduler's actions, and relays the answer.
//
// An answer that is not a stream is held until it is complete, so that no part of a broken
// answer reaches the caller. The events of a stream are relayed one at a time, each as soon as
// it is complete. A stream that breaks resumes at another endpoint after the last event that
// the caller received. If it can't resume, the connection to the caller is aborted instead of
// closed normally, so that the stream does not look complete.
//
// A Dialect reads and writes the header fields that callers, endpoints and this system exchange.
package forwarder
