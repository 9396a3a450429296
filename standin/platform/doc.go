// Package platform is a stand-in for the platform. It serves a key-value store with
// compare-and-swap, leases and watches, the list of live and leaving instances, and a weight
// store with a rate limit. A test can inject outages, delays, and writes that take effect
// but whose answer is lost. All data is in memory. Of the limits of the real platform, only
// the maximum size of a value is enforced.
package platform
