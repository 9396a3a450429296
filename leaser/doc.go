// Package leaser holds leases of the platform's service and notices when its process was paused.
package leaser
