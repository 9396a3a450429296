// Package sharer divides the limit of each client account over the instances of the
// system, so that together they admit what the account may have, without asking each
// other on each request.
//
// Each instance announces the demand that it predicts for an account, and every instance
// takes the announced demand of the others as the truth until the next announcement. An
// instance announces anew only when the requests that arrived since differ from those it
// announced by more than its bound, which is an equal part of a bound for the whole
// account: the local condition of Jebali and Makpangou, "Replica Divergence Control Protocol
// Based on Predicted Profile" (INRIA RR-4386, 2002), sections 3.2 and 4.1, applied to the
// demand. The limit is divided in proportion to the announced demand, with a part of it divided equally.
//
// With equal announcements the shares add up to the limit. While announcements are on their
// way they may add up to more or less.
//
// An instance that is out of reach cannot hear announcements, so nothing may be taken for
// agreed with it. Once a peer is lost, the instances within reach of each other keep together to
// the part of the limit that they had by the announcements before the loss, and divide
// that part by the announcements since. So both sides of a network partition keep within the limit
// together, but for announcements that crossed the loss. The share of a peer that died is unused until
// the peer is removed.
//
// Core is a deterministic state machine; its process wires announcements to peers and rates to the limiter.
package sharer
