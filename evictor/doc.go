// Package evictor bounds the memory of the requests that an instance receives, and decides which request gives way
// when that memory is used up.
//
// Core is a deterministic state machine over sealed events and actions. Each request asks for memory as its head
// and its body arrive, and returns it when it ends. The sum never exceeds the limit. A request that is large gets
// only a share of the limit, so that small ones find memory beside many large ones.
//
// If the memory does not suffice, requests that have not arrived completely give way to the one that asks: first
// the one with the greatest product of its memory and the time for which it has been arriving. A body that stops
// short of its end thus gives way to ordinary requests, and a client that sends slowly gains nothing by it. A
// request that has been arriving for less than the patience, or that has arrived completely, never gives way. If
// the others can't give enough, the one that asks is refused. Neither has run.
//
// Memory runs a Core for concurrent requests. It counts what it decides and logs it, at most one line a second.
package evictor
