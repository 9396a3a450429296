// Package prober monitors the endpoints of a failure domain: liveness, load, leaving and stragglers.
//
// It guarantees two properties. A replica group is a ready target only while every member's
// own status report is fresh and shows the group, epoch, bundle version and process start of the
// group record. An endpoint that any source reports as leaving is marked as leaving at once, so that
// it gets no new requests, and stays marked until its process restarts.
//
// Core is a deterministic state machine that makes the decisions; Prober drives it in a process.
package prober
