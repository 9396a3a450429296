// Package server serves callers over HTTP: the chat-completions API for models, plain services
// below /services, and health checks. It answers each refused request with a problem document
// that states the outcome.
//
// The package makes no routing decision. It converts an HTTP request to a router.Request under
// the bundle in force, and a router.Outcome to the end of the HTTP answer. An answer that was
// started and can't be completed is aborted without its end mark, so that no caller mistakes
// the answer for a complete one.
package server
