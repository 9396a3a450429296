// Package estimator learns how much load the targets of a pool handle within the goals of their requests.
//
// A Pool holds what all targets of a pool have in common: how the time to the first event and the gap between two events
// grow with the load of a target, and how the first event grows with the prompt tokens ahead. Its samples come from all
// targets, so that it needs few requests to each. An Estimator, one for each target, holds only what differs: the speed
// of the target, as a multiple of what the pool expects at the same load, and the part of its requests that fail. The
// two together predict whether a request would meet its goals at a target, and up to which load one would.
//
// Nothing here has a clock, does I/O or is safe for concurrent use. Loads are fractions of a target's slots.
package estimator
