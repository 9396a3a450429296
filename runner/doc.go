// Package runner wires the slices of one instance together and runs them as one group of
// actors.
//
// A stop goes in stages: the instance says that it is not ready and asks callers to close
// their connections; once the balancer has had time to notice, no connection is taken any
// more and the requests in flight end whole; then peers are told, leases are given back
// and the other actors end. A second signal, or the stop limit, ends it at once, which is
// logged and makes the process exit with an error.
package runner
