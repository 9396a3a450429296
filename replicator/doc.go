// Package replicator keeps a replica of the platform's key-value store in memory.
//
// It lists the keys once and then watches for changes. When the store has dropped the
// history that a watch needs, it lists again and works out what changed. While the store
// turns this instance away, a peer stands in: one is asked at a time for the changes that it
// knows of, or for its whole replica if it has forgotten some of them.
// An entry is replaced only by a later revision, so that no answer, however late, turns
// the replica back.
package replicator
