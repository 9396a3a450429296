// Package platform stands in for the platform: a key-value service with compare-and-swap,
// leases and watches, the list of live and leaving instances, and a weight store with a
// rate limit. Faults can be set for a test: outages, slow answers and answers that are
// lost after the write. It keeps everything in memory and bounds nothing that the real
// one bounds, but for the size of a value.
package platform
