// Package router chooses the endpoint or replica group for each request and decides its outcome.
//
// The core is a deterministic state machine over sealed events and actions. It keeps the
// promises that every caller receives the whole answer to its own request, and that a
// request refused as not run did not run.
package router
