// Package ranker assigns work to instances by rendezvous hashing. All instances that know
// the same names compute the same ranking, and adding or removing a name moves only the
// work that is assigned to this name.
package ranker
