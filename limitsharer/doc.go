// Package limitsharer divides the limit of each client account over the instances of the
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
// An instance that is out of reach keeps the share of its last announcement until it is removed.
// While a network partition lasts, each side's part of the limit grows only as far as its own demand does.
//
// Core is a deterministic state machine; its process wires announcements to peers and rates to the limiter.
package limitsharer
