// Package dispatcher carries out the router's decisions over HTTP and streams the answers.
//
// It drives two cores: limiter admits requests, and router decides where each attempt is
// sent and how a request ends. The dispatcher sends the attempts to endpoints with net/http
// or to a peer through a Forwarder, claims the key of a call that runs at most once through
// a Claimer, and reports the evidence of each attempt to the router. It decides nothing itself.
//
// A model request is sent to its engine as received from the caller, streamed or not. The
// events of a stream are passed on one by one, at the caller's pace, and are complete only
// with the end mark. Any other answer is buffered until it is complete. An answer whose
// epoch, process start or position differs from that requested is discarded before a byte
// of it is passed on. The caller's Authorization and Mill- header fields are not forwarded.
package dispatcher
