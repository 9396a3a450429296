// Package trial runs the whole path as separate processes on loopback: the platform, the
// engines of three failure domains, a plain service and four entry instances. It drives
// them as operators and callers do, breaks a replica group, stops an entry instance under
// load, and reports what came of it. Everything that it starts it also stops.
package trial
