// Package stepper runs a deterministic core inside a concurrent process. A core is a
// state machine that uses no goroutines, clock or I/O. A Stepper applies one event at a
// time to the core, with the current time, and handles the resulting actions in order.
package stepper
