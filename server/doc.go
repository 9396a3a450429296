// Package server serves callers over HTTP: the chat-completions form for models, plain
// services below /services, readiness, and every refusal as a problem document that says
// the outcome.
//
// It decides nothing about routing. It turns an HTTP request into a router.Request under
// the bundle in force and a router.Outcome into the end of the HTTP answer. An answer that
// cannot be ended whole is cut off without the end mark of its form, so that no caller
// takes it for a whole one.
package server
