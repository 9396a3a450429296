// Package ranker divides work among instances by rendezvous hashing: every instance
// that knows the same names ranks them alike, and a change of one name moves only the
// work that it has or gets.
package ranker
