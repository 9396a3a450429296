// Package soak runs real instances as separate processes against the stand-in for the users'
// platform, and injects random faults. Links are cut, delayed, reset or silenced. Instances
// are killed, frozen, stopped and restarted. Engines crash, drain, slow down, lose answers or
// are silent for a while. The store becomes unavailable or slow, drops its history or loses
// answers. Instances lose their paths to all engines. Failure domains are evacuated. In drills, the store is restored from older copies in
// series while versions of the configuration follow one another, and requests show which version each instance has. Meanwhile callers send requests, and what the
// callers and the engines observe is checked against the system's guarantees. A seed always gives the
// same faults at the same times.
package soak
