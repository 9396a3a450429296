// Package limitsharer divides the limit of each client account over the instances of the
// system, so that together they admit what the account may use, without a message between
// instances on each request.
//
// Each instance announces the demand that it predicts for an account, and every other instance
// relies on the announced demand until the next announcement. An instance announces again only
// when the requests that arrived since its last announcement differ from those that it announced
// by more than its bound, which is an equal part of a bound for the whole account. This is the
// local condition of Jebali and Makpangou, "Replica Divergence Control Protocol
// Based on Predicted Profile" (INRIA RR-4386, 2002), sections 3.2 and 4.1, applied to the
// demand. The limit is divided in proportion to the announced demand of each instance plus a
// floor, which is an equal part of a fraction of the limit.
//
// If all instances have received the same announcements, the shares add up to the limit. While
// announcements are in transit, the shares may add up to more or less.
//
// An unreachable instance keeps the share of its last announcement until it is removed. During
// a network partition, the share of each side grows only as far as its own demand grows.
//
// Core is a deterministic state machine. The process that drives it sends the announcements to
// the peers and passes the rates to the limiter.
package limitsharer
