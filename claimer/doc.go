// Package claimer claims the keys of non-idempotent calls so that each runs at most once.
package claimer
