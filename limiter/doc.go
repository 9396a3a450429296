// Package limiter admits requests by client account, priority and deadline, and sheds load.
//
// The core is a deterministic state machine over sealed events and actions. Each pool of
// targets has a number of slots. A request that finds none free waits, in the order of
// priority and, within a priority, by turns among client accounts and by deadline within
// an account. A request that could not start in time, given the order of the queue and
// the mean time of a request, is refused as soon as that is known, so that no caller
// waits for nothing and no slot is spent on an answer that comes too late. One
// admission in twenty goes round among the accounts of lower priorities, so that none
// starves and the highest priority keeps 95 in 100.
package limiter
