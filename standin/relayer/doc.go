// Package relayer forwards TCP connections on loopback and injects network faults on request:
// it holds bytes back in one or both directions, delays them, resets connections or silences
// them.
package relayer
