// Package acceptor accepts callers' connections and bounds what a caller may send before its request is served.
//
// It wraps the listener and the connections of an http.Server, because the limits on heads are part of the operator's configuration, which
// changes while the server runs. A connection waits for the first byte of a head, receives the head, and is served until the answer is
// complete. Only the server knows the end of a head and of an answer; it calls BeginRequest and EndRequest.
//
// A head that exceeds its limit is refused with status 431. One that has not arrived in time, or that gives way when the memory for requests
// is used up, ends with its connection, before its request was read.
package acceptor
