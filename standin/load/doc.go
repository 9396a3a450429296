// Package load is a stand-in for callers and for the load balancer in front of the entry
// instances. It sends streamed model requests at a fixed concurrency, checks that each
// answer is complete and belongs to its request, and reports outcomes and latencies.
package load
