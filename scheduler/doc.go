// Package scheduler decides which target runs each request, when a request waits or moves to
// another target, and how it ends.
//
// The core, Scheduler, is a deterministic state machine with closed sets of events and actions.
// It guarantees that:
//
//   - A request that may have run is sent again only if the request is repeatable.
//   - A request that ends as not run has not run: no byte of it was sent, or every target that
//     received it answered that it refused the request before running it.
//   - The retries of all requests stay within a budget that the instances share. A retry is
//     an attempt that follows one which may have reached a target.
//   - A process that has said that it leaves, or that it wants no requests for a time, gets none.
//   - A request that is quarantined because endpoints ended under it is not sent to a target.
//   - A request that no target is expected to serve in time is refused as soon as the
//     estimate shows this.
//
// Requests wait in one queue a pool, in the order of priority, deadline and arrival. A target that
// becomes free wakes the queue of its pool, whose targets are then looked at once.
//
// A target is stalled if none of its requests makes progress. A stalled target may be gone, or
// silent for a moment. Its repeatable requests are therefore hedged: a second attempt starts at
// another target, after the last event that the caller received, and the first attempt is
// abandoned only when the second has made progress. A request that can't be hedged, because no
// target, retry or attempt is left for it, stays where it is. A stalled target gets no requests,
// except for one trial request at a time, until it makes progress or its group is formed again.
package scheduler
