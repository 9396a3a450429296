// Package scheduler decides at which target each request runs, when it waits, when it moves, and how it ends.
//
// The core, Scheduler, is a deterministic state machine over sealed events and actions. It keeps these promises:
//
//   - A request that may have run is sent a second time only if it may run twice.
//   - A request refused as not run did not run: nothing of it was sent, or every target that
//     got it said that it refused before running.
//   - All arrivals beyond the first of each request stay within a budget that the instances share.
//   - A request that no target can serve in time is refused as soon as that is known.
//
// A target whose requests all stand still is left alone: its requests that may move go on
// elsewhere, from the last event that the caller has. Nothing is placed there until it
// moves again or has been formed anew, but for one request at a time that tries it.
package scheduler
