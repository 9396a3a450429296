// Package soak runs real instances as separate processes against the stand-in for the users'
// platform, and lets faults come by chance: links that are cut, delayed, reset or silent,
// processes that are killed, frozen, stopped and restarted, engines that die, drain or go
// slow, and a store that is away, slow, forgetful or loses answers. Meanwhile callers send
// requests, and what they and the engines see is held against the promises. A seed gives
// the same faults at the same times.
package soak
