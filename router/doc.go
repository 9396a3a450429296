// Package router chooses the endpoint or replica group for each request and decides its outcome.
//
// The core, Router, is a deterministic state machine over sealed events and actions.
// AnswerTracker is the state machine that decides which parts of a streamed answer are
// delivered. Together they guarantee:
//
//   - Every caller receives the complete answer to its own request. If a replica group fails
//     during a stream, the stream resumes on another group at the delivered position. It is
//     complete only with its end mark.
//   - A request refused as not run did not run: no byte of it was sent, or each endpoint that
//     received it reported that it refused the request before running it.
//   - A non-idempotent call is never sent again after its first byte may have been sent.
//   - A target that is leaving, not ready or broken gets no new requests.
//   - Retries add at most a tenth to the load. A request that crashes its endpoints brings
//     down at most two targets, counted over all instances whose suspicions reach each other
//     within the settle time.
//
// Losses of targets are recorded by fingerprint, a hash of what an endpoint would run. See
// docs/design/0010-routing.md and docs/design/0012-poison-requests.md.
package router
