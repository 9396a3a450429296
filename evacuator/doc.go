// Package evacuator keeps the failure domains that the operator evacuates. While a domain is evacuated, no
// request is sent to its endpoints, and the requests that run there go on.
//
// The core, Evacuator, is deterministic. It follows the operator's entries in the store and emits an action for
// each domain whose state changes. An entry whose value is malformed leaves the state of its domain as it is.
package evacuator
