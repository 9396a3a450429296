// Package groupformer forms replica groups from engines that report their own membership.
//
// The core, Former, is a deterministic state machine. It acts only while its lease holds. It
// guarantees:
//
//   - A group is opened only after each of its members was observed ready under the group's
//     name and epoch.
//   - A member joins another group only after the head of its previous group was observed
//     closed and out of that group, or counts as dead. An engine that only answers nothing
//     counts as dead after a longer time than a live engine may be silent.
//   - Epochs only increase, across all holders of the lease: the fence, which is the revision
//     of the lease's key, forms their high-order part. After a restore of the store the fence may
//     be lower; epochs go on from the highest one that an engine has shown or refused.
//   - Each order carries the number of orders that the engine has accepted so far. An order
//     without an answer may be executed late; if the engine has accepted another order in the
//     meantime, the number no longer matches and the engine rejects the late order.
//
// Engines that no group needs stay idle with the weights of a model staged, so that a group
// that lost a member is formed again without a load. Loads stay within the rate of the
// weight store.
package groupformer
