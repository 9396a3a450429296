// Package queueing has the plain queues that experiments put behind a core: a loop of
// timed events and a replica group with slots, one prefill at a time and a bounded prefix cache.
// It is deterministic and not safe for concurrent use.
package queueing
