// Package relayer forwards TCP connections on loopback and, as told, treats them like a
// faulty network does: it holds bytes back one way or both, delays them, resets connections
// or lets them go silent.
package relayer
