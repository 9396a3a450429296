// Package replicator keeps a replica of the platform's key-value store in memory.
//
// A Replicator lists all entries once and then watches for changes. When the store has compacted
// the history that a watch needs, it lists again and derives the changes from the new list. While
// the store does not answer or rejects this instance, the replicator queries its peers, one at a
// time. A peer returns the changes after a revision, or its complete replica if it no longer knows
// all of them. An entry is replaced only by one with a later revision, so a delayed answer never reverts
// the replica.
//
// Revisions are compared only within one era of the store. When the store has been restored from an older copy, it gives
// them out again: the replica then takes over a complete list of the new era, whatever its revisions are. An entry that
// the copy lacks stays for a time, in which its writer may write it again. Answers and updates of an earlier era are
// ignored.
//
// A peer that follows the replica gets references to large values, if it knows them, and fetches the values beside
// its watch. While a value is missing, the replica passes the reference on, and tells peers that do not know
// references a revision before that value, so that none of them skips it.
package replicator
