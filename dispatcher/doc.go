// Package dispatcher carries out the router's decisions over HTTP and streams the answers.
//
// It is the shell of two cores: limiter admits a request, router says where each attempt
// goes and how the request ends. The dispatcher sends the attempts to endpoints with
// net/http or to a peer through a Forwarder, claims the key of a call that runs at most
// once through a Claimer, and reports the evidence of each attempt back. It decides nothing.
//
// A model request goes to its engine as the caller sent it, streamed or not. The events of a
// stream go out one by one, at the caller's pace, and are whole only with the end mark; any other
// answer is held until it is whole. An answer from another epoch, process start or
// position than asked for is discarded before a byte of it goes out. The caller's
// Authorization and Mill- header fields are not passed on.
package dispatcher
