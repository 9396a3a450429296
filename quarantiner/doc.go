// Package quarantiner keeps requests that crash endpoints from running again.
//
// A request that crashes each endpoint that runs it comes again under new request IDs and at
// any instance. It is recognized by its fingerprint, which is the same for all its tries.
// Requests that differ in all else may share one part of their prompts that crashes endpoints;
// the part has a fingerprint too. The core, Quarantiner, is a deterministic state machine. It
// collects the losses of each fingerprint: the processes of endpoints that ended while they ran
// the request, or a request with the part. An instance learns of losses in three ways:
//
//   - Its own attempts. After an attempt whose connection broke, the endpoint's address is
//     checked; if it accepts no connection, that is a loss. After any attempt without a complete
//     answer, the disappearance of the endpoint's process from the list within ExposureTTL is a
//     loss, unless the endpoint was draining or has answered another request since.
//   - Reports of peers. An instance announces the losses of a request once no copy of it runs there
//     any more, after AnnounceDelay, or at once if they suffice for a quarantine; those of parts
//     at once.
//   - The store. The losses of a quarantine are stored, so that they outlive all processes, and
//     other losses if a peer has not acknowledged them.
//
// A request with one loss is suspected: an instance runs one copy of it at a time, and none while
// it is being checked whether a second endpoint has ended. A request with two losses is
// quarantined: no instance sends it to an endpoint until QuarantineTTL has passed since the last
// loss. A part with fewer than four losses restricts nothing; with four, requests that hold it
// are refused in the same way.
//
// Requests that share an endpoint with the cause of its crash are suspected too, and so are their
// parts. A complete answer clears a request at all instances, and its parts once the process has
// outlived it for ClearDelay; an answer that ends with its connection clears the request then,
// too. A fingerprint that was cleared recently is not suspected at all. A quarantined part
// explains the ends of the processes under which it ran: they say nothing against other
// fingerprints. Parts whose losses are nearly the same are put on trial. A loss that rests on the
// check of a connection alone is withdrawn if the list, read from a healthy store, still has the
// process after DisproofDelay.
//
// Losses arrive late at instances that neither a peer nor the store reaches, and copies that
// are sent before the news has arrived may crash further endpoints. See
// docs/design/0013-quarantine.md.
package quarantiner
