// Package router chooses the endpoint or replica group for each request and decides its outcome.
//
// The core, Router, is a deterministic state machine over sealed events and actions; AnswerTracker
// is the one that follows the parts of a streamed answer. Together they keep these promises:
//
//   - Every caller receives the whole answer to its own request. A stream whose group died is
//     resumed on another group from the delivered position, and is whole only with its end mark.
//   - A request refused as not run did not run: no byte of it was sent, or each endpoint that
//     got it said that it refused before running.
//   - A non-idempotent call is never sent again after its first byte may have gone out.
//   - A target that is leaving, not ready or broken gets nothing new.
//   - Retries add at most a tenth to the load, and a request that crashes its endpoints
//     loses at most two targets over all instances that hear of each other within the settling time.
//
// A request is held against the fingerprint of what an endpoint would run. See
// docs/design/0010-routing.md and docs/design/0012-poison-requests.md.
package router
