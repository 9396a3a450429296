// Package grouper assigns endpoints to replica groups and repairs broken groups.
//
// All groups of one fabric domain are stored as one Record in the platform's key-value store.
// A Record changes only by compare-and-swap, Record.Check rejects a record that lists an
// endpoint twice, and the revision of the record is the fencing number of every order. The
// lease of a fabric domain avoids duplicate work; the record makes a change safe. Therefore no
// endpoint belongs to two groups, even if several instances act on the same lease.
//
// Core makes the decisions as a deterministic state machine; Grouper runs Core in a process.
package grouper
