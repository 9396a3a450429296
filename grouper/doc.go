// Package grouper assigns endpoints to replica groups and repairs broken groups.
//
// All groups of one fabric domain are one Record in the platform's service. It changes
// only by compare-and-swap, its own check rejects an endpoint that stands in it twice,
// and its revision is the fencing number on every order. The lease of a fabric domain
// saves work; the record is what makes a change safe. So no endpoint belongs to two
// groups, whatever instances believe about their leases.
//
// Core decides, as a deterministic state machine; Grouper runs it in a process.
package grouper
