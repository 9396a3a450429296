// Package stepper runs a deterministic core inside a concurrent process. A core is a
// state machine that knows no goroutine, clock or I/O; a Stepper gives it one event
// at a time with the present time and hands its actions on in order.
package stepper
