// Package limiter admits requests by client account, priority and deadline, and sheds load.
//
// The core is a deterministic state machine over sealed events and actions. Each pool of
// targets has a number of slots. A request that finds no free slot waits. The queue is
// served by priority, within a priority in turns among client accounts (start-time fair
// queuing), and within an account by deadline. A request that could not start in time,
// given the order of the queue and the mean holding time of a slot, is refused as soon as
// that is known, so that no caller waits in vain and no slot is spent on an answer that
// misses its deadline. One admission in twenty goes in rotation to the accounts of lower
// priorities, so that no account starves and the highest priority keeps 95 in 100.
package limiter
