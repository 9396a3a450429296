// Package trial runs a complete system as separate processes on loopback: the platform, the
// engines of three failure domains, a plain service and four entry instances. A scenario acts
// as operators and callers do, injects faults such as the death of a group member, checks the
// results and prints them. At its end a trial stops every process that it started.
package trial
