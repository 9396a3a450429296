// Package queueing is a discrete-event simulation for experiments with a core. It has a loop
// of timed tasks, and a queueing model of a replica group with a fixed number of slots, one
// prefill at a time and a bounded prefix cache. It is deterministic and not safe for
// concurrent use.
package queueing
