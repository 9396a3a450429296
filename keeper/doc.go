// Package keeper is the client of the platform's key-value service and list of instances.
package keeper
