// Package runner connects the components of one instance and runs them as a group of actors.
// If one actor ends, all are interrupted.
//
// An instance stops in stages. First, it reports that it is not ready and asks callers to close
// their connections. After a notice period, in which the load balancer stops sending requests,
// it accepts no more connections and completes the requests in flight. Then the other actors
// end: the instance announces to its peers that it leaves, and releases its leases. A hosted
// instance releases its leases already in the first stage. A second signal or the stop limit
// ends the stop at once; the error is logged, and the process exits with an error.
package runner
