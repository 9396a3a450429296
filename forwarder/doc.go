// Package forwarder serves callers' requests by passing them on to endpoints unchanged.
//
// It is the shell of the scheduler core: it resolves a request to its route and client
// account, reads it whole, carries out what the scheduler decides, and relays the answer.
// An answer other than a stream is held until it is whole, so that no part of a broken one
// reaches the caller. Of a stream each whole event is relayed as it comes; a stream that
// breaks goes on at another endpoint after the last event that the caller has, and is cut
// off, never ended, if it can't. A Dialect reads and writes the header fields that callers,
// endpoints and this system exchange.
package forwarder
