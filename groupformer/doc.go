// Package groupformer forms replica groups from engines that report their own membership.
//
// The core, Former, is a deterministic state machine. It acts only while its lease holds. It
// keeps these promises:
//
//   - A group is opened only after each of its members was seen ready under the group's
//     name and epoch.
//   - A member joins another group only after the head of its old one was seen closed and
//     gone from it, or is known to be dead.
//   - Epochs only grow, over all holders of the lease: the fence, which is the revision of
//     the lease's key, is their high part.
//   - Each order names the number of orders that the engine has accepted so far. An order
//     without an answer may be carried out late, and then finds another number.
//
// Engines that no group needs are kept as spares with the weights of a model at hand, so that a group
// that lost a member is formed anew without loading. Loads keep to the rate of the weight store.
package groupformer
