// Package load stands in for callers and the balancer in front of the entry instances. It
// sends streamed model requests at a fixed concurrency, checks that each answer is whole
// and its own, and reports outcomes and latencies.
package load
