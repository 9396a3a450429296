// Package prober watches the endpoints of a failure domain: liveness, load, leaving and stragglers.
//
// It keeps two promises. A replica group is a ready target only while every member's own
// report is fresh and shows the group, epoch, bundle version and process start of the
// record. An endpoint that is leaving, by any source, stops being a target at once and
// stays so for that run of its process.
//
// Core decides, as a deterministic state machine; Prober runs it in a process.
package prober
