// Package messenger carries what the instances of a hosted system tell each other.
//
// There is little of it: that the requests of a replica group stand still, so that whoever
// forms groups looks at it at once; whether an endpoint that one instance can't reach is in reach of
// another; what changed in the store, for an instance that the store turns away; and the same as it
// comes, for the instances that follow another one rather than the store. Each is one small
// exchange over HTTP, with one peer unless the peer that is wanted is not known.
package messenger
